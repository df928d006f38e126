#ifndef PERSIMMONPOINT_CORE_ROUTING_GROUP_VIEW_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_GROUP_VIEW_HPP_INCLUDED

/// A host's snapshot of the state of an upstream group.

#include <cstddef>
#include <deque>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// State that a database reports about itself.
struct database_report {
    std::uint64_t term = 0; ///< Highest term that the database has seen.
    bool is_primary = false;
    log_position end_of_log;
    duration since_primary_contact{
        0}; ///< Time since a replica last heard from a primary.
};

/// State of one database as this host sees it.
struct database_view {
    std::string name;
    std::string availability_zone;
    bool reachable = false;
    bool leaving = false;
    database_report report;
    duration round_trip{0};
};

/// End of the primary's log at a moment when it was confirmed to be the only primary.
struct observation {
    instant observed_at;
    log_position position;
};

struct group_view {
    std::string name;
    std::uint64_t term = 0;
    std::optional<std::size_t> primary; ///< Index into databases.
    std::vector<database_view> databases;
    std::deque<observation> observations; ///< Oldest first.

    /// Returns the oldest observation that is at most `age` old at `now`, if any. The
    /// data of a database that has reached its position is at most that old.
    std::optional<observation> staleness_floor(duration age, instant now) const;
};

inline std::optional<observation>
group_view::staleness_floor(duration age, instant now) const {
    for (observation const& each : this->observations) {
        if (now - each.observed_at <= age) {
            return each;
        }
    }
    return std::nullopt;
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_GROUP_VIEW_HPP_INCLUDED
