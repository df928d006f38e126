#include <algorithm>
#include <persimmonpoint/core/membership/directory_readings.hpp>

namespace persimmonpoint {

namespace {

/// Between two successful readings the store may have been away for so long unnoticed.
constexpr duration longest_gap = std::chrono::seconds(3);
/// A reading that takes longer tells nothing in time.
constexpr duration reading_patience = std::chrono::milliseconds(250);
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

void directory_readings::failed() {
    this->reached_since.reset();
}

directory_listing directory_readings::judge(instant since, instant now) const {
    if (!this->reached_since) {
        return directory_listing::incomplete;
    }
    if (*this->last_began < since) {
        bool const is_awaited = now - since < reading_patience;
        return is_awaited ? directory_listing::pending : directory_listing::incomplete;
    }
    bool const has_been_there =
        *this->last_began - *this->reached_since >= registration_delay;
    return has_been_there ? directory_listing::complete : directory_listing::incomplete;
}

bool directory_readings::needs_reading(instant since, instant now) const {
    bool const is_asked_for =
        this->begun && *this->begun >= since && now - *this->begun < reading_interval;
    return !is_asked_for && this->judge(since, now) != directory_listing::complete;
}

} // namespace persimmonpoint
