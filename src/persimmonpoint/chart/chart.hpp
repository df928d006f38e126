#ifndef PERSIMMONPOINT_CHART_CHART_HPP_INCLUDED
#define PERSIMMONPOINT_CHART_CHART_HPP_INCLUDED

/// State charts in TOML: loaded, checked, and interpreted.

#include <cstddef>
#include <optional>
#include <persimmonpoint/settings/finding.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::chart {

/// One state and where each event leads. Events without a target are ignored in it.
struct state {
    std::string name;
    /// Indexed by event; nothing where the event is not allowed.
    std::vector<std::optional<std::size_t>> targets;
    bool final = false;
};

/// A checked chart. States and events are numbered in the order of the file's lists.
struct chart {
    std::string name;
    std::vector<std::string> events;
    std::vector<state> states;
    std::size_t initial = 0;
};

struct loaded_chart {
    chart value;
    std::vector<finding> findings; ///< Empty if the chart may be used.
};

/// Reads a chart. Finds unknown targets and events, events that no state handles,
/// states that can't be reached, and states that neither end nor lead anywhere.
loaded_chart load(std::string_view name, std::string_view toml);

/// The text of an embedded chart; nothing if there is none of this name.
std::optional<std::string_view> embedded(std::string_view name);

/// Names of all embedded charts.
std::vector<std::string_view> embedded_names();

} // namespace persimmonpoint::chart

#endif // PERSIMMONPOINT_CHART_CHART_HPP_INCLUDED
