#ifndef PERSIMMONPOINT_CORE_ROUTING_LANE_CHOICE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_LANE_CHOICE_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <persimmonpoint/core/statement/work_order.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

enum class lane_state { opening, idle, busy, in_transaction };

/// One connection of an owner to its database. It belongs to one team for life.
struct lane_view {
    std::uint64_t id = 0;
    std::string team;
    lane_state state = lane_state::opening;
    session_values values;
    std::set<prepared_shape> prepared;
    instant last_used{};
};

/// How many connections an owner may have, and how many statements may run.
struct lane_limits {
    std::uint32_t connections = 1;
    std::uint32_t running = 1;
    /// Connections of one team that aren't held by open transactions.
    std::uint32_t per_team = 1;
    /// Idle connections beyond the lasting ones are closed after this time; 0: never.
    duration idle_life{0};
    /// Connections that may stay however long they are idle.
    std::uint32_t lasting = 0;
};

struct lane_decision {
    enum class step {
        use,   ///< Run the order on lane `lane`.
        open,  ///< Open a connection for the order's team.
        evict, ///< Close idle lane `lane` of another team, then open one.
        wait   ///< Nothing can be done for this order now.
    };
    step next = step::wait;
    std::uint64_t lane = 0;
};

/// Chooses the connection for an order.
///
/// Load it answers: connections are few and dear to open, and each is good for one team
/// only. One with the session's values in force comes first, since others need a reset.
lane_decision choose_lane(
    work_order const& order,
    std::span<lane_view const* const> lanes,
    lane_limits const& limits);

/// Idle connections that are to be closed: what is over the limit, the one that was idle
/// longest first, and what has been idle for too long.
std::vector<std::uint64_t> surplus_lanes(
    std::span<lane_view const* const> lanes, lane_limits const& limits, instant now);

/// Commands that bring a lane's session into the state that an order needs, in order.
enum class setup_kind { reset, set, prepare };
struct setup_step {
    setup_kind kind;
    std::string name;
    std::string value;
};
std::vector<setup_step> plan_setup(work_order const& order, lane_view const& lane);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_LANE_CHOICE_HPP_INCLUDED
