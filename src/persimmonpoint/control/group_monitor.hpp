#ifndef PERSIMMONPOINT_CONTROL_GROUP_MONITOR_HPP_INCLUDED
#define PERSIMMONPOINT_CONTROL_GROUP_MONITOR_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/core/catalog/catalog.hpp>
#include <persimmonpoint/core/recovery/failover_coordinator.hpp>
#include <persimmonpoint/interfaces/control_link.hpp>
#include <persimmonpoint/postgres/database_connection.hpp>
#include <string>

namespace persimmonpoint::control {

/// Makes control's connection to a database.
using connection_factory =
    std::function<std::shared_ptr<database_connection>(upstream_database const&)>;

struct monitor_settings {
    std::string host_name;      ///< This host, as a candidate in elections.
    std::string connection_tag; ///< Marks this host's connections in the database.
    failover_settings watch;
    /// Transactions of other hosts that are idle for longer were left by a dead one.
    duration orphan_idle_timeout{std::chrono::seconds(8)};
};

/// Carries out a failover_coordinator's actions on connections to the group's databases.
/// Runs on the control thread's event loop.
class group_monitor {
public:
    using view_handler = std::function<void(std::shared_ptr<group_view const>)>;

    group_monitor(
        boost::asio::io_context& loop,
        monitor_settings settings,
        upstream_group const& group,
        connection_factory make,
        random_source& random,
        view_handler on_view);
    ~group_monitor();

    void confirm_durable(
        log_position position, instant deadline, control_link::proof_handler handler);
    void confirm_position(instant deadline, control_link::position_handler handler);
    void
    probe(std::size_t database, int backend_pid, control_link::probe_handler handler);

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::control

#endif // PERSIMMONPOINT_CONTROL_GROUP_MONITOR_HPP_INCLUDED
