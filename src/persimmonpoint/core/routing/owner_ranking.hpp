#ifndef PERSIMMONPOINT_CORE_ROUTING_OWNER_RANKING_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_OWNER_RANKING_HPP_INCLUDED

/// Which host owns the connections to a database.

#include <cstdint>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// Mixes two names into a number that is the same on every host.
std::uint64_t rendezvous_weight(std::string_view subject, std::string_view host);

/// The names of `hosts` in the order in which they are to own `subject`: hosts of the
/// given availability zone first, each part by rendezvous hashing, so that the loss of a
/// host moves only what it owned.
std::vector<std::string> rank_owners(
    std::string_view subject,
    std::string_view availability_zone,
    std::span<registered_host const> hosts);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_OWNER_RANKING_HPP_INCLUDED
