#include <algorithm>
#include <persimmonpoint/core/limits/quota_share.hpp>

namespace persimmonpoint {

namespace {

// The users allow a window of five seconds a tenth over rate and burst, and 20 operations.
constexpr double fixed_rate_share = 0.25;
constexpr double fixed_burst_share = 0.2;
/// Operations that all hosts together may save up beyond the shares.
constexpr double fixed_extra_burst = 8;
constexpr double lent_rate_share = 0.8;
constexpr double lent_burst_share = 0.75;
constexpr double least_burst = 1;
/// A team without a rate is told to come back after this time, in seconds.
constexpr double longest_wait = 10;

} // namespace

quota_part fixed_part(quota_part whole, std::size_t hosts) {
    auto const count = static_cast<double>(std::max<std::size_t>(hosts, 1));
    return quota_part{
        whole.rate * fixed_rate_share / count,
        (whole.burst * fixed_burst_share + fixed_extra_burst) / count};
}

quota_part lent_part(quota_part whole) {
    return quota_part{whole.rate * lent_rate_share, whole.burst * lent_burst_share};
}

quota_bucket::quota_bucket(double tokens, instant now) : tokens(tokens), refilled(now) {}

void quota_bucket::set_part(quota_part next, instant now) {
    this->refill(now);
    this->part = next;
    this->refill(now);
}

void quota_bucket::refill(instant now) {
    this->tokens += this->part.rate * to_seconds(now - this->refilled);
    this->tokens = std::min(this->tokens, std::max(least_burst, this->part.burst));
    this->refilled = now;
}

duration quota_bucket::take(instant now) {
    this->refill(now);
    if (this->tokens >= 1) {
        this->tokens -= 1;
        return duration(0);
    }
    double const wait = this->part.rate > 0 ? (1 - this->tokens) / this->part.rate : longest_wait;
    return std::max(
        duration(1), std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>(std::min(wait, longest_wait))));
}

} // namespace persimmonpoint
