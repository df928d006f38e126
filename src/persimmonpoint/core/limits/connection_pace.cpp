#include <persimmonpoint/core/limits/connection_pace.hpp>

namespace persimmonpoint {

namespace {

/// Between two attempts after the first one failed, or a connection was given up.
constexpr duration spacing = std::chrono::milliseconds(60);
/// For so long after a connection was given up, attempts are spaced out.
constexpr duration caution = std::chrono::seconds(1);
/// After a database took no further connection.
constexpr duration crowded_time = std::chrono::milliseconds(700);

} // namespace

void connection_pace::attempted(instant now) {
    if (now < this->cautious_until) {
        this->next_attempt = now + spacing;
    }
}

void connection_pace::failed(instant now) {
    this->next_attempt = now + spacing;
}

void connection_pace::crowded(instant now) {
    this->crowded_until = now + crowded_time;
}

void connection_pace::gave_up(instant now) {
    this->cautious_until = now + caution;
}

bool connection_pace::may_attempt(instant now) const {
    return now >= this->next_attempt;
}

bool connection_pace::is_crowded(instant now) const {
    return now < this->crowded_until;
}

} // namespace persimmonpoint
