#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <persimmonpoint/platform/http_client.hpp>
#include <string>

using namespace persimmonpoint;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto piece_interval = std::chrono::milliseconds(100);

/// Accepts one connection and sends bytes on it in equal pieces, one at an interval.
class slow_sender {
public:
    slow_sender(asio::io_context& loop, std::string bytes, std::size_t pieces)
        : acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          socket(loop),
          timer(loop),
          bytes(std::move(bytes)),
          piece(this->bytes.size() / pieces + 1) {
        this->acceptor.async_accept(
            this->socket, [this](boost::system::error_code failure) {
                if (!failure) {
                    this->send_next();
                }
            });
    }

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void send_next() {
        if (this->sent >= this->bytes.size()) {
            return;
        }
        std::string const next = this->bytes.substr(this->sent, this->piece);
        this->sent += next.size();
        boost::system::error_code failure;
        asio::write(this->socket, asio::buffer(next), failure);
        this->timer.expires_after(piece_interval);
        this->timer.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) {
                this->send_next();
            }
        });
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    asio::steady_timer timer;
    std::string bytes;
    std::size_t piece;
    std::size_t sent = 0;
};

} // namespace

TEST_CASE(
    "An answer that keeps arriving is not given up, however large it is", "[platform]") {
    asio::io_context loop;
    std::string const body(200000, 'x');
    slow_sender store(
        loop,
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body,
        20);
    platform::http_client client(
        loop, "127.0.0.1", store.port(), std::chrono::milliseconds(1000));
    std::optional<result<platform::http_reply>> outcome;
    CHECK_FALSE(client.receiving());
    client.request("GET", "/", {}, [&](result<platform::http_reply> reply) {
        outcome = std::move(reply);
    });
    bool told = false;
    while (!outcome) {
        loop.run_one();
        told = told || (!outcome && client.receiving());
    }
    CHECK(told);
    CHECK_FALSE(client.receiving());
    REQUIRE(outcome->has_value());
    CHECK(outcome->value().body.size() == body.size());
}
