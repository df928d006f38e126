#ifndef PERSIMMONPOINT_PLATFORM_HTTP_CLIENT_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_HTTP_CLIENT_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <persimmonpoint/core/error.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::platform {

struct http_header {
    std::string name;
    std::string value;
};

struct http_reply {
    unsigned status = 0;
    std::string body;
    std::vector<http_header> headers;

    /// Empty if it is absent.
    std::string_view header(std::string_view name) const;
};

/// Sends requests to one server, one after the other, over a connection kept open.
/// An error says not run only if the request was never written. The timeout is for
/// silence: it starts anew with each part of the answer.
class http_client {
public:
    using handler = std::function<void(result<http_reply>)>;

    http_client(
        boost::asio::io_context& loop,
        std::string address,
        std::uint16_t port,
        std::chrono::milliseconds timeout);
    ~http_client();
    /// `method`: GET, PUT, POST or DELETE. `wait`: how long the server was asked to hold
    /// the answer back; the timeout counts from then on.
    void request(
        std::string_view method,
        std::string_view target,
        std::string body,
        handler handler,
        std::span<http_header const> headers = {},
        std::chrono::milliseconds wait = std::chrono::milliseconds(0));
    /// True while a part of an answer has arrived. Any thread.
    bool receiving() const;
    /// Breaks the connection off; a request that is under way fails.
    void reset();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_HTTP_CLIENT_HPP_INCLUDED
