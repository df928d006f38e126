#include <algorithm>
#include <persimmonpoint/core/limits/quota_share.hpp>

namespace persimmonpoint {

namespace {

/// Part of the allowed window that is never used.
constexpr double window_reserve = 0.04;

constexpr double fixed_burst_share = 0.2;
constexpr double lent_burst_share = 0.4;
/// Operations that all hosts together may save up beyond the shares.
constexpr double fixed_extra_burst = 8;
constexpr double least_burst = 1;
/// All hosts' rates together, at most.
constexpr double most_rate_share = 1.12;
/// Part of the rate that needs no lender: what hosts cut off from the lender can serve.
constexpr double fixed_rate_part = 0.42;
/// A team without a rate is told to come back after this time, in seconds.
constexpr double longest_wait = 10;

/// A host's part is no use below one operation. Each of them having one saved up may take
/// this much of the allowed window.
constexpr double most_saved_by_hosts = 0.1;

double allowed_in_window(quota_part whole, quota_rules const& rules) {
    return (whole.rate * to_seconds(rules.window) + whole.burst) * (1 + rules.overrun) +
           rules.slack;
}

/// The rate that keeps within the allowed window if so much may have been saved up.
double total_rate(quota_part whole, double saved_up, quota_rules const& rules) {
    double const usable =
        allowed_in_window(whole, rules) * (1 - window_reserve) - saved_up;
    return std::clamp(
        usable / to_seconds(rules.window), 0.0, whole.rate * most_rate_share);
}

} // namespace

quota_split split_quota(quota_part whole, std::size_t hosts, quota_rules const& rules) {
    auto const count = static_cast<double>(std::max<std::size_t>(hosts, 1));
    double const lent_burst = whole.burst * lent_burst_share;
    double const shared_burst = whole.burst * fixed_burst_share + fixed_extra_burst;
    double const fixed_burst = std::max(shared_burst, count * least_burst);
    quota_split split;
    split.lent.burst = lent_burst;
    bool const too_many =
        fixed_burst > shared_burst &&
        fixed_burst > most_saved_by_hosts * allowed_in_window(whole, rules);
    if (too_many) {
        split.lent.rate = total_rate(whole, lent_burst + fixed_extra_burst, rules);
        return split;
    }
    double const rate =
        total_rate(whole, fixed_burst + lent_burst + fixed_extra_burst, rules);
    split.fixed.rate = rate * fixed_rate_part / count;
    split.fixed.burst = fixed_burst / count;
    split.lent.rate = rate * (1 - fixed_rate_part);
    return split;
}

quota_bucket::quota_bucket(double tokens, instant now, duration lower_delay)
    : lower_delay(lower_delay), tokens(tokens), refilled(now) {}

void quota_bucket::set_part(quota_part next, instant now, lowering when) {
    this->refill(now);
    if (this->lower && when == lowering::at_once) {
        this->lower = next;
        return;
    }
    if (next.rate >= this->part.rate || when == lowering::at_once) {
        this->part = next;
        this->lower.reset();
        return;
    }
    if (!this->lower) {
        this->lower_from = now + this->lower_delay;
    }
    this->lower = next;
}

quota_bucket::lowering lowering_of(quota_part before, quota_part after) {
    bool const lower = after.rate < before.rate;
    return lower ? quota_bucket::lowering::delayed : quota_bucket::lowering::at_once;
}

void quota_bucket::fill_until(instant time) {
    this->tokens += this->part.rate * this->share * to_seconds(time - this->refilled);
    this->tokens =
        std::min(this->tokens, std::max(least_burst, this->part.burst * this->share));
    this->refilled = time;
}

void quota_bucket::refill(instant now) {
    if (this->lower && now >= this->lower_from) {
        this->fill_until(std::max(this->lower_from, this->refilled));
        this->part = *this->lower;
        this->lower.reset();
    }
    this->fill_until(now);
}

void quota_bucket::set_share(double next, instant now) {
    this->refill(now);
    this->share = next;
    this->fill_until(now);
}

void quota_bucket::add(double operations, instant now) {
    this->refill(now);
    double const most = std::max(least_burst, this->part.burst * this->share);
    this->tokens = std::max(this->tokens, std::min(this->tokens + operations, most));
}

void quota_bucket::drain(instant now) {
    this->refill(now);
    this->tokens = 0;
}

duration quota_bucket::take(instant now) {
    this->refill(now);
    if (this->tokens >= 1) {
        this->tokens -= 1;
        return duration(0);
    }
    double const wait = this->part.rate * this->share > 0
                            ? (1 - this->tokens) / (this->part.rate * this->share)
                            : longest_wait;
    return std::max(
        duration(1), std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>(std::min(wait, longest_wait))));
}

} // namespace persimmonpoint
