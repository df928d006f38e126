#ifndef PERSIMMONPOINT_ENGINE_STORE_WATCH_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_STORE_WATCH_HPP_INCLUDED

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/lease_policy.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <persimmonpoint/interfaces/fleet_store.hpp>
#include <string>

namespace persimmonpoint::engine {

/// What the store says, as it comes. Called on the control thread.
class store_observer {
public:
    virtual ~store_observer() = default;
    virtual void on_stored_configuration(stored_configuration configuration) = 0;
    /// All evacuations, whenever one was requested or taken back.
    virtual void on_stored_evacuations(evacuation_list evacuations) = 0;
    virtual void on_stored_databases(database_directory directory) = 0;
    /// A reading of the databases ended that began at `began_at`, or the store was lost
    /// then. What it brought has been told before.
    virtual void on_databases_read(bool succeeded, instant began_at) = 0;
    virtual void on_stored_hosts(stored_hosts hosts) = 0;
};

/// Follows the store: the operator's configuration, the databases, the hosts. Registers
/// this host. Takes leases. Runs on the control thread.
class store_watch {
public:
    store_watch(
        boost::asio::io_context& loop,
        clock const& clock,
        fleet_store& store,
        store_observer& observer,
        registered_host self);
    ~store_watch();

    void start();
    /// Stops to watch and removes this host from the store.
    void leave();

    /// Reads the databases once, beside the regular readings.
    void read_databases_now();
    /// Removes a host that is gone for good. One that is not registers itself again.
    void remove_host(std::string const& name);
    /// A few hosts read the databases often and tell the others. Any thread.
    void set_leading_reader(bool value);

    using token_handler = std::function<void(std::optional<std::uint64_t>)>;
    /// False while the last call to the store failed. Any thread.
    bool reaches_store() const;
    /// True while a reading of the configuration is under way, or a watch of it has begun
    /// to bring it. Any thread.
    bool reads_configuration() const;
    /// A fencing token for a group. `lives`: whether a host of that name may still be
    /// there, as far as this one can tell.
    void request_token(
        std::string const& group,
        token_freshness need,
        std::function<bool(std::string const&)> lives,
        token_handler done);

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_STORE_WATCH_HPP_INCLUDED
