#include <algorithm>
#include <map>
#include <persimmonpoint/core/catalog/configuration_check.hpp>
#include <persimmonpoint/core/routing/connection_budget.hpp>
#include <set>

namespace persimmonpoint {

namespace {

using findings = std::vector<configuration_finding>;

/// Hosts keep so much of a route's staleness bound for their clocks.
constexpr duration staleness_margin = std::chrono::milliseconds(20);
/// Operations of a burst that lets a team run any.
constexpr double least_burst = 1;

void add(
    findings& found,
    finding_weight weight,
    std::string rule,
    std::string place,
    std::string text) {
    found.push_back({weight, std::move(rule), std::move(place), std::move(text)});
}

std::string place_of(served_route const& route) {
    return "routes/" + route.name;
}

std::string place_of(served_group const& group) {
    return "groups/" + group.name;
}

std::string place_of(listed_team const& team) {
    return "teams/" + team.team.name;
}

std::string to_ms_text(duration time) {
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) +
           " ms";
}

void find_unusable(listed_configuration const& checked, findings& found) {
    for (entry_fault const& each : checked.left_out) {
        add(found, finding_weight::error, "unusable", each.list + "/" + each.entry,
            "field " + each.fault.field + " " + each.fault.reason);
    }
}

void find_hidden_routes(listed_configuration const& checked, findings& found) {
    std::map<std::string, served_route const*> last;
    for (served_route const& each : checked.routes) {
        auto const before = last.find(each.database);
        if (before != last.end()) {
            add(found, finding_weight::error, "hidden-route", place_of(*before->second),
                "is never used: route " + each.name + " has the same host " +
                    each.database);
        }
        last[each.database] = &each;
    }
}

/// Entries of a list that another with the same name takes the place of.
template <class Entry, class NameOf>
void find_replaced(
    std::vector<Entry> const& list, NameOf const& name_of, findings& found) {
    std::set<std::string> seen;
    for (Entry const& each : list) {
        if (!seen.insert(name_of(each)).second) {
            add(found, finding_weight::error, "listed-twice", place_of(each),
                "is listed twice: only the last entry is used");
        }
    }
}

void find_repeated_names(listed_configuration const& checked, findings& found) {
    find_replaced(
        checked.groups, [](served_group const& each) { return each.name; }, found);
    find_replaced(
        checked.teams, [](listed_team const& each) { return each.team.name; }, found);
}

void find_routes_to_nowhere(listed_configuration const& checked, findings& found) {
    for (served_route const& each : checked.routes) {
        bool const is_listed = std::any_of(
            checked.groups.begin(), checked.groups.end(),
            [&each](served_group const& group) { return group.name == each.group; });
        if (!is_listed) {
            add(found, finding_weight::error, "no-service", place_of(each),
                "leads to " + each.group + ", which isn't listed");
        }
    }
}

void find_unused_groups(listed_configuration const& checked, findings& found) {
    for (served_group const& each : checked.groups) {
        bool const is_used = std::any_of(
            checked.routes.begin(), checked.routes.end(),
            [&each](served_route const& route) { return route.group == each.name; });
        if (!is_used) {
            add(found, finding_weight::warning, "unused-service", place_of(each),
                "no route leads to it");
        }
    }
}

void find_teams_without_keys(listed_configuration const& checked, findings& found) {
    for (listed_team const& each : checked.teams) {
        if (each.keys.empty()) {
            add(found, finding_weight::warning, "no-keys", place_of(each),
                "has no keys: nobody can connect as this team");
        }
    }
}

void find_shared_keys(listed_configuration const& checked, findings& found) {
    std::map<std::string, std::string> holders;
    for (listed_team const& each : checked.teams) {
        for (std::string const& key : each.keys) {
            auto const [holder, is_new] = holders.emplace(key, each.team.name);
            if (!is_new && holder->second != each.team.name) {
                // The key itself is a secret.
                add(found, finding_weight::error, "shared-key", place_of(each),
                    "has a key of team " + holder->second + ", whose it is no more");
            }
        }
    }
}

void find_short_timeouts(listed_configuration const& checked, findings& found) {
    for (served_route const& each : checked.routes) {
        if (each.statement_timeout <= duration(0)) {
            add(found, finding_weight::error, "no-time", place_of(each),
                "its timeout is 0: no statement has time to run");
        } else if (each.statement_timeout < each.target_latency) {
            add(found, finding_weight::warning, "timeout-below-target", place_of(each),
                "its timeout (" + to_ms_text(each.statement_timeout) +
                    ") is below its target latency (" + to_ms_text(each.target_latency) +
                    ")");
        }
    }
}

void find_unreachable_freshness(listed_configuration const& checked, findings& found) {
    for (served_route const& each : checked.routes) {
        bool const is_bounded = each.kind == route_kind::bounded_staleness;
        if (is_bounded && each.max_staleness <= staleness_margin) {
            add(found, finding_weight::warning, "too-fresh", place_of(each),
                "its staleness bound is " + to_ms_text(each.max_staleness) + ": up to " +
                    to_ms_text(staleness_margin) +
                    " no replica is known to be fresh enough, and the primary is asked "
                    "for each read");
        }
    }
}

void find_closed_quotas(listed_configuration const& checked, findings& found) {
    for (listed_team const& each : checked.teams) {
        if (each.team.rate <= 0 || each.team.burst < least_burst) {
            add(found, finding_weight::error, "closed-quota", place_of(each),
                "its rate and burst let no operation pass");
        }
    }
}

void find_few_connections(listed_configuration const& checked, findings& found) {
    for (served_group const& each : checked.groups) {
        if (each.max_connections == 0) {
            add(found, finding_weight::error, "no-connections", place_of(each),
                "has no connections");
        } else if (teams_outnumber_connections(
                       checked.teams.size(), each.max_connections)) {
            add(found, finding_weight::warning, "few-connections", place_of(each),
                "its limit of " + std::to_string(each.max_connections) +
                    " connections leaves none for each of " +
                    std::to_string(checked.teams.size()) +
                    " teams: connections will be opened again and again");
        }
    }
}

void find_disjoint_regions(listed_configuration const& checked, findings& found) {
    for (served_route const& route : checked.routes) {
        for (listed_team const& each : checked.teams) {
            region_set const& allowed = each.team.allowed_regions;
            bool const both = !route.allowed_regions.empty() && !allowed.empty();
            bool const meet = std::any_of(
                allowed.begin(), allowed.end(), [&route](std::string const& region) {
                    return route.allowed_regions.count(region) > 0;
                });
            if (both && !meet) {
                add(found, finding_weight::warning, "disjoint-regions", place_of(route),
                    "shares no allowed region with team " + each.team.name +
                        ", which it refuses");
            }
        }
    }
}

} // namespace

std::string_view to_string(finding_weight weight) {
    return weight == finding_weight::error ? "error" : "warning";
}

std::vector<configuration_finding>
check_configuration(listed_configuration const& checked) {
    findings found;
    find_unusable(checked, found);
    find_hidden_routes(checked, found);
    find_repeated_names(checked, found);
    find_routes_to_nowhere(checked, found);
    find_unused_groups(checked, found);
    find_teams_without_keys(checked, found);
    find_shared_keys(checked, found);
    find_short_timeouts(checked, found);
    find_unreachable_freshness(checked, found);
    find_closed_quotas(checked, found);
    find_few_connections(checked, found);
    find_disjoint_regions(checked, found);
    return found;
}

} // namespace persimmonpoint
