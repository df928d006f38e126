#ifndef PERSIMMONPOINT_POSTGRES_FRAME_CHANNEL_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_FRAME_CHANNEL_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/postgres/backend_writer.hpp>
#include <persimmonpoint/postgres/frontend_decoder.hpp>
#include <string_view>

namespace boost::asio::ssl {
class context;
}

namespace persimmonpoint::postgres {

/// Receives what a frame channel decodes. Called on the channel's event loop.
class frame_handler {
public:
    virtual ~frame_handler() = default;
    virtual void on_message(frontend_message const& message) = 0;
    /// More bytes arrived while messages are held back.
    virtual void on_held_input() {}
    /// A frame was malformed or oversized; nothing more will be decoded.
    virtual void on_bad_frame(error const& failure) = 0;
    /// The other side closed, or the transport failed. Nothing follows.
    virtual void on_closed() = 0;
};

/// The server's end of one protocol connection: framing, buffering and flow control.
class frame_channel : public std::enable_shared_from_this<frame_channel> {
public:
    /// `max_frame`: largest frame accepted, in bytes.
    static std::shared_ptr<frame_channel>
    create(boost::asio::ip::tcp::socket socket, std::size_t max_frame);
    ~frame_channel();

    /// Starts reading. The handler must stay until on_closed or close().
    void start(std::shared_ptr<frame_handler> handler);
    /// Answers an SSL request with yes and continues encrypted.
    void upgrade_to_tls(boost::asio::ssl::context& context);
    /// Answers an SSL or GSS request with no.
    void reject_encryption();
    /// After the startup message frames carry a type.
    void set_phase(decoder_phase phase);

    /// Holds back further messages while one is being worked on.
    void pause();
    /// Delivers held back messages, from the event loop rather than from this call.
    void resume();
    /// The next message, without taking it; nothing if it is not complete or not valid.
    /// Its views are valid until the next event of the channel.
    std::optional<frontend_message> peek() const;

    /// Messages written here are sent by flush().
    backend_writer& writer();
    void flush();
    /// Adds bytes that another writer has prepared; send() also flushes.
    void append(std::string_view bytes);
    void send(std::string_view bytes);
    /// Bytes written but not yet taken by the transport.
    std::size_t unsent_bytes() const;
    /// Runs once when unsent bytes have fallen to zero.
    void when_drained(std::function<void()> handler);
    /// Sends what was written, then closes.
    void close_after_flush();
    void close();
    bool is_open() const;

private:
    explicit frame_channel(boost::asio::ip::tcp::socket socket, std::size_t max_frame);
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_FRAME_CHANNEL_HPP_INCLUDED
