#include <persimmonpoint/core/recovery/orphaned_transactions.hpp>

namespace persimmonpoint {

std::vector<std::string> find_orphaned_transactions(
    std::span<listed_connection const> connections,
    std::string_view own_tag,
    duration orphan_idle_timeout) {
    std::vector<std::string> pids;
    for (listed_connection const& each : connections) {
        bool const of_other_host =
            each.tag.starts_with(connection_tag_prefix) && each.tag != own_tag;
        if (of_other_host && each.idle_in_transaction &&
            each.idle >= orphan_idle_timeout) {
            pids.push_back(each.pid);
        }
    }
    return pids;
}

} // namespace persimmonpoint
