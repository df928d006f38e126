#ifndef PERSIMMONPOINT_CORE_CATALOG_FLEET_CONFIGURATION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_FLEET_CONFIGURATION_HPP_INCLUDED

/// The operator's configuration: routes, teams and their keys, upstream groups.

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/placement/home_regions.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// How fresh the reads of a route are.
enum class route_kind {
    primary,           ///< Every commit acknowledged before.
    bounded_staleness, ///< Every commit acknowledged longer ago than the route's bound.
    read_own_writes    ///< As bounded, and all of the session's own commits.
};

struct served_route {
    std::string name;
    std::string database; ///< The name callers connect to.
    std::string group;
    route_kind kind = route_kind::primary;
    duration statement_timeout{0};
    duration target_latency{0};
    duration max_staleness{0};
    std::uint32_t priority = 0; ///< 0 is the highest.
    bool allow_anonymous = false;
    region_set allowed_regions;
};

struct served_team {
    std::string name;
    double rate = 0;  ///< Operations a second, over all hosts.
    double burst = 0; ///< Operations.
    region_set allowed_regions;
};

struct served_group {
    std::string name;
    std::uint32_t max_connections = 0; ///< To each database, over all hosts.
    std::uint32_t sync_replicas =
        0; ///< Copies that must have a commit before its answer.
    /// Statements a second that a cold database takes; without one, cold databases are
    /// used like others.
    std::optional<double> cold_rate;
};

/// One version of the configuration; not changed once it is in use.
struct fleet_configuration {
    std::uint64_t version = 0;
    std::map<std::string, served_route, std::less<>> routes; ///< By database.
    std::map<std::string, served_team, std::less<>> teams;   ///< By name.
    std::map<std::string, std::string, std::less<>> keys;    ///< Key to team.
    std::map<std::string, served_group, std::less<>> groups; ///< By name.
    duration transaction_idle{0};

    /// Null if there is none.
    served_route const* find_route(std::string_view database) const;
    served_team const* find_team(std::string_view name) const;
    /// The team that holds the key; empty if none does.
    std::string_view team_of(std::string_view key) const;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_FLEET_CONFIGURATION_HPP_INCLUDED
