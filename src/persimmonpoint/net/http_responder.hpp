#ifndef PERSIMMONPOINT_NET_HTTP_RESPONDER_HPP_INCLUDED
#define PERSIMMONPOINT_NET_HTTP_RESPONDER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonpoint::net {

struct http_response {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< Name and value.
};

struct http_question {
    std::string method;
    std::string target;
    std::string body;
    /// Value of a header, by its name; empty if it is absent.
    std::function<std::string(std::string_view)> header;
};

/// Answers small requests over HTTP/1.1.
class http_responder {
public:
    /// Sends the response; may be called later, on the loop's thread. A dropped callback
    /// leaves the request without an answer.
    using reply = std::function<void(http_response)>;
    using handler = std::function<void(http_question const&, reply)>;

    /// Throws boost::system::system_error if the address can't be bound.
    http_responder(
        boost::asio::io_context& loop,
        boost::asio::ip::tcp::endpoint const& address,
        handler handler);
    ~http_responder();
    /// The port that is listened on.
    std::uint16_t port() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::net

#endif // PERSIMMONPOINT_NET_HTTP_RESPONDER_HPP_INCLUDED
