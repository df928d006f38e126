#include <persimmonpoint/core/membership/directory_readings.hpp>
#include <persimmonpoint/core/recovery/departure_memory.hpp>

namespace persimmonpoint {

namespace {

/// How long after a host's start a departure that it can't know of is taken for possible.
/// A primary that is cut from its replicas is not replaced meanwhile.
constexpr duration unknown_departure_time = std::chrono::seconds(30);

} // namespace

void departure_memory::replica_left(instant now) {
    this->left_at = now;
    this->received_at.reset();
}

void departure_memory::commit_acknowledged(instant sent_at, instant now) {
    bool const counts = sent_at >= this->left_at.value_or(this->known_since);
    if (counts && !this->received_at) {
        this->received_at = now;
    }
}

departure departure_memory::judge(
    instant now, instant change_began, bool directory_in_doubt) const {
    if (this->left_at) {
        bool const is_over =
            this->received_at && now - *this->received_at >= registration_delay;
        if (!is_over) {
            return departure::seen;
        }
        return directory_in_doubt ? departure::possible : departure::none;
    }
    if (this->received_at) {
        return departure::none;
    }
    // What a change went by doesn't end in its midst by time alone.
    bool const is_new = change_began - this->known_since < unknown_departure_time;
    return is_new ? departure::possible : departure::none;
}

} // namespace persimmonpoint
