#ifndef PERSIMMONPOINT_ENGINE_PEER_SERVER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_SERVER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <persimmonpoint/engine/peer_news.hpp>
#include <string_view>

namespace persimmonpoint::engine {

/// The links that other hosts have opened to this one: takes their orders and questions.
class peer_server {
public:
    /// `news` outlives the server. Throws std::invalid_argument if `address` is none, and
    /// boost::system::system_error if it can't be bound.
    peer_server(
        boost::asio::io_context& loop,
        clock const& time,
        mesh_observer& observer,
        peer_news& news,
        std::string_view address);
    ~peer_server();

    /// Gives up the links that have been silent for too long.
    void look();
    /// Tells all hosts that are linked.
    void tell(peer_message const& message);
    /// Links with messages that are still to be sent.
    std::size_t unsent_links() const;
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_SERVER_HPP_INCLUDED
