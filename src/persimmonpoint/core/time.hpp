#ifndef PERSIMMONPOINT_CORE_TIME_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_TIME_HPP_INCLUDED

/// Time types of the core. The core never reads a clock: callers pass the current time.

#include <chrono>

namespace persimmonpoint {

using duration = std::chrono::nanoseconds;
/// A time point of the host's monotonic clock; not comparable between hosts.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Converts a duration to fractional seconds.
inline double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_TIME_HPP_INCLUDED
