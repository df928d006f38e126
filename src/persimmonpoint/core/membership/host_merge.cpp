#include <algorithm>
#include <persimmonpoint/core/membership/host_merge.hpp>

namespace persimmonpoint {

host_directory merge_live_hosts(
    host_directory stored,
    host_directory const& known,
    std::function<bool(std::string const&)> const& is_alive) {
    for (registered_host const& each : known) {
        bool const listed = std::any_of(
            stored.begin(), stored.end(),
            [&each](registered_host const& other) { return other.name == each.name; });
        if (!listed && is_alive(each.name)) {
            stored.push_back(each);
        }
    }
    return stored;
}

} // namespace persimmonpoint
