#include <algorithm>
#include <persimmonpoint/core/limits/token_bucket.hpp>

namespace persimmonpoint {

namespace {

/// Told to a caller whose limit lets nothing pass at all.
constexpr duration longest_wait = std::chrono::hours(1);

} // namespace

token_bucket::token_bucket(rate_limit limit, double tokens, instant now)
    : rate(limit), available(std::min(tokens, limit.burst)), refilled(now) {}

duration token_bucket::take(instant now) {
    this->refill(now);
    if (this->available >= 1) {
        this->available -= 1;
        return duration::zero();
    }
    if (this->rate.per_second <= 0 || this->rate.burst < 1) {
        return longest_wait;
    }
    double const seconds = (1 - this->available) / this->rate.per_second;
    duration const wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, to_seconds(longest_wait))));
    return std::max(wait, duration(1));
}

void token_bucket::set_limit(rate_limit limit, instant now) {
    this->refill(now);
    this->rate = limit;
    this->available = std::min(this->available, limit.burst);
}

double token_bucket::tokens(instant now) {
    this->refill(now);
    return this->available;
}

void token_bucket::refill(instant now) {
    if (now <= this->refilled) {
        return;
    }
    double const gained = to_seconds(now - this->refilled) * this->rate.per_second;
    this->available = std::min(this->available + gained, this->rate.burst);
    this->refilled = now;
}

} // namespace persimmonpoint
