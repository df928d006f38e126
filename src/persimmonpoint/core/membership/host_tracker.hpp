#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_HOST_TRACKER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_HOST_TRACKER_HPP_INCLUDED

#include <functional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <string>

namespace persimmonpoint {

/// Turns the store's list of hosts into the hosts that this one goes by.
///
/// After the store came back from an older copy, hosts that it lacks are kept while they
/// are alive, until it lists them again: they register themselves anew, one by one.
class host_tracker {
public:
    using liveness = std::function<bool(std::string const&)>;

    /// The list as the store had it at `version`, read there or told by another host.
    /// True if it is newer and was taken.
    bool
    take(store_version const& version, host_directory listed, liveness const& is_alive);
    host_directory const& current() const { return this->hosts; }
    /// Not known until a list has been taken.
    store_version const& version() const { return this->newest; }

private:
    store_version newest;
    host_directory hosts;
    host_directory unlisted; ///< Those of `hosts` that the store lacks.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_HOST_TRACKER_HPP_INCLUDED
