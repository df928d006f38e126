#include <algorithm>
#include <persimmonpoint/core/limits/cold_pace.hpp>

namespace persimmonpoint {

namespace {

/// Hosts that may take themselves for the owner of a database at a time.
constexpr double most_owners = 3;
/// The bound holds for each second.
constexpr duration bound_window = std::chrono::seconds(1);
/// Between two commands at the most, so that rates near zero can be worked with.
constexpr duration longest_spacing = std::chrono::hours(1);

} // namespace

double cold_share(double rate, double overrun) {
    return rate * std::max(overrun, 1.0) / most_owners;
}

void cold_pace::set(cold_allowance given, instant now) {
    bool const was_cold = this->is_cold(now);
    this->allowance = given;
    this->begin_unless(was_cold, now);
}

void cold_pace::refused(instant now) {
    bool const was_cold = this->is_cold(now);
    this->suspected_until = now + suspicion;
    this->begin_unless(was_cold, now);
}

void cold_pace::begin_unless(bool was_cold, instant now) {
    if (!was_cold && this->is_cold(now)) {
        this->free_at = now + bound_window;
    }
}

instant cold_pace::cold_until() const {
    return std::max(this->allowance.warm_at, this->suspected_until);
}

bool cold_pace::is_cold(instant now) const {
    return this->allowance.is_bounded && now < this->cold_until();
}

bool cold_pace::is_closed(instant now) const {
    return this->is_cold(now) && this->allowance.per_second <= 0;
}

bool cold_pace::may_send(instant now) const {
    return !this->is_cold(now) || (!this->is_closed(now) && now >= this->free_at);
}

duration cold_pace::spacing() const {
    double const seconds = 1 / this->allowance.per_second;
    return seconds < to_seconds(longest_spacing)
               ? std::chrono::duration_cast<duration>(
                     std::chrono::duration<double>(seconds))
               : longest_spacing;
}

instant cold_pace::free_behind(std::size_t commands, instant now) const {
    if (!this->is_cold(now)) {
        return now;
    }
    instant const free = std::max(this->free_at, now) +
                         this->spacing() * static_cast<std::int64_t>(commands);
    return std::min(free, this->cold_until());
}

void cold_pace::sent(std::size_t commands, instant now) {
    if (this->is_cold(now)) {
        this->free_at = std::max(this->free_at, now) +
                        this->spacing() * static_cast<std::int64_t>(commands);
    }
}

} // namespace persimmonpoint
