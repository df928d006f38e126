#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <persimmonpoint/postgres/libpq_connection.hpp>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace persimmonpoint;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// How long a test waits for what has to come.
constexpr auto patience = std::chrono::seconds(10);
/// AuthenticationOk, then ReadyForQuery: idle.
constexpr std::string_view login_answer("R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I", 15);

/// A database that answers each connection by what a test says, on a thread of its own.
class scripted_database {
public:
    explicit scripted_database(std::function<void(tcp::socket&, int)> serve)
        : acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          serve(std::move(serve)) {}

    ~scripted_database() {
        this->loop.stop();
        this->worker.join();
    }

    void start() {
        this->accept();
        this->worker = std::thread([this] { this->loop.run(); });
    }

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void accept() {
        this->acceptor.async_accept(
            [this](boost::system::error_code failure, tcp::socket peer) {
                if (!failure) {
                    this->serve(peer, ++this->accepted);
                    this->accept();
                }
            });
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    std::function<void(tcp::socket&, int)> serve;
    int accepted = 0;
    std::thread worker;
};

/// Reads a message that starts with its length, as the first one of a connection does.
void read_startup(tcp::socket& peer) {
    std::array<unsigned char, 4> head{};
    boost::system::error_code gone;
    asio::read(peer, asio::buffer(head), gone);
    std::size_t const size = (std::size_t{head[2]} << 8U) + head[3];
    std::vector<char> rest(size < head.size() ? 0 : size - head.size());
    asio::read(peer, asio::buffer(rest), gone);
}

postgres::connection_target
target_at(scripted_database const& database, std::string ssl_mode) {
    return {"127.0.0.1", database.port(), "app", "", "app", "test", std::move(ssl_mode)};
}

} // namespace

TEST_CASE(
    "A connection whose attempt at TLS fails goes on over its second socket",
    "[database-connection]") {
    scripted_database database([](tcp::socket& peer, int number) {
        read_startup(peer);
        boost::system::error_code gone;
        if (number == 1) {
            asio::write(peer, asio::buffer("S", 1), gone);
            return;
        }
        asio::write(peer, asio::buffer(login_answer), gone);
        peer.wait(tcp::socket::wait_read, gone);
    });
    database.start();
    asio::io_context loop;
    auto const connection =
        postgres::make_libpq_connection(loop, target_at(database, "prefer"));
    std::optional<bool> connected;
    connection->connect([&](auto const& outcome) {
        connected = outcome.has_value();
        loop.stop();
    });
    loop.run_for(patience);
    CHECK(connected == true);
    connection->close();
}

TEST_CASE(
    "A connection that breaks leaves alone the sockets that other threads open",
    "[database-connection]") {
    constexpr int rounds = 200;
    scripted_database database([](tcp::socket& peer, int) {
        read_startup(peer);
        boost::system::error_code gone;
        asio::write(peer, asio::buffer(login_answer), gone);
    });
    database.start();
    std::atomic<bool> over = false;
    std::thread opener([&over] {
        while (!over) {
            int const one = ::socket(AF_INET, SOCK_STREAM, 0);
            std::this_thread::yield();
            ::close(one);
        }
    });
    int lost = 0;
    for (int i = 0; i < rounds; ++i) {
        asio::io_context loop;
        auto const connection =
            postgres::make_libpq_connection(loop, target_at(database, "disable"));
        connection->when_lost([&] {
            ++lost;
            loop.stop();
        });
        connection->connect([](auto const&) {});
        loop.run_for(patience);
        connection->close();
    }
    over = true;
    opener.join();
    CHECK(lost == rounds);
}
