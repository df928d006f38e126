#include <algorithm>
#include <persimmonpoint/chart/chart.hpp>
#include <toml++/toml.h>

namespace persimmonpoint::chart {

namespace {

/// Builds a chart and collects what is wrong with it.
class loader {
public:
    loader(std::string_view name, toml::table const& root) : root(root) {
        this->out.value.name = name;
    }

    loaded_chart run() {
        this->read_events();
        this->read_state_names();
        this->read_initial();
        this->read_transitions();
        if (this->out.findings.empty()) {
            this->check_reachable();
            this->check_events_handled();
            this->check_dead_ends();
        }
        return std::move(this->out);
    }

private:
    void report(toml::source_region const& place, std::string key, std::string message) {
        this->out.findings.push_back(finding{
            this->out.value.name + ".toml", place.begin.line, place.begin.column,
            std::move(key), std::move(message)});
    }

    toml::table const* states() const { return this->root["states"].as_table(); }

    std::optional<std::size_t> state_index(std::string_view name) const {
        auto const& all = this->out.value.states;
        auto const found = std::ranges::find(all, name, &state::name);
        if (found == all.end()) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(found - all.begin());
    }

    void read_events() {
        toml::array const* events = this->root["events"].as_array();
        if (events == nullptr) {
            this->report(this->root.source(), "events", "chart lists no events");
            return;
        }
        for (toml::node const& each : *events) {
            this->out.value.events.push_back(each.value_or(std::string()));
        }
    }

    void read_state_names() {
        toml::array const* order = this->root["order"].as_array();
        if (order == nullptr || this->states() == nullptr) {
            this->report(this->root.source(), "order", "chart lists no states");
            return;
        }
        for (toml::node const& each : *order) {
            std::string const name = each.value_or(std::string());
            if (!this->states()->contains(name)) {
                this->report(
                    each.source(), "order", "state \"" + name + "\" is not defined");
            }
            state entry;
            entry.name = name;
            entry.targets.resize(this->out.value.events.size());
            this->out.value.states.push_back(std::move(entry));
        }
        for (auto const& [key, node] : *this->states()) {
            if (!this->state_index(key.str())) {
                this->report(
                    node.source(), "states." + std::string(key.str()),
                    "state is missing in order");
            }
        }
    }

    void read_initial() {
        std::string const name = this->root["initial"].value_or(std::string());
        auto const index = this->state_index(name);
        if (!index) {
            this->report(
                this->root.source(), "initial", "state \"" + name + "\" is not defined");
            return;
        }
        this->out.value.initial = *index;
    }

    void read_transitions() {
        for (std::size_t from = 0; from < this->out.value.states.size(); ++from) {
            state& entry = this->out.value.states[from];
            toml::node_view<toml::node const> const node =
                this->root["states"][entry.name];
            entry.final = node["final"].value_or(false);
            this->read_targets(node, from);
            this->read_ignored(node, from);
        }
    }

    void read_targets(toml::node_view<toml::node const> node, std::size_t from) {
        state& entry = this->out.value.states[from];
        toml::table const* on = node["on"].as_table();
        if (on == nullptr) {
            return;
        }
        for (auto const& [key, target] : *on) {
            std::string const path =
                "states." + entry.name + ".on." + std::string(key.str());
            std::string const name = target.value_or(std::string());
            auto const to = this->state_index(name);
            if (!to) {
                this->report(
                    target.source(), path, "state \"" + name + "\" is not defined");
                continue;
            }
            this->set_target(target, path, entry, key.str(), *to);
        }
    }

    void read_ignored(toml::node_view<toml::node const> node, std::size_t from) {
        state& entry = this->out.value.states[from];
        toml::array const* ignored = node["ignore"].as_array();
        if (ignored == nullptr) {
            return;
        }
        for (toml::node const& each : *ignored) {
            std::string const path = "states." + entry.name + ".ignore";
            this->set_target(each, path, entry, each.value_or(std::string()), from);
        }
    }

    void set_target(
        toml::node const& place,
        std::string const& path,
        state& entry,
        std::string_view event,
        std::size_t to) {
        auto const& events = this->out.value.events;
        auto const found = std::ranges::find(events, event);
        if (found == events.end()) {
            this->report(
                place.source(), path,
                "event \"" + std::string(event) + "\" is not listed");
            return;
        }
        entry.targets[static_cast<std::size_t>(found - events.begin())] = to;
    }

    void check_reachable() {
        auto const& all = this->out.value.states;
        std::vector<bool> seen(all.size(), false);
        std::vector<std::size_t> open{this->out.value.initial};
        seen[this->out.value.initial] = true;
        while (!open.empty()) {
            state const& from = all[open.back()];
            open.pop_back();
            for (auto const& target : from.targets) {
                if (target && !seen[*target]) {
                    seen[*target] = true;
                    open.push_back(*target);
                }
            }
        }
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (!seen[i]) {
                this->report_state(all[i], "state can't be reached");
            }
        }
    }

    void check_events_handled() {
        auto const& value = this->out.value;
        for (std::size_t event = 0; event < value.events.size(); ++event) {
            bool const handled =
                std::ranges::any_of(value.states, [&](state const& each) {
                    return each.targets[event].has_value();
                });
            if (!handled) {
                this->report(
                    this->root["events"].node()->source(), "events",
                    "event \"" + value.events[event] + "\" is handled by no state");
            }
        }
    }

    void check_dead_ends() {
        auto const& all = this->out.value.states;
        for (std::size_t i = 0; i < all.size(); ++i) {
            bool const leads_on =
                std::ranges::any_of(all[i].targets, [&](auto const& target) {
                    return target && *target != i;
                });
            if (!leads_on && !all[i].final) {
                this->report_state(all[i], "state leads nowhere and is not final");
            }
        }
    }

    void report_state(state const& entry, std::string message) {
        toml::node_view<toml::node const> const node = this->root["states"][entry.name];
        this->report(node.node()->source(), "states." + entry.name, std::move(message));
    }

    toml::table const& root;
    loaded_chart out;
};

} // namespace

loaded_chart load(std::string_view name, std::string_view toml) {
    try {
        toml::table const root = toml::parse(toml);
        return loader(name, root).run();
    } catch (toml::parse_error const& failure) {
        loaded_chart out;
        toml::source_position const place = failure.source().begin;
        out.findings.push_back(finding{
            std::string(name) + ".toml", place.line, place.column, "",
            std::string(failure.description())});
        return out;
    }
}

} // namespace persimmonpoint::chart
