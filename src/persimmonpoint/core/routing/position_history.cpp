#include <algorithm>
#include <persimmonpoint/core/routing/position_history.hpp>

namespace persimmonpoint {

namespace {

/// An unchanged position requested again within this interval refreshes the newest
/// observation instead of adding another.
constexpr duration min_observation_interval = std::chrono::milliseconds(20);
/// Older observations are dropped, since no route should allow a larger maximum
/// staleness. One that does gets a newer position than necessary.
constexpr duration max_observation_age = std::chrono::seconds(60);

} // namespace

void position_history::observe(instant requested_at, log_position position) {
    // Responses may arrive out of order. One that was requested before the newest
    // observation is dropped, because the newest position covers at least as much.
    auto const insertion_point = std::upper_bound(
        this->observations.begin(), this->observations.end(), requested_at,
        [](instant time, observation const& entry) { return time < entry.requested_at; });
    bool const is_newest = insertion_point == this->observations.end();
    if (!is_newest) {
        return;
    }
    if (!this->observations.empty() &&
        requested_at - this->observations.back().requested_at <
            min_observation_interval &&
        position == this->observations.back().position) {
        this->observations.back().requested_at = requested_at;
        return;
    }
    // Positions never decrease, so that a shorter maximum staleness never allows a lower
    // position than a longer one.
    if (!this->observations.empty() && position < this->observations.back().position) {
        position = this->observations.back().position;
    }
    this->observations.push_back(observation{requested_at, position});
    while (requested_at - this->observations.front().requested_at > max_observation_age) {
        this->observations.pop_front();
    }
}

std::optional<log_position>
position_history::min_position_for(duration age, instant now) const {
    auto const found = std::lower_bound(
        this->observations.begin(), this->observations.end(), now - age,
        [](observation const& entry, instant time) { return entry.requested_at < time; });
    if (found == this->observations.end()) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<duration> position_history::age_of_newest(instant now) const {
    if (this->observations.empty()) {
        return std::nullopt;
    }
    return now - this->observations.back().requested_at;
}

} // namespace persimmonpoint
