#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <map>
#include <persimmonpoint/platform/table_json.hpp>
#include <persimmonpoint/standin/platform.hpp>

namespace persimmonpoint::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

http_response
respond(http_request const& request, http::status status, std::string body) {
    http_response out(status, request.version());
    out.set(http::field::content_type, "application/json");
    out.keep_alive(request.keep_alive());
    out.body() = std::move(body);
    out.prepare_payload();
    return out;
}

} // namespace

struct platform::implementation : std::enable_shared_from_this<implementation> {
    explicit implementation(asio::io_context& loop) : loop(loop), acceptor(loop) {}

    void listen(std::uint16_t port);
    void accept();

    commit_result commit(table_commit const& wanted) {
        auto const repeated = this->results.find(wanted.id);
        if (repeated != this->results.end()) {
            return repeated->second;
        }
        commit_result out;
        for (table_condition const& each : wanted.conditions) {
            auto const found = this->rows.find(each.key);
            std::uint64_t const version =
                found == this->rows.end() ? 0 : found->second.version;
            if (version != each.version) {
                out.conflicting_key = each.key;
                out.version = this->version;
                return this->results[wanted.id] = out;
            }
        }
        ++this->version;
        for (table_write const& each : wanted.writes) {
            if (each.value) {
                this->rows[each.key] = table_row{each.key, *each.value, this->version};
            } else {
                this->rows.erase(each.key);
            }
        }
        out.committed = true;
        out.version = this->version;
        return this->results[wanted.id] = out;
    }

    table_range range(std::string const& prefix) const {
        table_range out;
        out.version = this->version;
        for (auto at = this->rows.lower_bound(prefix);
             at != this->rows.end() && at->first.starts_with(prefix); ++at) {
            out.rows.push_back(at->second);
        }
        return out;
    }

    http_response handle(http_request const& request) {
        std::string const target(request.target());
        if (target == "/v1/table/range") {
            auto const body = boost::json::parse(request.body());
            auto const prefix = boost::json::value_to<std::string>(body.at("prefix"));
            return respond(
                request, http::status::ok,
                persimmonpoint::platform::to_json(this->range(prefix)));
        }
        if (target == "/v1/table/commit") {
            auto const wanted =
                persimmonpoint::platform::commit_from_json(request.body());
            if (!wanted) {
                return respond(
                    request, http::status::bad_request, wanted.error().message);
            }
            return respond(
                request, http::status::ok,
                persimmonpoint::platform::to_json(this->commit(wanted.value())));
        }
        if (target == "/v1/hosts") {
            return respond(
                request, http::status::ok,
                persimmonpoint::platform::to_json(this->hosts));
        }
        constexpr std::string_view objects_prefix = "/v1/objects/";
        if (target.starts_with(objects_prefix)) {
            return this->handle_object(request, target.substr(objects_prefix.size()));
        }
        return respond(request, http::status::not_found, "");
    }

    http_response handle_object(http_request const& request, std::string const& name) {
        if (request.method() == http::verb::put) {
            this->objects[name] = request.body();
            return respond(request, http::status::ok, "");
        }
        auto const found = this->objects.find(name);
        if (found == this->objects.end()) {
            return respond(request, http::status::not_found, "");
        }
        return respond(request, http::status::ok, found->second);
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::map<std::string, table_row> rows;
    std::map<std::string, commit_result> results;
    std::map<std::string, std::string> objects;
    std::vector<listed_host> hosts;
    std::uint64_t version = 0;
    bool down = false;
    std::chrono::milliseconds delay{0};
    std::size_t answers_to_lose = 0;
};

/// Serves the requests of one HTTP connection, one after the other.
class platform::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<implementation> owner, tcp::socket socket)
        : owner(std::move(owner)), stream(std::move(socket)), timer(this->owner->loop) {
        this->stream.socket().set_option(tcp::no_delay(true));
    }

    void read() {
        this->request = {};
        http::async_read(
            this->stream, this->buffer, this->request,
            [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                if (!failure && !self->owner->down) {
                    self->answer_later();
                } else if (!failure) {
                    self->wait_for_end();
                }
            });
    }

private:
    /// While the platform is down the connection stays open without an answer.
    void wait_for_end() {
        this->stream.socket().async_wait(
            tcp::socket::wait_error, [self = this->shared_from_this()](
                                         beast::error_code) { self->stream.close(); });
    }

    void answer_later() {
        if (this->owner->delay.count() == 0) {
            this->answer();
            return;
        }
        this->timer.expires_after(this->owner->delay);
        this->timer.async_wait(
            [self = this->shared_from_this()](beast::error_code failure) {
                if (!failure) {
                    self->answer();
                }
            });
    }

    void answer() {
        try {
            this->response = this->owner->handle(this->request);
        } catch (std::exception const& failure) {
            this->response =
                respond(this->request, http::status::bad_request, failure.what());
        }
        if (this->owner->answers_to_lose > 0) {
            --this->owner->answers_to_lose;
            this->stream.close();
            return;
        }
        http::async_write(
            this->stream, this->response,
            [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                if (!failure) {
                    self->read();
                }
            });
    }

    std::shared_ptr<implementation> owner;
    beast::tcp_stream stream;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    http_request request;
    http_response response;
};

void platform::implementation::listen(std::uint16_t port) {
    tcp::endpoint const endpoint(asio::ip::address_v4::loopback(), port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->accept();
}

void platform::implementation::accept() {
    this->acceptor.async_accept(
        [self = this->shared_from_this()](
            boost::system::error_code failure, tcp::socket socket) {
            if (failure) {
                return;
            }
            std::make_shared<connection>(self, std::move(socket))->read();
            self->accept();
        });
}

platform::platform(asio::io_context& loop, std::uint16_t port)
    : impl(std::make_shared<implementation>(loop)) {
    this->impl->listen(port);
}

platform::~platform() {
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
}

std::uint16_t platform::port() const {
    return this->impl->acceptor.local_endpoint().port();
}

void platform::write(std::string key, std::string value) {
    ++this->impl->version;
    std::string const name = key;
    this->impl->rows[name] =
        table_row{std::move(key), std::move(value), this->impl->version};
}

void platform::set_hosts(std::vector<listed_host> hosts) {
    this->impl->hosts = std::move(hosts);
}

table_range platform::range(std::string const& prefix) const {
    return this->impl->range(prefix);
}

void platform::set_down(bool down) {
    this->impl->down = down;
}
void platform::set_delay(std::chrono::milliseconds delay) {
    this->impl->delay = delay;
}
void platform::lose_next_answers(std::size_t count) {
    this->impl->answers_to_lose = count;
}

} // namespace persimmonpoint::standin
