#ifndef PERSIMMONPOINT_CORE_ROUTING_GROUP_ROUTING_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_GROUP_ROUTING_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/routing/floor_book.hpp>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/time.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// Which database of a group leads, as far as this host knows.
struct leader_belief {
    std::string database;
    std::uint64_t term = 0; ///< 0 if only the database's own registration says so.
};

/// What one host knows of one upstream group, and where it sends the group's work.
///
/// Load it answers: few slots a database, shared by hosts that each see a part of the
/// work. A host weighs its own outstanding work, and what the owners of the connections
/// report with each answer.
class group_routing {
public:
    /// Takes the group's databases out of a new directory.
    void set_databases(std::vector<registered_database> databases);
    std::span<registered_database const> databases() const;
    /// Null if the id isn't registered.
    registered_database const* find(std::string_view id) const;

    /// A database proved to lead in a term. Beliefs of older terms are dropped.
    /// True if the belief changed.
    bool leader_proved(std::string_view id, std::uint64_t term);
    /// A database that was believed to lead said that it does not.
    void leader_denied(std::string_view id);
    std::optional<leader_belief> const& leader() const { return this->belief; }

    /// The best database for a read whose floor is given; none of `excluded`. Nothing if
    /// no database may be asked now.
    std::optional<std::string> choose_for_read(
        std::optional<log_position> floor,
        std::string_view availability_zone,
        std::span<std::string const> excluded,
        instant now) const;

    void sent(std::string_view id);
    /// `load`: orders at the owner behind the answer, if it said so.
    void answered(
        std::string_view id,
        std::optional<log_position> position,
        std::optional<std::uint32_t> load,
        instant now);
    /// The database could not be reached; it is avoided for a while.
    void unreachable(std::string_view id, instant now);

    floor_book floors;

private:
    struct knowledge {
        std::uint32_t outstanding = 0;
        std::uint32_t reported_load = 0;
        instant load_reported{};
        std::optional<log_position> reached;
        instant reached_at{};
        instant avoided_until{};
    };

    double cost(
        registered_database const& database,
        std::optional<log_position> floor,
        std::string_view availability_zone,
        instant now) const;

    std::vector<registered_database> members;
    std::map<std::string, knowledge, std::less<>> known;
    std::optional<leader_belief> belief;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_GROUP_ROUTING_HPP_INCLUDED
