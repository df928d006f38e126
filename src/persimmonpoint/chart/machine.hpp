#ifndef PERSIMMONPOINT_CHART_MACHINE_HPP_INCLUDED
#define PERSIMMONPOINT_CHART_MACHINE_HPP_INCLUDED

#include <cstddef>
#include <memory>
#include <persimmonpoint/chart/chart.hpp>
#include <span>
#include <string_view>

namespace persimmonpoint::chart {

/// Loads an embedded chart and checks that its lists equal the code's, in order.
/// Ends the process with all findings if it doesn't: the binary is then not usable.
std::shared_ptr<chart const> require(
    std::string_view name,
    std::span<std::string_view const> states,
    std::span<std::string_view const> events);

/// Interprets a chart. State and Event are enumerations in the order of the chart's
/// lists.
template <class State, class Event>
class machine {
public:
    explicit machine(std::shared_ptr<chart const> rules)
        : rules(std::move(rules)), current(this->rules->initial) {}

    State state() const { return static_cast<State>(this->current); }
    bool is(State value) const { return this->state() == value; }
    bool is_final() const { return this->rules->states[this->current].final; }

    /// True if the chart allows the event now.
    bool allows(Event event) const {
        return this->rules->states[this->current]
            .targets[static_cast<std::size_t>(event)]
            .has_value();
    }

    /// Moves to the event's target. False, and no move, if the chart doesn't allow it.
    bool fire(Event event) {
        auto const& target =
            this->rules->states[this->current].targets[static_cast<std::size_t>(event)];
        if (!target) {
            return false;
        }
        this->current = *target;
        return true;
    }

    std::string_view state_name() const {
        return this->rules->states[this->current].name;
    }

private:
    std::shared_ptr<chart const> rules;
    std::size_t current;
};

} // namespace persimmonpoint::chart

#endif // PERSIMMONPOINT_CHART_MACHINE_HPP_INCLUDED
