#ifndef PERSIMMONPOINT_CORE_LIMITS_CALLER_LIMITS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_CALLER_LIMITS_HPP_INCLUDED

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <persimmonpoint/core/limits/intake_budget.hpp>

namespace persimmonpoint {

/// Bounds on what callers may make a host hold.
struct caller_limits {
    std::size_t held_bytes = max_host_intake_bytes;
    /// Connections at a time; one more is closed at once.
    std::size_t connections = 100'000;
    /// From the connection to the whole of its first message.
    std::chrono::milliseconds start_time{15'000};
    /// From the first byte of a message to its last.
    std::chrono::milliseconds message_time{30'000};
};

/// Connections that leave enough of a process's descriptors for its files, its links to
/// other hosts and its connections to databases.
inline std::size_t connections_within(std::size_t descriptors) {
    constexpr std::size_t reserve = 456;
    return descriptors - std::min(descriptors / 2, reserve);
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_CALLER_LIMITS_HPP_INCLUDED
