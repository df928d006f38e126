#include <algorithm>
#include <persimmonpoint/core/routing/floor_book.hpp>

namespace persimmonpoint {

namespace {

/// Observations closer than this to the one before replace nothing and are not kept.
constexpr duration least_spacing = std::chrono::milliseconds(20);
/// No route accepts older data than this.
constexpr duration longest_kept = std::chrono::seconds(60);

} // namespace

void floor_book::observe(instant asked, log_position position) {
    // Answers may come out of order; a position that was asked for later covers more.
    auto const behind = std::upper_bound(
        this->observations.begin(), this->observations.end(), asked,
        [](instant time, observation const& each) { return time < each.asked; });
    bool const last = behind == this->observations.end();
    if (!last) {
        return;
    }
    if (!this->observations.empty() &&
        asked - this->observations.back().asked < least_spacing &&
        position == this->observations.back().position) {
        this->observations.back().asked = asked;
        return;
    }
    if (!this->observations.empty() && position < this->observations.back().position) {
        position = this->observations.back().position;
    }
    this->observations.push_back(observation{asked, position});
    while (asked - this->observations.front().asked > longest_kept) {
        this->observations.pop_front();
    }
}

std::optional<log_position> floor_book::floor_for(duration age, instant now) const {
    auto const found = std::lower_bound(
        this->observations.begin(), this->observations.end(), now - age,
        [](observation const& each, instant time) { return each.asked < time; });
    if (found == this->observations.end()) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<duration> floor_book::newest_age(instant now) const {
    if (this->observations.empty()) {
        return std::nullopt;
    }
    return now - this->observations.back().asked;
}

} // namespace persimmonpoint
