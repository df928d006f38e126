#ifndef PERSIMMONPOINT_TRAFFIC_ADMISSION_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_ADMISSION_HPP_INCLUDED

#include <map>
#include <mutex>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/core/limits/token_bucket.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::traffic {

/// Admits requests within this host's share of each team's rate and burst.
/// Shared by the traffic threads; a call holds a mutex for the time of one bucket.
class admission {
public:
    /// `share`: this host's part of the fleet's rates, at most 1.
    /// A host that has just started can't know what was spent before: its buckets are
    /// empty at `started` and fill from then on.
    admission(double share, instant started) : share(share), started(started) {}

    /// `jitter` in [0, 1) spreads the time told to refused callers.
    result<void>
    admit(std::string_view team, rate_limit limit, double jitter, instant now);

private:
    double share;
    instant started;
    std::mutex mutex;
    std::map<std::string, token_bucket, std::less<>> buckets;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_ADMISSION_HPP_INCLUDED
