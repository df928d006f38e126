#ifndef PERSIMMONPOINT_NET_READ_LOOP_HPP_INCLUDED
#define PERSIMMONPOINT_NET_READ_LOOP_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace persimmonpoint::net {

/// Hands on what a socket receives, until its owner has enough or the socket fails. An
/// exception of the bytes' handler counts as a failure of the socket.
class read_loop {
public:
    /// Returns false if nothing more is to be read.
    using bytes_handler = std::function<bool(std::string_view bytes)>;
    using failure_handler = std::function<void()>;

    /// `most_bytes` are received at once.
    read_loop(
        boost::asio::ip::tcp::socket& socket,
        std::size_t most_bytes,
        bytes_handler on_bytes,
        failure_handler on_failure);
    /// `keep_alive` is held until the loop ends: the owner of socket and loop.
    void start(std::shared_ptr<void> keep_alive);

private:
    boost::asio::ip::tcp::socket& socket;
    std::vector<char> received;
    bytes_handler on_bytes;
    failure_handler on_failure;
};

} // namespace persimmonpoint::net

#endif // PERSIMMONPOINT_NET_READ_LOOP_HPP_INCLUDED
