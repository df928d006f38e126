#ifndef PERSIMMONPOINT_CORE_ROUTING_CONNECTION_CHOICE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_CONNECTION_CHOICE_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/core/routing/pooled_connection.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/core/time.hpp>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

/// Limits on an owner's connections and on the statements that run at a time.
struct connection_limits {
    std::uint32_t connections = 1;
    std::uint32_t running = 1;
    /// Most connections of one team, not counting those with an open transaction.
    std::uint32_t max_per_team = 1;
    /// Idle connections above `min_retained` are closed after this time; 0: never.
    duration idle_timeout{0};
    /// Number of connections that are not closed for being idle.
    std::uint32_t min_retained = 0;
};

/// What to do to get a connection for a request.
struct connection_choice {
    enum class step {
        use,   ///< Run the request on connection `lane`.
        open,  ///< Open a connection for the request's team.
        evict, ///< Close idle connection `lane` of another team, then open one.
        wait   ///< No connection can be had now; the request stays queued.
    };
    step next = step::wait;
    std::uint64_t lane = 0;
};

/// Chooses a connection for a request.
///
/// Connections are few, expensive to open, and bound to one team, so an idle connection
/// of the team is reused before one is opened, and one is opened before another team's is
/// evicted. Among idle connections of the team, the one that needs the least session
/// setup is used, as session values left by another session force a reset. If none is
/// idle, the request waits while a connection of its team is being opened or if the team
/// has reached its limit, which doesn't count connections in transactions.
connection_choice choose_connection(
    upstream_request const& order,
    std::span<pooled_connection const* const> pool,
    connection_limits const& limits);

/// Returns the idle connections to close, least recently used first: those above the
/// connection limit, and those above `min_retained` that exceed the idle timeout.
std::vector<std::uint64_t> surplus_connections(
    std::span<pooled_connection const* const> pool,
    connection_limits const& limits,
    instant now);

/// False if the order belongs to a transaction and would prepare more on its connection
/// than may be prepared before the transaction ends. Outside of transactions a connection
/// is reset instead.
bool fits_transaction(upstream_request const& order, pooled_connection const& connection);

enum class setup_kind { reset, set, prepare };
/// One command that prepares a connection's session.
struct setup_step {
    setup_kind kind;
    std::string name;
    std::string value;
};
/// Returns the commands, in execution order, that bring the connection's session into the
/// state that the request needs.
std::vector<setup_step>
plan_setup(upstream_request const& order, pooled_connection const& connection);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_CONNECTION_CHOICE_HPP_INCLUDED
