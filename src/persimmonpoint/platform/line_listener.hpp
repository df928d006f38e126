#ifndef PERSIMMONPOINT_PLATFORM_LINE_LISTENER_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_LINE_LISTENER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <persimmonpoint/core/limits/caller_limits.hpp>
#include <persimmonpoint/interfaces/caller_channel.hpp>

namespace persimmonpoint::platform {

/// Connections that were closed for what their callers did.
struct caller_closings {
    std::uint64_t over_budget = 0;      ///< All callers' bytes together were too many.
    std::uint64_t too_late = 0;         ///< A message did not come to its end.
    std::uint64_t over_connections = 0; ///< There were too many connections.
};

/// Takes callers that speak the platform's line protocol.
class line_listener {
public:
    /// Throws boost::system::system_error if the address can't be bound.
    line_listener(
        boost::asio::io_context& loop,
        boost::asio::ip::tcp::endpoint const& address,
        caller_acceptor acceptor,
        caller_limits limits = {});
    ~line_listener();
    /// Takes the callers that have connected, and none that connect later.
    void stop();
    caller_closings const& closings() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_LINE_LISTENER_HPP_INCLUDED
