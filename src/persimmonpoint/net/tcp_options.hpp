#ifndef PERSIMMONPOINT_NET_TCP_OPTIONS_HPP_INCLUDED
#define PERSIMMONPOINT_NET_TCP_OPTIONS_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string_view>

namespace persimmonpoint::net {

/// Sends small messages at once, and breaks the connection if what was sent is not
/// acknowledged for `unacknowledged`.
void set_tcp_options(
    boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds unacknowledged);

/// Probes a connection that is idle: it fails within about three seconds once the far end
/// answers no more, also while nothing is sent.
void set_keep_alive(boost::asio::ip::tcp::socket& socket);

/// `IP:PORT`; nothing if it is anything else.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// As parse_endpoint, for an address to connect to: port 0, the unspecified address and
/// multicast addresses are none.
std::optional<boost::asio::ip::tcp::endpoint>
parse_remote_endpoint(std::string_view text);

} // namespace persimmonpoint::net

#endif // PERSIMMONPOINT_NET_TCP_OPTIONS_HPP_INCLUDED
