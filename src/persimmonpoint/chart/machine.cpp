#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <persimmonpoint/chart/machine.hpp>

namespace persimmonpoint::chart {

namespace {

std::string joined(std::span<std::string_view const> names) {
    std::string text;
    for (std::string_view const name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

void compare(
    std::vector<finding>& findings,
    std::string_view chart_name,
    std::string_view key,
    std::vector<std::string_view> const& in_chart,
    std::span<std::string_view const> in_code) {
    if (!std::ranges::equal(in_chart, in_code)) {
        findings.push_back(finding{
            std::string(chart_name) + ".toml", 0, 0, std::string(key),
            "chart has [" + joined(in_chart) + "], code has [" + joined(in_code) + "]"});
    }
}

} // namespace

std::shared_ptr<chart const> require(
    std::string_view name,
    std::span<std::string_view const> states,
    std::span<std::string_view const> events) {
    loaded_chart loaded = load(name, embedded(name).value_or(""));
    std::vector<std::string_view> state_names;
    for (state const& each : loaded.value.states) {
        state_names.emplace_back(each.name);
    }
    std::vector<std::string_view> const event_names(
        loaded.value.events.begin(), loaded.value.events.end());
    compare(loaded.findings, name, "order", state_names, states);
    compare(loaded.findings, name, "events", event_names, events);
    if (!loaded.findings.empty()) {
        for (finding const& each : loaded.findings) {
            std::cerr << to_string(each) << '\n';
        }
        std::exit(EXIT_FAILURE);
    }
    return std::make_shared<chart const>(std::move(loaded.value));
}

} // namespace persimmonpoint::chart
