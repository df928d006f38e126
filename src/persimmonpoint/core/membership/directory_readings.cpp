#include <algorithm>
#include <persimmonpoint/core/membership/directory_readings.hpp>

namespace persimmonpoint {

namespace {

/// Between two successful readings the store may have been away for so long unnoticed.
constexpr duration longest_gap = std::chrono::seconds(3);
/// A reading may take so long.
constexpr duration reading_patience = std::chrono::milliseconds(250);
/// A directory that can't be complete within this time isn't waited for.
constexpr duration longest_wait = std::chrono::milliseconds(2500);
/// Between two readings that are made for a change of leadership.
constexpr duration reading_interval = std::chrono::milliseconds(500);

} // namespace

void directory_readings::began(instant now) {
    this->begun = now;
}

void directory_readings::succeeded(instant began_at, std::uint64_t era) {
    bool const has_gap = !this->last_began || began_at - *this->last_began > longest_gap;
    // The store's older copy lacks what was registered since it was made.
    bool const is_restored = era != this->last_era;
    if (!this->reached_since || has_gap || is_restored) {
        this->reached_since = began_at;
    }
    this->last_began = std::max(began_at, this->last_began.value_or(began_at));
    this->last_era = era;
}

void directory_readings::failed(instant now) {
    this->reached_since.reset();
    this->last_failed = now;
}

directory_listing directory_readings::judge(instant since, instant now) const {
    if (!this->reached_since) {
        return directory_listing::incomplete;
    }
    instant const due =
        std::max(since + registration_time, *this->reached_since + registration_delay);
    if (*this->last_began >= due) {
        return directory_listing::complete;
    }
    bool const is_awaited =
        due - since <= longest_wait && now < due + reading_interval + reading_patience;
    return is_awaited ? directory_listing::pending : directory_listing::incomplete;
}

bool directory_readings::needs_reading(instant since, instant now) const {
    bool const was_just_read = this->begun && now - *this->begun < reading_interval;
    return !was_just_read && this->judge(since, now) != directory_listing::complete;
}

bool directory_readings::is_steady(instant now) const {
    return this->reached_since && now - *this->reached_since >= registration_delay &&
           now - *this->last_began <= longest_gap;
}

bool directory_readings::is_in_doubt(instant now) const {
    if (!this->last_failed) {
        return false;
    }
    return !this->reached_since || now - *this->last_failed < registration_delay;
}

} // namespace persimmonpoint
