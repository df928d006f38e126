#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_FLEET_PACE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_FLEET_PACE_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/time.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// How fast the hosts of a fleet talk to each other, by their number.
///
/// Load it answers: each host has links to dozens of others and a part of a core. In a
/// small fleet all links are watched closely; in a large one only those that an answer is
/// awaited on, and what grows with the number of hosts is sent the more rarely.
struct fleet_pace {
    /// Between two heartbeats on a link that an answer is awaited on, and on any other.
    duration awaited_heartbeat{};
    duration idle_heartbeat{};
    /// After so much silence a link is given up.
    duration awaited_silence{};
    duration idle_silence{};
    duration connect_limit{};
    /// A host out of reach for so long is taken out of the store.
    duration lost_limit{};
    /// Part of the fleet that may be out of reach of a host that removes others.
    double most_lost = 0;
    /// Between two endorsements of a lender of quotas, and how long one is good.
    duration endorse_interval{};
    duration endorsement_life{};
    /// A lender that said nothing for so long is not endorsed further.
    duration lender_silence{};
    /// Between two looks for a lender while one is missing or silent.
    duration lender_search{};
    /// Changes of the list of hosts are gathered for so long before it is read again.
    duration hosts_settle{};
    /// After a change of the configuration, the next ones are gathered for so long before
    /// they are taken from the store, but for hosts that pass news on to the others.
    duration configuration_settle{};
    /// A host that reaches the store waits for a configuration for so long before it asks
    /// another host for it.
    duration store_patience{};
    duration hosts_patience{}; ///< The same for the list of hosts.
    /// Between two readings of the databases by a host that learns of them from others.
    duration directory_interval{};
    /// Longest pause before a failed call to the store is made again.
    duration store_retry_limit{};
    /// How long the store may hold a watch that has nothing to tell, on a host that
    /// learns of changes from others, too.
    duration watch_wait{};
    /// Whether each host is linked to all others.
    bool fully_linked = true;
};

fleet_pace pace_for(std::size_t hosts);

/// The hosts that one keeps links to though it has no work for them: at doubling
/// distances in the order of names, so that news reach all hosts in a few steps. `others`
/// are in order.
std::vector<std::string>
choose_neighbours(std::string_view self, std::span<std::string const> others);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_FLEET_PACE_HPP_INCLUDED
