#ifndef PERSIMMONPOINT_CORE_ROUTING_READ_ROUTER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_READ_ROUTER_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/routing/group_view.hpp>
#include <span>
#include <string_view>

namespace persimmonpoint {

/// Current load of this host's connections to a database.
struct database_load {
    std::size_t free_connections = 0; ///< Idle ones and ones that may be opened.
    std::size_t waiting = 0;          ///< Requests queued for a connection.
};

struct read_request {
    log_position floor;                 ///< The database's log must reach it.
    std::string_view availability_zone; ///< Of this host.
    std::span<char const> excluded;     ///< By database index; nonzero: tried already.
    double tie_breaker = 0;             ///< Random, in [0, 1).
};

/// Chooses the database for a read. Candidates are the reachable replicas whose last
/// reported log position covers the floor or is only slightly behind it, as the replica
/// has probably caught up since; the floor itself is checked on the connection. Falls
/// back to the primary if there is no candidate, even if it is unreachable or leaving.
/// Returns nothing if there is no primary either or it is excluded.
std::optional<std::size_t> choose_for_read(
    group_view const& view,
    std::span<database_load const> loads,
    read_request const& request);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_READ_ROUTER_HPP_INCLUDED
