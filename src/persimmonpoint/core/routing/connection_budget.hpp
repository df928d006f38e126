#ifndef PERSIMMONPOINT_CORE_ROUTING_CONNECTION_BUDGET_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_CONNECTION_BUDGET_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <persimmonpoint/core/routing/connection_choice.hpp>

namespace persimmonpoint {

/// Idle timeout of connections that an owner opened beyond
/// `connection_limits::min_retained`.
inline constexpr duration extra_connection_idle_timeout = std::chrono::seconds(2);

/// True if a first owner can't keep a connection for each team: opening them again is
/// then part of the load.
inline bool
teams_outnumber_connections(std::size_t teams, std::uint32_t max_connections) {
    return teams > max_connections / 2;
}

/// Limits on connections and concurrent statements for the owner at `rank`, derived from
/// what the database accepts from all hosts together.
///
/// A database keeps the connections of a host that lost power open for some seconds. The
/// first owner therefore keeps at most half of `max_connections` when idle and opens more
/// only under load, so that the host that takes over finds the other half free.
inline connection_limits
owner_limits(std::size_t rank, std::uint32_t max_connections, std::uint32_t slots) {
    std::uint32_t const share = rank == 0   ? max_connections - max_connections / 4
                                : rank == 1 ? max_connections / 8
                                            : max_connections / 16;
    connection_limits limits;
    limits.connections = std::max<std::uint32_t>(share, 1);
    // One statement beyond the database's slots hides the network round trip.
    limits.running = rank == 0 ? slots + 1 : slots;
    limits.max_per_team = slots;
    limits.min_retained = rank == 0 ? max_connections / 2 : 0;
    limits.idle_timeout = extra_connection_idle_timeout;
    return limits;
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_CONNECTION_BUDGET_HPP_INCLUDED
