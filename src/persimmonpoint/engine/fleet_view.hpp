#ifndef PERSIMMONPOINT_ENGINE_FLEET_VIEW_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_FLEET_VIEW_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <persimmonpoint/core/catalog/fleet_configuration.hpp>
#include <persimmonpoint/core/membership/directory_readings.hpp>
#include <persimmonpoint/core/membership/directory_tracker.hpp>
#include <persimmonpoint/core/membership/host_tracker.hpp>
#include <persimmonpoint/core/placement/cold_databases.hpp>
#include <persimmonpoint/core/placement/evacuation_tracker.hpp>
#include <persimmonpoint/core/placement/home_regions.hpp>
#include <persimmonpoint/core/routing/connection_budget.hpp>
#include <persimmonpoint/core/routing/group_routing.hpp>
#include <string>

namespace persimmonpoint::engine {

/// All that the traffic thread knows of the fleet.
class fleet_view {
public:
    /// Hosts that are reckoned with while nobody has told their number.
    static constexpr std::size_t assumed_hosts = 16;

    std::shared_ptr<fleet_configuration const> configuration =
        std::make_shared<fleet_configuration>();
    /// As it lies in the store, for other hosts; empty until one has been read.
    std::string configuration_body;
    directory_tracker directory;
    directory_readings readings;
    host_tracker hosts;
    evacuation_tracker evacuations;
    cold_databases cold;
    zone_regions regions; ///< By the settings.

    /// What is known of a group; made when it is asked for first.
    group_routing& group(std::string_view name) {
        auto found = this->groups.find(name);
        if (found == this->groups.end()) {
            found = this->groups.emplace(std::string(name), group_routing()).first;
        }
        return found->second;
    }
    /// Null if nothing is known of it yet.
    group_routing const* find_group(std::string_view name) const {
        auto const found = this->groups.find(name);
        return found == this->groups.end() ? nullptr : &found->second;
    }
    std::map<std::string, group_routing, std::less<>>& all_groups() {
        return this->groups;
    }
    registered_database const* find_database(std::string_view id) const {
        auto const& all = this->directory.current().databases;
        auto const found = all.find(id);
        return found == all.end() ? nullptr : &found->second;
    }
    bool is_evacuated(registered_database const& database) const {
        return this->evacuations.is_evacuated(database.availability_zone);
    }
    /// Gives each group its databases, after the directory or the evacuations have
    /// changed.
    void share_out_databases() {
        std::map<std::string, std::vector<registered_database>, std::less<>> by_group;
        for (auto const& each : this->directory.current().databases) {
            by_group[each.second.group].push_back(each.second);
        }
        for (auto& each : by_group) {
            this->group(each.first);
        }
        for (auto& each : this->groups) {
            each.second.set_databases(std::move(by_group[each.first]));
            each.second.set_evacuated_zones(this->evacuations.current().zones);
            each.second.set_team_affinity(this->is_short_of_connections(each.first));
            each.second.set_warm_times(this->warm_times(each.first));
        }
    }
    /// Of the group's databases, when those are warm that were cold; empty if cold ones
    /// are used like others.
    std::map<std::string, instant, std::less<>> warm_times(std::string_view group) const {
        std::map<std::string, instant, std::less<>> times;
        auto const found = this->configuration->groups.find(group);
        if (found == this->configuration->groups.end() || !found->second.cold_rate) {
            return times;
        }
        for (auto const& [id, entry] : this->directory.current().databases) {
            instant const warm_at = this->cold.warm_at(id);
            if (entry.group == group && warm_at > instant()) {
                times.emplace(id, warm_at);
            }
        }
        return times;
    }
    bool is_short_of_connections(std::string_view group) const {
        auto const found = this->configuration->groups.find(group);
        return found != this->configuration->groups.end() &&
               teams_outnumber_connections(
                   this->configuration->teams.size(), found->second.max_connections);
    }
    /// False if the group's databases acknowledge commits that no replica has.
    bool replicates_commits(std::string_view group) const {
        auto const found = this->configuration->groups.find(std::string(group));
        return found == this->configuration->groups.end() ||
               found->second.sync_replicas > 0;
    }
    bool is_ready() const {
        return !this->configuration_body.empty() &&
               this->directory.current().version.is_known();
    }
    /// Number of hosts that share quotas; a guess on the safe side until it is known.
    std::size_t host_count() const {
        return this->hosts.version().is_known()
                   ? std::max<std::size_t>(this->hosts.current().size(), 1)
                   : assumed_hosts;
    }

private:
    std::map<std::string, group_routing, std::less<>> groups;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_FLEET_VIEW_HPP_INCLUDED
