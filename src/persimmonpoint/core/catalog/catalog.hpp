#ifndef PERSIMMONPOINT_CORE_CATALOG_CATALOG_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_CATALOG_HPP_INCLUDED

/// What operators configure: teams, keys, routes, upstream groups and databases.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/interfaces/table_service.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// Operators select objects by their labels.
using label_set = std::map<std::string, std::string, std::less<>>;

/// Requests a second and the most that may come at once, over the whole fleet.
struct rate_limit {
    double per_second = 0;
    double burst = 0;

    friend bool operator==(rate_limit const&, rate_limit const&) = default;
};

struct team {
    std::string name;
    rate_limit limit;
    label_set labels;
};

/// A key is kept as a salted digest only.
struct team_key {
    std::string id;
    std::string team;
    std::string salt;   ///< Hexadecimal.
    std::string digest; ///< key_digest() of the key, hexadecimal.
    label_set labels;
};

struct route {
    std::string name;
    std::string group;
    bool open = false;     ///< Asks for no key.
    rate_limit open_limit; ///< Of all callers without a key together.
    label_set labels;
};

struct upstream_database {
    std::string name;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string availability_zone;
    std::size_t connections = 0; ///< Most connections, all hosts together.
    std::size_t slots = 0;       ///< Statements that it runs at the same time.
    bool leaving = false;
    label_set labels;
};

struct upstream_group {
    std::string name;
    std::vector<upstream_database> databases; ///< Sorted by name.
    bool leaving = false;
    label_set labels;
};

/// One accepted version of the configuration. Never changed once made.
struct catalog {
    std::uint64_t version = 0;
    std::map<std::string, team, std::less<>> teams;
    std::map<std::string, team_key, std::less<>> keys; ///< By id.
    std::map<std::string, route, std::less<>> routes;
    std::map<std::string, upstream_group, std::less<>> groups;
    std::vector<std::string> problems; ///< Rows that were left out, and why.

    team const* find_team(std::string_view name) const;
    route const* find_route(std::string_view name) const;
    upstream_group const* find_group(std::string_view name) const;
    /// The key of the team that a caller presented; null if it has none like that.
    team_key const*
    match_key(std::string_view team_name, std::string_view presented) const;
    /// True if the key is still granted, and unchanged.
    bool is_granted(std::string_view key_id, std::string_view digest) const;
};

/// Prefix of all rows of the configuration in the table service.
inline constexpr std::string_view catalog_prefix = "catalog/";

/// Reads all rows under catalog_prefix. Rows that can't be read are left out and named.
std::shared_ptr<catalog const> read_catalog(table_range const& range);

/// Row key and JSON value of each kind of object.
table_row to_row(team const& object);
table_row to_row(team_key const& object);
table_row to_row(route const& object);
table_row to_row(upstream_group const& object);
table_row to_row(upstream_database const& object, std::string_view group);

/// Digest of a key under a salt, both as they stand in a team_key.
std::string key_digest(std::string_view salt, std::string_view key);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_CATALOG_HPP_INCLUDED
