#ifndef PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_CHART_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_CHART_HPP_INCLUDED

/// States and events of charts/evacuation.toml, in the order of that file.

#include <array>
#include <persimmonpoint/chart/machine.hpp>
#include <string_view>

namespace persimmonpoint {

enum class evacuation_state { in_service, moving_lead, finishing, evacuated };

enum class evacuation_event {
    requested,
    lead_gone,
    work_time_over,
    transactions_time_over,
    taken_back
};

inline constexpr std::array<std::string_view, 4> evacuation_states = {
    "in_service", "moving_lead", "finishing", "evacuated"};
inline constexpr std::array<std::string_view, 5> evacuation_events = {
    "requested", "lead_gone", "work_time_over", "transactions_time_over", "taken_back"};

using evacuation_machine = chart::machine<evacuation_state, evacuation_event>;

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_CHART_HPP_INCLUDED
