#include <algorithm>
#include <persimmonpoint/core/limits/concurrency_profile.hpp>

namespace persimmonpoint {

namespace {

/// Weight of a new sample in the exponential averages.
constexpr double sample_weight = 0.02;
/// Fewer samples show nothing.
constexpr std::uint32_t least_samples = 50;
/// What was not seen for so long may have changed.
constexpr duration memory = std::chrono::seconds(4);

} // namespace

concurrency_profile::observation&
concurrency_profile::at(std::uint32_t in_flight, instant now) {
    observation& found = this->observations[std::min(in_flight, this->most)];
    if (now - found.seen > memory) {
        found = observation();
    }
    found.seen = now;
    ++found.samples;
    return found;
}

void concurrency_profile::completed(
    std::uint32_t in_flight, double relative_time, instant now) {
    observation& seen = this->at(in_flight, now);
    // The first samples are averaged evenly.
    double const weight = std::max(sample_weight, 1.0 / seen.samples);
    seen.relative_time += weight * (relative_time - seen.relative_time);
    seen.taken_share += weight * (1 - seen.taken_share);
}

void concurrency_profile::refused(std::uint32_t in_flight, instant now) {
    observation& seen = this->at(in_flight, now);
    seen.taken_share -= std::max(sample_weight, 1.0 / seen.samples) * seen.taken_share;
}

double concurrency_profile::throughput(std::uint32_t in_flight, instant now) const {
    auto const found = this->observations.find(in_flight);
    if (found == this->observations.end() || found->second.samples < least_samples ||
        now - found->second.seen > memory) {
        return -1;
    }
    observation const& seen = found->second;
    // Without a time all of them were refused.
    return seen.relative_time > 0 ? in_flight * seen.taken_share / seen.relative_time : 0;
}

std::uint32_t concurrency_profile::limit(instant now) const {
    for (std::uint32_t each = 1; each < this->most; ++each) {
        double const here = this->throughput(each, now);
        bool all_no_better = here >= 0;
        for (std::uint32_t more = each + 1; more <= this->most && all_no_better; ++more) {
            double const there = this->throughput(more, now);
            all_no_better = there >= 0 && there <= here;
        }
        if (all_no_better) {
            return each;
        }
    }
    return std::max<std::uint32_t>(this->most, 1);
}

} // namespace persimmonpoint
