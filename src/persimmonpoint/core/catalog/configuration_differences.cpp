#include <cstdio>
#include <persimmonpoint/core/catalog/configuration_differences.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

using differences = std::vector<configuration_difference>;

constexpr char const* from_next_operation =
    "sessions go by it from their next operation on; open transactions keep the old one";

std::string text_of(duration time) {
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) +
           " ms";
}

std::string text_of(std::uint32_t number) {
    return std::to_string(number);
}

std::string text_of(std::string const& text) {
    return text;
}

std::string text_of(bool flag) {
    return flag ? "true" : "false";
}

std::string text_of(double number) {
    char text[32];
    std::snprintf(text, sizeof(text), "%g", number);
    return text;
}

std::string text_of(std::optional<double> const& number) {
    return number ? text_of(*number) : "not given";
}

std::string text_of(route_kind kind) {
    switch (kind) {
    case route_kind::primary:
        return "primary";
    case route_kind::bounded_staleness:
        return "bounded_staleness";
    default:
        return "read_own_writes";
    }
}

std::string text_of(region_set const& regions) {
    std::string text;
    for (std::string const& each : regions) {
        text += (text.empty() ? "" : ", ") + each;
    }
    return text.empty() ? "all" : text;
}

/// Gathers the fields of one entry that differ.
class field_changes {
public:
    template <class Value>
    field_changes&
    add(std::string const& field, Value const& before, Value const& behind) {
        if (before != behind) {
            this->text += (this->text.empty() ? "" : ", ") + field + " " +
                          text_of(before) + " to " + text_of(behind);
        }
        return *this;
    }

    std::string text;
};

/// Calls `gone`, `kept` and `added` for the entries of two maps.
template <class Map, class Gone, class Kept, class Added>
void compare(
    Map const& before,
    Map const& behind,
    Gone const& gone,
    Kept const& kept,
    Added const& added) {
    for (auto const& [name, entry] : before) {
        auto const found = behind.find(name);
        if (found == behind.end()) {
            gone(entry);
        } else {
            kept(entry, found->second);
        }
    }
    for (auto const& [name, entry] : behind) {
        if (before.find(name) == before.end()) {
            added(entry);
        }
    }
}

void compare_versions(
    fleet_configuration const& in_force,
    fleet_configuration const& wanted,
    differences& found) {
    if (wanted.version <= in_force.version) {
        found.push_back(
            {"version",
             std::to_string(in_force.version) + " to " + std::to_string(wanted.version),
             "hosts take no version that isn't above the one in force: nothing of it is "
             "used"});
    }
}

std::string changes_of(served_route const& before, served_route const& behind) {
    return field_changes()
        .add("group", before.group, behind.group)
        .add("kind", before.kind, behind.kind)
        .add("timeout", before.statement_timeout, behind.statement_timeout)
        .add("target latency", before.target_latency, behind.target_latency)
        .add("staleness bound", before.max_staleness, behind.max_staleness)
        .add("priority", before.priority, behind.priority)
        .add("open to all", before.allow_anonymous, behind.allow_anonymous)
        .add("allowed regions", before.allowed_regions, behind.allowed_regions)
        .text;
}

void compare_routes(
    fleet_configuration const& in_force,
    fleet_configuration const& wanted,
    differences& found) {
    compare(
        in_force.routes, wanted.routes,
        [&found](served_route const& gone) {
            found.push_back(
                {"routes/" + gone.name, "removed (host " + gone.database + ")",
                 "new sessions and the next operations of open ones are refused "
                 "(NODATABASE); open transactions go on"});
        },
        [&found](served_route const& before, served_route const& behind) {
            std::string change = changes_of(before, behind);
            if (!change.empty()) {
                found.push_back(
                    {"routes/" + behind.name, std::move(change), from_next_operation});
            }
        },
        [&found](served_route const& added) {
            found.push_back(
                {"routes/" + added.name, "added (host " + added.database + ")",
                 "no open session uses it"});
        });
}

void compare_groups(
    fleet_configuration const& in_force,
    fleet_configuration const& wanted,
    differences& found) {
    compare(
        in_force.groups, wanted.groups,
        [&found](served_group const& gone) {
            found.push_back(
                {"groups/" + gone.name, "removed",
                 "one connection to each of its databases is left, for the routes that "
                 "still lead there"});
        },
        [&found](served_group const& before, served_group const& behind) {
            std::string change =
                field_changes()
                    .add("connections", before.max_connections, behind.max_connections)
                    .add(
                        "synchronous replicas", before.sync_replicas,
                        behind.sync_replicas)
                    .add("rate while cold", before.cold_rate, behind.cold_rate)
                    .text;
            if (!change.empty()) {
                found.push_back(
                    {"groups/" + behind.name, std::move(change),
                     "connections over the new limit are closed once they are idle"});
            }
        },
        [&found](served_group const& added) {
            found.push_back({"groups/" + added.name, "added", "no open session uses it"});
        });
}

void compare_teams(
    fleet_configuration const& in_force,
    fleet_configuration const& wanted,
    differences& found) {
    compare(
        in_force.teams, wanted.teams,
        [&found](served_team const& gone) {
            found.push_back(
                {"teams/" + gone.name, "removed",
                 "its sessions are refused (DENIED) with their next statement, and their "
                 "transactions rolled back"});
        },
        [&found](served_team const& before, served_team const& behind) {
            std::string change =
                field_changes()
                    .add("rate", before.rate, behind.rate)
                    .add("burst", before.burst, behind.burst)
                    .add(
                        "allowed regions", before.allowed_regions, behind.allowed_regions)
                    .text;
            if (!change.empty()) {
                found.push_back(
                    {"teams/" + behind.name, std::move(change),
                     "a higher quota holds at once, a lower one by the time that "
                     "the hosts' settings give"});
            }
        },
        [&found](served_team const& added) {
            found.push_back({"teams/" + added.name, "added", "no open session uses it"});
        });
}

void compare_keys(
    fleet_configuration const& in_force,
    fleet_configuration const& wanted,
    differences& found) {
    std::map<std::string, std::size_t> withdrawn;
    std::map<std::string, std::size_t> given;
    for (auto const& [key, team] : in_force.keys) {
        bool const is_kept = wanted.team_of(key) == team;
        withdrawn[team] += is_kept || wanted.find_team(team) == nullptr ? 0 : 1;
    }
    for (auto const& [key, team] : wanted.keys) {
        bool const is_old = in_force.team_of(key) == team;
        given[team] += is_old || in_force.find_team(team) == nullptr ? 0 : 1;
    }
    for (auto const& [team, count] : withdrawn) {
        if (count > 0) {
            found.push_back(
                {"teams/" + team, "keys withdrawn: " + std::to_string(count),
                 "sessions that came with them are refused (DENIED) with their next "
                 "statement, and their transactions rolled back"});
        }
    }
    for (auto const& [team, count] : given) {
        if (count > 0) {
            found.push_back(
                {"teams/" + team, "keys added: " + std::to_string(count),
                 "no open session uses them"});
        }
    }
}

void compare_limits(
    fleet_configuration const& in_force,
    fleet_configuration const& wanted,
    differences& found) {
    std::string change = field_changes()
                             .add(
                                 "idle time of transactions", in_force.transaction_idle,
                                 wanted.transaction_idle)
                             .text;
    if (!change.empty()) {
        found.push_back(
            {"limits", std::move(change),
             "open transactions go by it from their next statement on"});
    }
}

} // namespace

std::vector<configuration_difference> compare_configurations(
    fleet_configuration const& in_force, fleet_configuration const& wanted) {
    differences found;
    compare_versions(in_force, wanted, found);
    compare_routes(in_force, wanted, found);
    compare_groups(in_force, wanted, found);
    compare_teams(in_force, wanted, found);
    compare_keys(in_force, wanted, found);
    compare_limits(in_force, wanted, found);
    return found;
}

} // namespace persimmonpoint
