#ifndef PERSIMMONPOINT_CONTROL_CONTROL_HPP_INCLUDED
#define PERSIMMONPOINT_CONTROL_CONTROL_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/control/control_snapshot.hpp>
#include <persimmonpoint/control/group_monitor.hpp>
#include <persimmonpoint/interfaces/control_link.hpp>
#include <persimmonpoint/interfaces/table_service.hpp>

namespace persimmonpoint::control {

struct control_settings {
    monitor_settings monitor;
    duration catalog_poll_interval{std::chrono::milliseconds(500)};
};

/// A host's control state: the catalogue and the watch over each upstream group.
/// All members run on the control thread's event loop.
class control {
public:
    using snapshot_handler = std::function<void(snapshot_ptr)>;

    control(
        boost::asio::io_context& loop,
        control_settings settings,
        table_service& table,
        connection_factory make,
        random_source& random,
        snapshot_handler on_snapshot);
    ~control();

    void start();
    /// No new callers from now on.
    void drain();
    /// Ends all polling and closes control's connections.
    void stop();

    void confirm_durable(
        std::string_view group,
        log_position position,
        instant deadline,
        control_link::proof_handler handler);
    void confirm_position(
        std::string_view group, instant deadline, control_link::position_handler handler);
    void probe(
        std::string_view group,
        std::size_t database,
        int backend_pid,
        control_link::probe_handler handler);

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::control

#endif // PERSIMMONPOINT_CONTROL_CONTROL_HPP_INCLUDED
