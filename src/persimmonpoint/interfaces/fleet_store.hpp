#ifndef PERSIMMONPOINT_INTERFACES_FLEET_STORE_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_FLEET_STORE_HPP_INCLUDED

/// What a fleet keeps outside itself, and where its configuration and its databases
/// stand.

#include <cstdint>
#include <functional>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/core/placement/evacuation_list.hpp>
#include <persimmonpoint/core/recovery/fence_notice.hpp>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// The operator's configuration as it lies in the store.
struct stored_configuration {
    store_version row; ///< Not known if there is none yet.
    std::string body;
};

/// An availability zone whose evacuation was requested or taken back since a watch began.
struct evacuation_change {
    std::string availability_zone;
    bool requested = false; ///< Otherwise it was taken back.
};

/// What the operator has written, as a reading shows it.
struct stored_operations {
    store_version version;              ///< Watch on from here.
    stored_configuration configuration; ///< Its row isn't known if there is none.
    evacuation_list evacuations;
};

/// A host that was registered, changed or removed since a watch began.
struct host_change {
    std::string name;
    std::optional<registered_host> now; ///< Nothing if its entry is gone or unusable.
};

/// A change seen by a watch.
struct watch_result {
    bool changed = false;
    bool history_lost = false; ///< Everything is to be read again.
    store_version version;     ///< Watch on from here.
    /// The new one, of a watch of the operations that brought it.
    std::optional<stored_configuration> configuration;
    /// The configuration's row changed, and the answer lacks its body.
    bool lacks_configuration = false;
    /// In the order that they were made, of a watch of the operations.
    std::vector<evacuation_change> evacuations;
    /// In the order that they were made, of a watch of the hosts.
    std::vector<host_change> hosts;
};

struct stored_hosts {
    store_version version; ///< Watch on from here.
    host_directory hosts;
};

/// Which host may replace the primary of a group, and its fencing token.
struct leadership_lease {
    std::string holder;
    std::uint64_t token = 0;
    std::uint64_t taken_at_ms = 0; ///< By the store's steady clock.
    std::uint64_t revision = 0;    ///< 0: nobody has held it in the store's era.
    std::uint64_t store_now_ms = 0;
    std::uint64_t era = 0; ///< The store's, when the lease was read.
};

/// The platform's store as the fleet uses it. Handlers run on the caller's event loop; an
/// error tells whether the call may still take effect.
class fleet_store {
public:
    template <class T>
    using handler = std::function<void(result<T>)>;

    virtual ~fleet_store() = default;
    /// Reads all that the operator has written.
    virtual void read_operations(handler<stored_operations> done) = 0;
    /// Ends when anything that the operator writes has changed after `version`, or after
    /// `wait`.
    virtual void watch_operations(
        store_version const& version,
        std::chrono::milliseconds wait,
        handler<watch_result> done) = 0;
    /// True while a part of an answer about the configuration has arrived. Any thread.
    virtual bool receives_configuration() const = 0;
    virtual void read_databases(handler<database_directory> done) = 0;
    virtual void read_hosts(handler<stored_hosts> done) = 0;
    virtual void watch_hosts(
        store_version const& version,
        std::chrono::milliseconds wait,
        handler<watch_result> done) = 0;
    virtual void register_host(registered_host const& host, handler<void> done) = 0;
    virtual void remove_host(std::string_view name, handler<void> done) = 0;
    virtual void read_lease(std::string_view group, handler<leadership_lease> done) = 0;
    /// The notices of all hosts. One that can't be used is left out.
    virtual void read_notices(handler<std::vector<stored_notice>> done) = 0;
    /// Writes a host's notice in place of its last one. Gives the store's era.
    virtual void
    write_notice(stored_notice const& notice, handler<std::uint64_t> done) = 0;
    /// Ends the watches that are under way with an error.
    virtual void break_off_watches() = 0;
    /// Writes the lease if its row still has `lease.revision`, in the store's era that it
    /// was read in. False if it has not.
    virtual void take_lease(
        std::string_view group, leadership_lease const& lease, handler<bool> done) = 0;
};

/// The platform's call that makes a database the primary of its group.
class promoter {
public:
    using handler = std::function<void(promotion_result)>;

    virtual ~promoter() = default;
    virtual void promote(
        std::string_view group,
        std::string_view database,
        std::uint64_t token,
        handler done) = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_FLEET_STORE_HPP_INCLUDED
