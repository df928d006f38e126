#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/platform/http_client.hpp>

namespace persimmonpoint::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t most_answer_bytes = 16 * 1024 * 1024;
/// An answer that arrives in drops is given up after it.
constexpr auto longest_transfer = std::chrono::seconds(15);

} // namespace

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
        this->arrived = 0;
        if (this->stream) {
            this->write();
        } else {
            this->connect();
        }
    }

    void connect() {
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
        this->parser.emplace();
        this->parser->eager(true);
        this->parser->body_limit(most_answer_bytes);
        std::chrono::milliseconds const wait = this->jobs.front().wait;
        this->answer_deadline =
            std::chrono::steady_clock::now() + wait + longest_transfer;
        this->read_some(wait + this->timeout);
    }

    /// `limit`: for the next bytes to arrive. An answer that keeps arriving is not
    /// silent, however long the whole of it takes.
    void read_some(std::chrono::milliseconds limit) {
        auto const next = std::chrono::steady_clock::now() + limit;
        this->stream->expires_at(std::min(next, this->answer_deadline));
        http::async_read_some(
            *this->stream, this->buffer, *this->parser,
            [self =
                 this->shared_from_this()](beast::error_code failure, std::size_t size) {
                self->arrived += size;
                if (failure) {
                    self->finish_failed(failure, effect::unknown);
                } else if (self->parser->is_done()) {
                    self->finish();
                } else {
                    self->partly_arrived = self->arrived > 0;
                    self->read_some(self->timeout);
                }
            });
    }

    void finish() {
        http::response<http::string_body> reply = this->parser->release();
        if (!reply.keep_alive()) {
            this->stream.reset();
        }
        http_reply out{reply.result_int(), std::move(reply.body()), {}};
        for (auto const& each : reply) {
            out.headers.push_back(
                {std::string(each.name_string()), std::string(each.value())});
        }
        this->complete(std::move(out));
    }

    void finish_failed(beast::error_code failure, effect known) {
        this->stream.reset();
        this->buffer.clear();
        this->complete(error{
            "58030",
            "platform at " + this->address + ":" + std::to_string(this->port) + ": " +
                failure.message() + " after " + std::to_string(this->arrived) +
                " bytes of the answer",
            known});
    }

    void complete(result<http_reply> outcome) {
        this->busy = false;
        handler const done = std::move(this->jobs.front().done);
        this->jobs.pop_front();
        net::run_guarded("http_client", [&] { done(std::move(outcome)); });
        this->partly_arrived = false;
        this->start_next();
    }

    asio::io_context& loop;
    std::string address;
    std::uint16_t port;
    std::chrono::milliseconds timeout;
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::chrono::steady_clock::time_point answer_deadline;
    std::size_t arrived = 0; ///< Bytes of the present answer.
    std::atomic<bool> partly_arrived{false};
    std::deque<job> jobs;
    bool busy = false;
};

std::string_view http_reply::header(std::string_view name) const {
    for (http_header const& each : this->headers) {
        if (beast::iequals(each.name, name)) {
            return each.value;
        }
    }
    return {};
}

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

bool http_client::receiving() const {
    return this->impl->partly_arrived;
}

void http_client::reset() {
    if (this->impl->stream) {
        this->impl->stream->cancel();
    }
}

} // namespace persimmonpoint::platform
