#ifndef PERSIMMONPOINT_TRAFFIC_CONNECTION_CHART_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_CONNECTION_CHART_HPP_INCLUDED

/// States and events of charts/connection.toml, in its order.

#include <array>
#include <persimmonpoint/chart/machine.hpp>
#include <string_view>

namespace persimmonpoint::traffic {

enum class connection_state {
    connecting,
    idle,
    running,
    in_transaction,
    resetting,
    closed
};

enum class connection_event {
    connected,
    taken,
    answered_idle,
    answered_open,
    released_clean,
    released_dirty,
    reset_done,
    broken
};

inline constexpr std::array<std::string_view, 6> connection_states = {
    "connecting", "idle", "running", "in_transaction", "resetting", "closed"};
inline constexpr std::array<std::string_view, 8> connection_events = {
    "connected",      "taken",          "answered_idle", "answered_open",
    "released_clean", "released_dirty", "reset_done",    "broken"};

using connection_machine = chart::machine<connection_state, connection_event>;

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_CONNECTION_CHART_HPP_INCLUDED
