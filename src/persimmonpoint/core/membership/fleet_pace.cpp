#include <algorithm>
#include <persimmonpoint/core/membership/fleet_pace.hpp>

namespace persimmonpoint {

namespace {

using std::chrono::milliseconds;

/// Up to this many hosts, each is linked to all.
constexpr std::size_t fully_linked_hosts = 16;
/// An endorsement may be on its way for this long.
constexpr duration transit_time = milliseconds(150);

// In a large fleet these grow with each host, so that one lender, one reader of the store
// and the store itself have the same load at any size.
constexpr duration endorse_interval_per_host = milliseconds(5);
constexpr duration hosts_settle_per_host = milliseconds(25);
constexpr duration longest_hosts_settle = std::chrono::seconds(3);
constexpr duration configuration_settle_per_host = milliseconds(5);
constexpr duration longest_configuration_settle = std::chrono::seconds(1);
constexpr duration directory_interval_per_host = milliseconds(150);
constexpr duration store_retry_per_host = milliseconds(10);
constexpr duration longest_store_retry = std::chrono::seconds(3);

fleet_pace small_pace() {
    fleet_pace pace;
    pace.awaited_heartbeat = milliseconds(150);
    pace.idle_heartbeat = milliseconds(150);
    pace.awaited_silence = milliseconds(450);
    pace.idle_silence = milliseconds(450);
    pace.connect_limit = milliseconds(120);
    pace.lost_limit = std::chrono::seconds(8);
    pace.most_lost = 0.5;
    pace.endorse_interval = milliseconds(100);
    pace.endorsement_life = milliseconds(450);
    pace.lender_silence = milliseconds(250);
    pace.lender_search = milliseconds(100);
    pace.hosts_settle = milliseconds(0);
    pace.configuration_settle = milliseconds(0);
    pace.store_patience = milliseconds(0);
    pace.hosts_patience = milliseconds(0);
    pace.directory_interval = std::chrono::seconds(5);
    pace.store_retry_limit = milliseconds(300);
    pace.watch_wait = std::chrono::seconds(12);
    return pace;
}

} // namespace

fleet_pace pace_for(std::size_t hosts) {
    fleet_pace pace = small_pace();
    if (hosts <= fully_linked_hosts) {
        return pace;
    }
    auto const count = static_cast<std::int64_t>(hosts);
    pace.fully_linked = false;
    pace.idle_heartbeat = milliseconds(600);
    pace.idle_silence = milliseconds(1800);
    pace.awaited_silence = milliseconds(600);
    pace.connect_limit = milliseconds(400);
    pace.lost_limit = std::chrono::seconds(15);
    pace.most_lost = 0.1;
    pace.endorse_interval = endorse_interval_per_host * count;
    pace.endorsement_life = 2 * pace.endorse_interval + transit_time;
    pace.lender_silence = 2 * pace.idle_heartbeat + transit_time;
    pace.hosts_settle = std::min(hosts_settle_per_host * count, longest_hosts_settle);
    pace.configuration_settle =
        std::min(configuration_settle_per_host * count, longest_configuration_settle);
    pace.hosts_patience = pace.hosts_settle;
    pace.store_patience = milliseconds(700);
    pace.store_retry_limit = std::clamp(
        store_retry_per_host * count, pace.store_retry_limit, longest_store_retry);
    pace.watch_wait = std::chrono::seconds(28);
    pace.directory_interval =
        std::max(pace.directory_interval, directory_interval_per_host * count);
    return pace;
}

std::vector<std::string>
choose_neighbours(std::string_view self, std::span<std::string const> others) {
    std::vector<std::string> chosen;
    auto const behind = std::upper_bound(others.begin(), others.end(), self);
    auto const start = static_cast<std::size_t>(behind - others.begin());
    for (std::size_t distance = 1; distance <= others.size(); distance *= 2) {
        chosen.push_back(others[(start + distance - 1) % others.size()]);
    }
    return chosen;
}

} // namespace persimmonpoint
