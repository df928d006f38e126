#ifndef PERSIMMONPOINT_ENGINE_PEER_LINK_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_LINK_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/engine/peer_messages.hpp>

namespace persimmonpoint::engine {

/// One TCP connection between two hosts, in messages. Used from one event loop only.
class peer_link {
public:
    using message_handler = std::function<void(peer_message)>;
    using closed_handler = std::function<void()>;
    /// Bytes have arrived of a message that is not whole yet: how many by now.
    using partial_handler = std::function<void(std::size_t)>;

    explicit peer_link(boost::asio::ip::tcp::socket socket);
    ~peer_link();

    /// Starts to read. The closed handler is called once, not from `close`.
    void start(
        message_handler on_message, closed_handler on_closed, partial_handler on_partial);
    void send(peer_message const& message);
    /// False while messages are still to be sent.
    bool all_sent() const;
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_LINK_HPP_INCLUDED
