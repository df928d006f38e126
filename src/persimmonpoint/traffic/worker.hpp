#ifndef PERSIMMONPOINT_TRAFFIC_WORKER_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_WORKER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/control/group_monitor.hpp>
#include <persimmonpoint/traffic/cancel_registry.hpp>
#include <persimmonpoint/traffic/worker_context.hpp>

namespace persimmonpoint::traffic {

/// What all workers of a host share.
struct worker_environment {
    session_settings const& settings;
    admission& limits;
    cancel_registry& cancels;
    boost::asio::ssl::context* tls = nullptr;
    std::size_t hosts_expected = 1; ///< The fleet's connections are divided among them.
    std::size_t worker_count = 1;
    /// Makes a pooled connection of this host on a worker's loop.
    std::function<std::shared_ptr<database_connection>(
        boost::asio::io_context&, upstream_database const&)>
        make_connection;
};

/// One traffic thread: an event loop with its own sessions and its own connections.
class worker {
public:
    worker(worker_environment environment, std::size_t index);
    ~worker();

    boost::asio::io_context& loop();
    /// Must be called once, before start().
    void set_control(std::unique_ptr<control_link> link);
    void start();
    /// From any thread.
    void adopt(boost::asio::ip::tcp::socket socket);
    void apply(control::snapshot_ptr snapshot);
    /// Ends all sessions and the thread.
    void stop();
    /// Sessions at the moment, from any thread.
    std::size_t session_count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_WORKER_HPP_INCLUDED
