#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <persimmonpoint/platform/line_connection.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace persimmonpoint;
using boost::asio::ip::tcp;

namespace {

/// A database that greets one connection and answers its first request with these bytes.
class answering_database {
public:
    explicit answering_database(std::string answer)
        : acceptor(this->loop, {boost::asio::ip::address_v4::loopback(), 0}),
          thread([this, answer = std::move(answer)] { this->serve(answer); }) {}
    ~answering_database() { this->thread.join(); }
    answering_database(answering_database const&) = delete;
    answering_database& operator=(answering_database const&) = delete;

    std::string address() const {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void serve(std::string const& answer) {
        tcp::socket socket = this->acceptor.accept();
        char bytes[256];
        boost::system::error_code ended;
        socket.read_some(boost::asio::buffer(bytes), ended);
        boost::asio::write(socket, boost::asio::buffer("READY I 1.1\r\n", 13), ended);
        socket.read_some(boost::asio::buffer(bytes), ended);
        boost::asio::write(socket, boost::asio::buffer(answer), ended);
        while (!ended) {
            socket.read_some(boost::asio::buffer(bytes), ended);
        }
    }

    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    std::thread thread;
};

/// What a caller gets of a database's answer.
upstream_answer received(std::string answer) {
    answering_database const database(std::move(answer));
    boost::asio::io_context loop;
    platform::line_connector connector(loop);
    auto const connection = connector.make();
    std::optional<upstream_answer> out;
    connection->open(
        {database.address(), "group", "db", "team"},
        [&](open_result result, std::optional<log_position>) {
            REQUIRE(result == open_result::opened);
            upstream_command read;
            read.id = "1";
            read.text = "READ a";
            connection->execute(read, [&](upstream_answer given) {
                out = std::move(given);
                connection->close();
            });
        });
    loop.run();
    REQUIRE(out);
    return *out;
}

std::string const end_of_answer = "COMPLETE s\r\nREADY I 1.1\r\n";

} // namespace

TEST_CASE("An answer of some rows arrives whole", "[line]") {
    auto const answer = received("ROW a\r\nROW \r\nROW b c \r\n" + end_of_answer);
    CHECK_FALSE(answer.lost);
    CHECK(answer.rows == std::vector<std::string>{"a", "", "b c "});
    CHECK(answer.signature == "s");
}

// Guards against a database that fills a host's memory with rows that hold nothing.
TEST_CASE("Rows without a text count against an answer's size", "[line]") {
    constexpr std::size_t row_count = 1'000'000;
    std::string rows;
    for (std::size_t i = 0; i < row_count; ++i) {
        rows += "ROW \r\n";
    }
    CHECK(received(rows + end_of_answer).lost);
}

// Guards against a connection that counts as being opened for ever, with its team's turn.
TEST_CASE(
    "A database that takes a connection and doesn't greet is told as silent",
    "[line][deadlines]") {
    boost::asio::io_context loop;
    tcp::acceptor const mute(loop, {boost::asio::ip::address_v4::loopback(), 0});
    platform::line_connector connector(loop);
    auto const connection = connector.make();
    std::vector<open_result> results;
    connection->open(
        {"127.0.0.1:" + std::to_string(mute.local_endpoint().port()), "group", "db",
         "team"},
        [&results](open_result result, std::optional<log_position>) {
            results.push_back(result);
        });
    loop.run();
    CHECK(results == std::vector{open_result::silent});
}
