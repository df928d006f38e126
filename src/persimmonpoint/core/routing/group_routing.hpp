#ifndef PERSIMMONPOINT_CORE_ROUTING_GROUP_ROUTING_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_GROUP_ROUTING_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/recovery/acknowledged_commits.hpp>
#include <persimmonpoint/core/routing/database_speeds.hpp>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/routing/position_history.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// The database that this host considers to be the primary of a group.
struct known_leader {
    std::string database;
    std::uint64_t term = 0; ///< 0 if known only from the database's registration.
};

/// Routing state of one host for one upstream group: the registered databases, the known
/// leader, and the load and log position of each database.
///
/// A database has few execution slots, and each host sees only its own part of the load
/// on them. Read routing therefore uses both the requests that this host has outstanding
/// and the load that connection owners report with each answer, and how long the
/// database takes compared with the others.
class group_routing {
public:
    /// Replaces the group's databases with those of a new directory version. Drops the
    /// statistics of databases that were removed or restarted, and the known leader if it
    /// is no longer registered. If no leader with a term is known then, uses the database
    /// that is registered as primary.
    void set_databases(std::vector<registered_database> databases);
    std::span<registered_database const> databases() const;
    /// Availability zones whose databases are given no work.
    void set_evacuated_zones(std::set<std::string, std::less<>> zones);
    bool is_evacuated(registered_database const& database) const;
    /// When databases are warm that are cold, or were: until then reads use others.
    void set_warm_times(std::map<std::string, instant, std::less<>> times);
    bool is_cold(std::string_view id, instant now) const;
    /// True if a database other than `id` can lead the group: one that stays, in a zone
    /// that isn't evacuated.
    bool can_lead_without(std::string_view id) const;
    /// True if a zone's evacuation leaves no database that may be given work.
    bool is_out_of_service() const;
    /// Returns null if the id isn't registered.
    registered_database const* find(std::string_view id) const;

    /// Records that a database proved to be the leader in `term`. Ignored if a leader of
    /// a later term is known. Returns true if the leader changed.
    bool confirm_leader(std::string_view id, std::uint64_t term);
    /// Drops the known leader if it is `id`, which reported that it does not lead, and
    /// falls back to another database that is registered as primary.
    void clear_leader(std::string_view id);
    std::optional<known_leader> const& leader() const { return this->current_leader; }

    /// Has the reads of each team prefer one replica, so that the group's connections,
    /// each of which serves one team, are fewer.
    void set_team_affinity(bool value) { this->has_team_affinity = value; }

    /// Returns the database with the lowest cost for a read that needs a log position of
    /// at least `floor`. Skips `excluded` databases, those that are leaving or evacuated,
    /// and those that were unreachable recently. Returns nothing if none is left.
    std::optional<std::string> choose_for_read(
        std::optional<log_position> floor,
        std::string_view availability_zone,
        std::span<std::string const> excluded,
        instant now,
        std::string_view team = {}) const;

    /// Counts a request as outstanding at the database.
    void sent(std::string_view id);
    /// Counts a request as no longer outstanding, whether or not the database answered.
    /// `position` is the database's log position, `load`
    /// the number of requests that wait or run at the connection owner, if reported.
    void answered(
        std::string_view id,
        std::optional<log_position> position,
        std::optional<std::uint32_t> load,
        instant now);
    /// Takes what the owner of a database's connections told of its speed.
    void speed_reported(std::string_view id, speed_report const& report, instant now) {
        this->speeds.reported(id, report, now);
    }
    /// Records that a replica refused a read since its log lacked the floor. Until it has
    /// been given time to catch up, reads with a floor that it is not known to have
    /// reached go elsewhere. The time doubles with each such refusal.
    void lagged(std::string_view id, instant now);
    /// Records that the replica's log had the floor of a read.
    void caught_up(std::string_view id);
    /// Excludes a database that could not be reached from reads for a short time.
    void unreachable(std::string_view id, instant now);

    position_history floors;
    acknowledged_commits acknowledged;

private:
    struct database_stats {
        std::uint32_t outstanding = 0;
        std::uint32_t reported_load = 0;
        instant load_reported_at{};
        std::optional<log_position> last_position;
        instant position_reported_at{};
        instant backoff_until{};
        duration lag_backoff{0}; ///< 0: its log had the floor of the last read.
        instant lags_until{};
    };

    bool is_leader(registered_database const& database) const;
    /// True if the replica's log lacked the floor of a read lately, and is not known to
    /// have reached this one.
    bool is_behind(
        registered_database const& database,
        std::optional<log_position> floor,
        instant now) const;
    /// The replica that the team's reads prefer; null if there is none.
    registered_database const* preferred_by(std::string_view team) const;

    double cost(
        registered_database const& database,
        std::optional<log_position> floor,
        std::string_view availability_zone,
        instant now) const;

    std::vector<registered_database> members;
    std::set<std::string, std::less<>> evacuated_zones;
    std::map<std::string, instant, std::less<>> warm_times;
    bool has_team_affinity = false;
    std::map<std::string, database_stats, std::less<>> stats_by_id;
    database_speeds speeds;
    std::optional<known_leader> current_leader;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_GROUP_ROUTING_HPP_INCLUDED
