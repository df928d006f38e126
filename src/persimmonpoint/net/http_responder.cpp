#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <persimmonpoint/net/http_responder.hpp>

namespace persimmonpoint::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto idle_limit = std::chrono::seconds(30);
constexpr auto accept_pause = std::chrono::milliseconds(50);
constexpr std::uint32_t most_header_bytes = 8 * 1024;

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, http_responder::handler const& answer)
        : stream(std::move(socket)), answer(answer) {}

    void read() {
        this->parser.emplace();
        this->parser->header_limit(most_header_bytes);
        this->stream.expires_after(idle_limit);
        http::async_read(
            this->stream, this->buffer, *this->parser,
            [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                if (!failure) {
                    self->respond();
                }
            });
    }

private:
    void respond() {
        auto const& request = this->parser->get();
        http_question question;
        question.method = std::string(request.method_string());
        question.target = std::string(request.target());
        question.body = request.body();
        question.header = [self = this->shared_from_this()](std::string_view name) {
            auto const found = self->parser->get().find(name);
            return found == self->parser->get().end() ? std::string()
                                                      : std::string(found->value());
        };
        // A request may be held for as long as its answer takes.
        this->stream.expires_never();
        this->answer(question, [self = this->shared_from_this()](http_response made) {
            self->send(std::move(made));
        });
    }

    void send(http_response made) {
        auto const& request = this->parser->get();
        this->response = {};
        this->response.version(request.version());
        this->response.keep_alive(request.keep_alive());
        this->response.result(made.status);
        this->response.set(http::field::content_type, made.content_type);
        for (auto const& [name, value] : made.headers) {
            this->response.set(name, value);
        }
        this->response.body() = std::move(made.body);
        this->response.prepare_payload();
        this->stream.expires_after(idle_limit);
        http::async_write(
            this->stream, this->response,
            [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                if (!failure && self->response.keep_alive()) {
                    self->read();
                }
            });
    }

    beast::tcp_stream stream;
    http_responder::handler answer;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

} // namespace

struct http_responder::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& loop, tcp::endpoint const& address, handler answer)
        : acceptor(loop, address), pause(loop), answer(std::move(answer)) {}

    void accept() {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](
                boost::system::error_code failure, tcp::socket socket) {
                if (failure == asio::error::operation_aborted) {
                    return;
                }
                if (failure) {
                    self->accept_later();
                    return;
                }
                std::make_shared<connection>(std::move(socket), self->answer)->read();
                self->accept();
            });
    }

    void accept_later() {
        this->pause.expires_after(accept_pause);
        this->pause.async_wait(
            [self = this->shared_from_this()](boost::system::error_code stopped) {
                if (!stopped) {
                    self->accept();
                }
            });
    }

    tcp::acceptor acceptor;
    asio::steady_timer pause;
    handler answer;
};

http_responder::http_responder(
    asio::io_context& loop, tcp::endpoint const& address, handler handler)
    : impl(std::make_shared<implementation>(loop, address, std::move(handler))) {
    this->impl->accept();
}

std::uint16_t http_responder::port() const {
    return this->impl->acceptor.local_endpoint().port();
}

http_responder::~http_responder() {
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
    this->impl->pause.cancel();
}

} // namespace persimmonpoint::net
