#ifndef PERSIMMONPOINT_NET_HTTP_RESPONDER_HPP_INCLUDED
#define PERSIMMONPOINT_NET_HTTP_RESPONDER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonpoint::net {

struct http_response {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// Answers small GET requests over HTTP/1.1.
class http_responder {
public:
    using handler = std::function<http_response(std::string_view target)>;

    /// Throws boost::system::system_error if the address can't be bound.
    http_responder(
        boost::asio::io_context& loop,
        boost::asio::ip::tcp::endpoint const& address,
        handler handler);
    ~http_responder();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::net

#endif // PERSIMMONPOINT_NET_HTTP_RESPONDER_HPP_INCLUDED
