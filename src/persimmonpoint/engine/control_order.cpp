#include <chrono>
#include <persimmonpoint/engine/control_order.hpp>

namespace persimmonpoint::engine {

namespace {

/// A connection is opened for some team, though the order is of none.
std::string some_team(fleet_view const& view) {
    auto const& teams = view.configuration->teams;
    return teams.empty() ? "-" : teams.begin()->first;
}

} // namespace

upstream_request make_control_order(
    fleet_view const& view,
    std::string const& group,
    std::string const& database,
    upstream_request_kind kind,
    duration budget) {
    upstream_request order;
    order.kind = kind;
    order.group = group;
    order.database = database;
    order.team = some_team(view);
    order.budget_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(budget).count());
    return order;
}

} // namespace persimmonpoint::engine
