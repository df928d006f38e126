#ifndef PERSIMMONPOINT_NET_SEND_QUEUE_HPP_INCLUDED
#define PERSIMMONPOINT_NET_SEND_QUEUE_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonpoint::net {

/// Bytes on their way out of a socket, one write at a time.
class send_queue {
public:
    /// Called when all that was added has been written, or with false when a write
    /// failed.
    using handler = std::function<void(bool written)>;

    send_queue(boost::asio::ip::tcp::socket& socket, handler on_written);
    /// `keep_alive` is held until the write has ended: the owner of socket and queue.
    void add(std::string_view bytes, std::shared_ptr<void> keep_alive);
    /// Bytes that have not been handed to the socket yet.
    std::size_t unsent() const { return this->waiting.size(); }
    /// Memory of all that the socket has not taken.
    std::size_t held_bytes() const {
        return this->waiting.capacity() + this->in_flight.capacity();
    }
    bool is_idle() const { return !this->writing && this->waiting.empty(); }

private:
    void write(std::shared_ptr<void> keep_alive);

    boost::asio::ip::tcp::socket& socket;
    handler on_written;
    std::string waiting;
    std::string in_flight;
    bool writing = false;
};

} // namespace persimmonpoint::net

#endif // PERSIMMONPOINT_NET_SEND_QUEUE_HPP_INCLUDED
