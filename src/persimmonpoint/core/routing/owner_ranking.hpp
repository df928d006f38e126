#ifndef PERSIMMONPOINT_CORE_ROUTING_OWNER_RANKING_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_OWNER_RANKING_HPP_INCLUDED

/// Assigns keys, such as databases, quota shards and store keys, to owner hosts by
/// rendezvous hashing.

#include <cstdint>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// Returns the rendezvous (highest random weight) hash of a key and a host. The result is
/// the same on every host.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view host);

/// Returns the names of `hosts` by their priority as owners of `key`: hosts in the given
/// availability zone first, then the others, each ordered by rendezvous hashing. When a
/// host is lost, only the keys that it owned move.
std::vector<std::string> rank_owners(
    std::string_view key,
    std::string_view availability_zone,
    std::span<registered_host const> hosts);

/// The same for the connections to a database, through which all of its statements pass:
/// of the hosts in its zone, and of the others, those that have at least half of the
/// processor time of the largest host go before smaller ones.
///
/// Load it answers: in a fleet of hosts of different sizes most are small. They would own
/// most databases, and take several times as long for each statement.
std::vector<std::string> rank_database_owners(
    registered_database const& database, std::span<registered_host const> hosts);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_OWNER_RANKING_HPP_INCLUDED
