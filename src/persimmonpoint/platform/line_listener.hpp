#ifndef PERSIMMONPOINT_PLATFORM_LINE_LISTENER_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_LINE_LISTENER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <persimmonpoint/interfaces/caller_channel.hpp>

namespace persimmonpoint::platform {

/// Takes callers that speak the platform's line protocol.
class line_listener {
public:
    /// Throws boost::system::system_error if the address can't be bound.
    line_listener(
        boost::asio::io_context& loop,
        boost::asio::ip::tcp::endpoint const& address,
        caller_acceptor acceptor);
    ~line_listener();
    /// Takes the callers that have connected, and none that connect later.
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_LINE_LISTENER_HPP_INCLUDED
