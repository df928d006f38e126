#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <support/stage.hpp>

using namespace persimmonpoint;
using boost::asio::ip::tcp;
using tests::stage;

namespace {

/// A caller that sends bytes as it likes.
class raw_caller {
public:
    explicit raw_caller(std::uint16_t port) : socket(this->loop) {
        this->socket.connect(
            tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    }

    void send(std::string const& bytes) {
        boost::system::error_code ignored;
        boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
    }

    /// Everything up to the server's end of the connection.
    std::string read_to_end() {
        std::string all;
        boost::system::error_code ended;
        boost::asio::read(this->socket, boost::asio::dynamic_buffer(all), ended);
        return all;
    }

private:
    boost::asio::io_context loop;
    tcp::socket socket;
};

std::string big_endian(std::uint32_t value) {
    return {
        static_cast<char>(value >> 24), static_cast<char>(value >> 16),
        static_cast<char>(value >> 8), static_cast<char>(value)};
}

std::string startup(std::string const& pairs) {
    return big_endian(static_cast<std::uint32_t>(pairs.size() + 9)) + big_endian(196608) +
           pairs + '\0';
}

std::string open_startup() {
    using namespace std::string_literals;
    return startup("user\0anyone\0database\0notices\0"s);
}

} // namespace

TEST_CASE("Bad input ends its own connection with a clear error", "[input]") {
    stage on(1);
    app::sql_client neighbour = on.connect();
    REQUIRE(neighbour.run("SELECT 1").ok);
    std::uint16_t const port = on.hosts[0]->port();

    SECTION("a startup of an unknown protocol") {
        raw_caller caller(port);
        caller.send(big_endian(8) + big_endian(131072));
        CHECK_THAT(caller.read_to_end(), Catch::Contains("unsupported protocol 2.0"));
    }
    SECTION("a startup that claims too much") {
        raw_caller caller(port);
        caller.send(big_endian(0x7fffffff));
        CHECK_THAT(caller.read_to_end(), Catch::Contains("exceeds the limit"));
    }
    SECTION("an unknown message after the startup") {
        raw_caller caller(port);
        caller.send(open_startup() + "?" + big_endian(4));
        CHECK_THAT(caller.read_to_end(), Catch::Contains("unknown message type 63"));
    }
    SECTION("a frame over the limit") {
        raw_caller caller(port);
        caller.send(open_startup() + "Q" + big_endian(0x7ffffff0));
        CHECK_THAT(caller.read_to_end(), Catch::Contains("54000"));
    }
    SECTION("a query before the startup is over") {
        raw_caller caller(port);
        using namespace std::string_literals;
        caller.send(
            startup("user\0hatchery\0database\0counts\0"s) + "Q" + big_endian(6) +
            "1\0"s);
        CHECK_THAT(caller.read_to_end(), Catch::Contains("before the startup was over"));
    }
    SECTION("a password that nobody asked for") {
        raw_caller caller(port);
        using namespace std::string_literals;
        caller.send(open_startup() + "p" + big_endian(6) + "x\0"s);
        CHECK_THAT(caller.read_to_end(), Catch::Contains("was not asked for"));
    }
    SECTION("a startup parameter whose name would be part of SQL") {
        raw_caller caller(port);
        using namespace std::string_literals;
        caller.send(
            startup("user\0anyone\0database\0notices\0ROLE postgres --\0on\0"s) + "X" +
            big_endian(4));
        CHECK_THAT(caller.read_to_end(), Catch::Contains("42704"));
    }
    SECTION("an option whose name would be part of SQL") {
        raw_caller caller(port);
        using namespace std::string_literals;
        caller.send(
            startup("user\0anyone\0database\0notices\0options\0"
                    "-c ROLE\\ postgres\\ --=on\0"s) +
            "X" + big_endian(4));
        CHECK_THAT(caller.read_to_end(), Catch::Contains("42704"));
    }
    SECTION("half a startup, then nothing") {
        raw_caller caller(port);
        caller.send(open_startup().substr(0, 12));
    }
    SECTION("a caller that vanishes in the middle of a frame") {
        raw_caller caller(port);
        caller.send(open_startup() + "Q" + big_endian(1000) + "SELECT");
    }
    CHECK(neighbour.run("SELECT 1").ok);
}

TEST_CASE("No caller leaks an upstream connection", "[input]") {
    stage on(1);
    app::sql_client first = on.connect();
    REQUIRE(first.run("CREATE TABLE t (a int PRIMARY KEY)").ok);
    for (int i = 0; i < 50; ++i) {
        app::sql_client caller = on.connect();
        REQUIRE(caller.run("BEGIN").ok);
        REQUIRE(caller.run("INSERT INTO t VALUES (" + std::to_string(i) + ")").ok);
    }
    CHECK(on.eventually([&] {
        return on.standins.primary("passcount-db")->open_transaction_count() == 0;
    }));
    standin::database* primary = nullptr;
    on.standins.run([&] { primary = on.standins.primary("passcount-db"); });
    std::size_t peak = 0;
    on.standins.run([&] { peak = primary->peak_connection_count(); });
    // The host's share of the database's 64 connections, control's among them.
    CHECK(peak <= 32);
    CHECK(first.run("SELECT count(*) FROM t").rows[0][0] == "0");
}
