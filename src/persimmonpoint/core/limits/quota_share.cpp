#include <algorithm>
#include <cmath>
#include <persimmonpoint/core/limits/quota_share.hpp>

namespace persimmonpoint {

namespace {

/// Over this time a past operation loses its weight in the demand.
constexpr duration demand_memory = std::chrono::milliseconds(1500);
/// A team may always save up one operation, however small its part is.
constexpr double least_burst = 1;

} // namespace

quota_share::quota_share(instant now) : refilled(now), asked_at(now) {}

quota_part quota_share::part_at(instant now) const {
    if (now >= this->granted_until) {
        return this->fixed;
    }
    return quota_part{
        this->fixed.rate + this->granted.rate, this->fixed.burst + this->granted.burst};
}

void quota_share::refill(instant now) {
    // A grant that ended since the last refill counts until its end.
    instant const grant_end = std::min(now, this->granted_until);
    if (grant_end > this->refilled) {
        this->tokens += this->granted.rate * to_seconds(grant_end - this->refilled);
    }
    this->tokens += this->fixed.rate * to_seconds(now - this->refilled);
    this->tokens =
        std::min(this->tokens, std::max(least_burst, this->part_at(now).burst));
    this->refilled = now;
}

void quota_share::set_fixed(quota_part part, instant now) {
    this->refill(now);
    this->fixed = part;
    this->refill(now);
}

void quota_share::set_grant(quota_part part, instant valid_until, instant now) {
    this->refill(now);
    this->granted = part;
    this->granted_until = valid_until;
    this->refill(now);
}

duration quota_share::take(instant now) {
    this->asked = this->demand(now) * to_seconds(demand_memory) + 1;
    this->asked_at = now;
    this->refill(now);
    if (this->tokens >= 1) {
        this->tokens -= 1;
        return duration(0);
    }
    double const rate = std::max(this->part_at(now).rate, 0.1);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>((1 - this->tokens) / rate));
}

double quota_share::demand(instant now) const {
    double const memory = to_seconds(demand_memory);
    return this->asked * std::exp(-to_seconds(now - this->asked_at) / memory) / memory;
}

} // namespace persimmonpoint
