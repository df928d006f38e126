#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/platform/http_client.hpp>

namespace persimmonpoint::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct http_client::implementation : std::enable_shared_from_this<implementation> {
    struct job {
        http::request<http::string_body> request;
        handler done;
        std::chrono::milliseconds wait{0};
    };

    implementation(
        asio::io_context& loop,
        std::string address,
        std::uint16_t port,
        std::chrono::milliseconds timeout)
        : loop(loop), address(std::move(address)), port(port), timeout(timeout) {}

    void start_next() {
        if (this->busy || this->jobs.empty()) {
            return;
        }
        this->busy = true;
        if (this->stream) {
            this->write();
        } else {
            this->connect();
        }
    }

    void connect() {
        this->reply = {};
        boost::system::error_code failure;
        auto const ip = asio::ip::make_address(this->address, failure);
        if (failure) {
            this->finish_failed(failure, effect::not_run);
            return;
        }
        this->stream.emplace(this->loop);
        this->stream->expires_after(this->timeout);
        this->stream->async_connect(
            tcp::endpoint(ip, this->port),
            [self = this->shared_from_this()](beast::error_code failed) {
                if (failed) {
                    self->finish_failed(failed, effect::not_run);
                    return;
                }
                net::set_tcp_options(self->stream->socket(), self->timeout);
                net::set_keep_alive(self->stream->socket());
                self->write();
            });
    }

    void write() {
        this->stream->expires_after(this->timeout);
        http::async_write(
            *this->stream, this->jobs.front().request,
            [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                if (failure) {
                    self->finish_failed(failure, effect::unknown);
                    return;
                }
                self->read();
            });
    }

    void read() {
        this->reply = {};
        this->stream->expires_after(this->jobs.front().wait + this->timeout);
        http::async_read(
            *this->stream, this->buffer, this->reply,
            [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                if (failure) {
                    self->finish_failed(failure, effect::unknown);
                    return;
                }
                self->finish();
            });
    }

    void finish() {
        if (!this->reply.keep_alive()) {
            this->stream.reset();
        }
        http_reply out{this->reply.result_int(), std::move(this->reply.body())};
        this->complete(std::move(out));
    }

    void finish_failed(beast::error_code failure, effect known) {
        std::size_t const arrived = this->buffer.size() + this->reply.body().size();
        this->stream.reset();
        this->buffer.clear();
        this->complete(error{
            "58030",
            "platform at " + this->address + ":" + std::to_string(this->port) + ": " +
                failure.message() + " after " + std::to_string(arrived) +
                " bytes of the answer",
            known});
    }

    void complete(result<http_reply> outcome) {
        this->busy = false;
        handler const done = std::move(this->jobs.front().done);
        this->jobs.pop_front();
        done(std::move(outcome));
        this->start_next();
    }

    asio::io_context& loop;
    std::string address;
    std::uint16_t port;
    std::chrono::milliseconds timeout;
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    http::response<http::string_body> reply;
    std::deque<job> jobs;
    bool busy = false;
};

http_client::http_client(
    asio::io_context& loop,
    std::string address,
    std::uint16_t port,
    std::chrono::milliseconds timeout)
    : impl(std::make_shared<implementation>(loop, std::move(address), port, timeout)) {}

http_client::~http_client() = default;

void http_client::request(
    std::string_view method,
    std::string_view target,
    std::string body,
    handler handler,
    std::span<http_header const> headers,
    std::chrono::milliseconds wait) {
    implementation::job job;
    job.wait = wait;
    job.request.method(http::string_to_verb(method));
    job.request.target(target);
    job.request.set(http::field::host, this->impl->address);
    job.request.set(http::field::content_type, "application/json");
    for (http_header const& each : headers) {
        job.request.set(each.name, each.value);
    }
    job.request.body() = std::move(body);
    job.request.prepare_payload();
    job.done = std::move(handler);
    this->impl->jobs.push_back(std::move(job));
    this->impl->start_next();
}

void http_client::reset() {
    if (this->impl->stream) {
        this->impl->stream->cancel();
    }
}

} // namespace persimmonpoint::platform
