#ifndef PERSIMMONPOINT_CORE_RECOVERY_FAILOVER_CHART_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_FAILOVER_CHART_HPP_INCLUDED

/// States and events of the state machine in charts/failover.toml, in the same order.

#include <array>
#include <persimmonpoint/chart/machine.hpp>
#include <string_view>

namespace persimmonpoint {

enum class failover_state { following, suspecting, fencing, promoting };

enum class failover_event {
    primary_silent,
    primary_seen,
    election_due,
    majority_granted,
    election_lost,
    promoted
};

inline constexpr std::array<std::string_view, 4> failover_states = {
    "following", "suspecting", "fencing", "promoting"};
inline constexpr std::array<std::string_view, 6> failover_events = {
    "primary_silent",   "primary_seen",  "election_due",
    "majority_granted", "election_lost", "promoted"};

using failover_machine = chart::machine<failover_state, failover_event>;

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_FAILOVER_CHART_HPP_INCLUDED
