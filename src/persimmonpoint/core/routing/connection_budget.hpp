#ifndef PERSIMMONPOINT_CORE_ROUTING_CONNECTION_BUDGET_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_CONNECTION_BUDGET_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <persimmonpoint/core/routing/lane_choice.hpp>

namespace persimmonpoint {

/// How long an owner keeps connections beyond its lasting ones that it does not use.
inline constexpr duration spare_idle_life = std::chrono::seconds(2);

/// Connections and statements at a time of the owner at `rank`, out of what a database
/// takes from all hosts. Connections of a host that lost its power linger for seconds, so
/// the first owner keeps half of them at most and borrows more while it has use for them:
/// whoever steps in finds the other half free.
inline lane_limits
owner_limits(std::size_t rank, std::uint32_t max_connections, std::uint32_t slots) {
    std::uint32_t const part = rank == 0   ? max_connections - max_connections / 4
                               : rank == 1 ? max_connections / 8
                                           : max_connections / 16;
    lane_limits limits;
    limits.connections = std::max<std::uint32_t>(part, 1);
    // One more than the database runs at a time covers the way there and back.
    limits.running = rank == 0 ? slots + 1 : slots;
    limits.per_team = slots;
    limits.lasting = rank == 0 ? max_connections / 2 : 0;
    limits.idle_life = spare_idle_life;
    return limits;
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_CONNECTION_BUDGET_HPP_INCLUDED
