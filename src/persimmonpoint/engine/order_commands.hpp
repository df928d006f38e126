#ifndef PERSIMMONPOINT_ENGINE_ORDER_COMMANDS_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_ORDER_COMMANDS_HPP_INCLUDED

#include <persimmonpoint/core/routing/connection_choice.hpp>
#include <persimmonpoint/interfaces/upstream_connection.hpp>
#include <vector>

namespace persimmonpoint::engine {

/// One command of an order. The main one is what the order is about; those before it
/// bring the connection into the state that it needs.
struct order_step {
    upstream_command command;
    bool is_main = false;
};

/// The commands that carry out an order on a connection, in order.
std::vector<order_step>
plan_order(upstream_request const& order, pooled_connection const& lane);

/// Orders of the system's own, which need no slot and no team.
bool is_control(upstream_request_kind kind);
/// True if the order's main command commits a change.
bool changes_log(upstream_request const& order);
/// True if only a database that leads answers the order with success.
bool proves_lead(upstream_request const& order);

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_ORDER_COMMANDS_HPP_INCLUDED
