#ifndef PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHART_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHART_HPP_INCLUDED

/// States and events of charts/leadership.toml, in the order of that file.

#include <array>
#include <persimmonpoint/chart/machine.hpp>
#include <string_view>

namespace persimmonpoint {

enum class leadership_state {
    securing,
    surveying,
    holding,
    comparing,
    promoting,
    confirming,
    releasing,
    over
};

enum class leadership_event {
    token_granted,
    candidate_chosen,
    others_held,
    positions_covered,
    call_accepted,
    token_outdated,
    candidate_leads,
    lead_not_seen,
    candidate_lost,
    called_off,
    all_resumed
};

inline constexpr std::array<std::string_view, 8> leadership_states = {
    "securing",  "surveying",  "holding",   "comparing",
    "promoting", "confirming", "releasing", "over"};
inline constexpr std::array<std::string_view, 11> leadership_events = {
    "token_granted",  "candidate_chosen", "others_held",     "positions_covered",
    "call_accepted",  "token_outdated",   "candidate_leads", "lead_not_seen",
    "candidate_lost", "called_off",       "all_resumed"};

using leadership_machine = chart::machine<leadership_state, leadership_event>;

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHART_HPP_INCLUDED
