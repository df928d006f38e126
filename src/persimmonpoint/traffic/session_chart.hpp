#ifndef PERSIMMONPOINT_TRAFFIC_SESSION_CHART_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_SESSION_CHART_HPP_INCLUDED

/// States and events of charts/session.toml, in its order.

#include <array>
#include <persimmonpoint/chart/machine.hpp>
#include <string_view>

namespace persimmonpoint::traffic {

enum class session_state { startup, authenticating, ready, busy, failed_batch, closed };

enum class session_event {
    startup_received,
    key_accepted,
    request_received,
    request_done,
    batch_failed,
    sync_received,
    ended
};

inline constexpr std::array<std::string_view, 6> session_states = {
    "startup", "authenticating", "ready", "busy", "failed_batch", "closed"};
inline constexpr std::array<std::string_view, 7> session_events = {"startup_received",
                                                                   "key_accepted",
                                                                   "request_received",
                                                                   "request_done",
                                                                   "batch_failed",
                                                                   "sync_received",
                                                                   "ended"};

using session_machine = chart::machine<session_state, session_event>;

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_SESSION_CHART_HPP_INCLUDED
