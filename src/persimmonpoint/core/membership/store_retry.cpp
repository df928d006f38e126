#include <algorithm>
#include <persimmonpoint/core/membership/store_retry.hpp>

namespace persimmonpoint {

namespace {

constexpr duration min_pause = std::chrono::milliseconds(300);
/// The pause is this part of the time that the calls have failed.
constexpr double pause_per_outage = 0.5;
/// Part of the pause that is drawn at random.
constexpr double jitter = 0.3;

} // namespace

duration store_retry::failed(instant now, duration limit, random_source& random) {
    if (!this->failing_since) {
        this->failing_since = now;
    }
    double const outage = to_seconds(now - *this->failing_since);
    double const longest = to_seconds(std::max(limit, min_pause));
    double const pause =
        std::clamp(outage * pause_per_outage, to_seconds(min_pause), longest);
    double const spread = 1 - jitter * random.unit();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(pause * spread));
}

} // namespace persimmonpoint
