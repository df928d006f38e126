#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <persimmonpoint/platform/line_listener.hpp>
#include <support/free_port.hpp>
#include <support/line_caller.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace persimmonpoint;

namespace {

/// Refuses each caller with an answer, or throws.
class refusing_session final : public caller_observer {
public:
    refusing_session(std::shared_ptr<caller_channel> channel, bool throws)
        : channel(std::move(channel)), throws(throws) {}

    void on_start(std::string_view, std::string_view) override {
        if (this->throws) {
            throw std::runtime_error("unexpected");
        }
        this->channel->refuse(statement_error::busy, "the host is stopping");
    }
    void on_statement(statement const&) override {}
    void on_closed() override {}

private:
    std::shared_ptr<caller_channel> channel;
    bool throws;
};

/// Answers each statement at once with a large row.
class generous_session final : public caller_observer {
public:
    static constexpr std::size_t row_bytes = 256 * 1024;

    generous_session(std::shared_ptr<caller_channel> channel, std::size_t& statements)
        : channel(std::move(channel)), statements(statements) {}

    void on_start(std::string_view, std::string_view) override {
        this->channel->accept();
    }
    void on_statement(statement const&) override {
        ++this->statements;
        caller_answer answer;
        answer.rows = {std::string(row_bytes, 'x')};
        this->channel->answer(answer);
    }
    void on_closed() override { this->channel.reset(); }

private:
    std::shared_ptr<caller_channel> channel;
    std::size_t& statements;
};

std::string read_to_end(int socket) {
    std::string all;
    char bytes[256];
    for (;;) {
        ssize_t const size = ::recv(socket, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            return all;
        }
        all.append(bytes, static_cast<std::size_t>(size));
    }
}

/// Callers that have connected and sent START before the host took any of them.
std::vector<int> connect_callers(std::uint16_t port, std::size_t count) {
    std::vector<int> sockets;
    std::string const start = "START alerts key-1\r\n";
    for (std::size_t i = 0; i < count; ++i) {
        int const made = tests::connect_to(port, std::chrono::seconds(10));
        REQUIRE(made >= 0);
        REQUIRE(
            ::send(made, start.data(), start.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(start.size()));
        sockets.push_back(made);
    }
    return sockets;
}

} // namespace

TEST_CASE(
    "Callers that connected before a listener stops are answered", "[front][stop]") {
    boost::asio::io_context loop;
    std::uint16_t const port = tests::free_port();
    platform::line_listener listener(
        loop, {boost::asio::ip::address_v4::loopback(), port},
        [](std::shared_ptr<caller_channel> channel) {
            return std::make_shared<refusing_session>(std::move(channel), false);
        });
    auto const callers = connect_callers(port, 20);
    listener.stop();
    loop.run();
    for (int const each : callers) {
        CHECK(read_to_end(each) == "ERROR BUSY the host is stopping\r\n");
        ::close(each);
    }
    CHECK(tests::connect_to(port, std::chrono::seconds(1)) < 0);
}

TEST_CASE("An unexpected error ends the session that it came from", "[front][input]") {
    boost::asio::io_context loop;
    std::uint16_t const port = tests::free_port();
    bool throws = true;
    platform::line_listener listener(
        loop, {boost::asio::ip::address_v4::loopback(), port},
        [&throws](std::shared_ptr<caller_channel> channel) {
            return std::make_shared<refusing_session>(
                std::move(channel), std::exchange(throws, false));
        });
    auto const callers = connect_callers(port, 2);
    listener.stop();
    REQUIRE_NOTHROW(loop.run());
    CHECK(read_to_end(callers[0]).empty());
    CHECK(read_to_end(callers[1]) == "ERROR BUSY the host is stopping\r\n");
    ::close(callers[0]);
    ::close(callers[1]);
}

// Guards against callers who fill a host's memory with answers that they don't read.
TEST_CASE("A caller that reads no answers gets no further ones", "[front][input]") {
    constexpr std::size_t sent = 200;
    constexpr std::size_t most_pending = 100;
    boost::asio::io_context loop;
    std::uint16_t const port = tests::free_port();
    std::size_t statements = 0;
    platform::line_listener listener(
        loop, {boost::asio::ip::address_v4::loopback(), port},
        [&statements](std::shared_ptr<caller_channel> channel) {
            return std::make_shared<generous_session>(std::move(channel), statements);
        });
    int const caller = connect_callers(port, 1).front();
    std::string requests;
    for (std::size_t i = 0; i < sent; ++i) {
        requests += "QUERY " + std::to_string(i) + " READ a\r\n";
    }
    REQUIRE(
        ::send(caller, requests.data(), requests.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(requests.size()));
    listener.stop();
    while (loop.poll() > 0) {}
    CHECK(statements > 0);
    CHECK(statements < most_pending);

    std::size_t received = 0;
    std::string bytes(generous_session::row_bytes, ' ');
    while (received < sent * generous_session::row_bytes) {
        ssize_t const size = ::recv(caller, bytes.data(), bytes.size(), MSG_DONTWAIT);
        received += size > 0 ? static_cast<std::size_t>(size) : 0;
        loop.poll();
    }
    CHECK(statements == sent);
    ::close(caller);
    loop.run();
}
