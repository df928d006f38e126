#ifndef PERSIMMONPOINT_CORE_ROUTING_POOLED_CONNECTION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_POOLED_CONNECTION_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <persimmonpoint/core/routing/prepared_names.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>

namespace persimmonpoint {

enum class pooled_connection_state {
    opening, ///< Ends by itself: an attempt to connect has a time limit of its own.
    idle,
    busy,          ///< An order runs on it.
    ending,        ///< A ROLLBACK of the system's own is under way; nobody waits for it.
    in_transaction ///< Of a caller, whether or not an order runs in it.
};

/// An owner's connection to its database. A connection serves one team until it is
/// closed.
struct pooled_connection {
    std::uint64_t id = 0;
    std::string team;
    pooled_connection_state state = pooled_connection_state::opening;
    session_values values;
    prepared_names prepared;
    instant last_used{};
    /// When the owner ends the present state, whether or not the database has answered.
    std::optional<instant> deadline;

    /// Only an idle connection may stay as it is for any time.
    void rest(instant now);
    /// For any state that an answer or another order is to end.
    void enter(pooled_connection_state next, instant until);
    bool is_overdue(instant now) const;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_POOLED_CONNECTION_HPP_INCLUDED
