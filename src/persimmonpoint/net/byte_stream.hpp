#ifndef PERSIMMONPOINT_NET_BYTE_STREAM_HPP_INCLUDED
#define PERSIMMONPOINT_NET_BYTE_STREAM_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio::ssl {
class context;
}

namespace persimmonpoint::net {

/// A connected stream of bytes, in clear or encrypted. Used from one event loop only.
class byte_stream {
public:
    /// The view is valid until the handler returns.
    using read_handler = std::function<void(boost::system::error_code, std::string_view)>;
    using write_handler = std::function<void(boost::system::error_code)>;

    virtual ~byte_stream() = default;
    /// Reads what is there. One read at a time.
    virtual void async_read(read_handler handler) = 0;
    /// Writes all bytes. One write at a time; the bytes must stay until the handler runs.
    virtual void async_write(std::string_view bytes, write_handler handler) = 0;
    /// Ends both directions. Handlers that wait are called with an error.
    virtual void close() = 0;
};

/// A stream in clear. An idle one holds no buffer.
std::unique_ptr<byte_stream> make_plain_stream(boost::asio::ip::tcp::socket socket);

using handshake_handler =
    std::function<void(boost::system::error_code, std::unique_ptr<byte_stream>)>;

/// Runs the server side of a TLS handshake on an accepted socket.
void async_accept_tls(
    boost::asio::ip::tcp::socket socket,
    boost::asio::ssl::context& context,
    handshake_handler handler);

} // namespace persimmonpoint::net

#endif // PERSIMMONPOINT_NET_BYTE_STREAM_HPP_INCLUDED
