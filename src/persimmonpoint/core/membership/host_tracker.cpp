#include <algorithm>
#include <persimmonpoint/core/membership/host_tracker.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

bool lists(host_directory const& hosts, std::string const& name) {
    return std::any_of(hosts.begin(), hosts.end(), [&name](registered_host const& each) {
        return each.name == name;
    });
}

} // namespace

bool host_tracker::take(
    store_version const& version, host_directory listed, liveness const& is_alive) {
    if (version <= this->newest) {
        return false;
    }
    bool const restored = version.era > this->newest.era;
    host_directory const before = restored ? this->hosts : this->unlisted;
    this->unlisted.clear();
    for (registered_host const& each : before) {
        if (!lists(listed, each.name) && is_alive(each.name)) {
            this->unlisted.push_back(each);
        }
    }
    this->newest = version;
    this->hosts = std::move(listed);
    this->hosts.insert(this->hosts.end(), this->unlisted.begin(), this->unlisted.end());
    return true;
}

} // namespace persimmonpoint
