#ifndef PERSIMMONPOINT_ENGINE_CONTROL_ORDER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_CONTROL_ORDER_HPP_INCLUDED

#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/engine/fleet_view.hpp>
#include <string>

namespace persimmonpoint::engine {

/// An order of the system's own to one database, with no statement of a caller.
/// @param budget Time that it may take.
upstream_request make_control_order(
    fleet_view const& view,
    std::string const& group,
    std::string const& database,
    upstream_request_kind kind,
    duration budget);

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_CONTROL_ORDER_HPP_INCLUDED
