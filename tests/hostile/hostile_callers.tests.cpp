#include <catch2/catch.hpp>
#include <hostile/hostile_stage.hpp>
#include <support/line_caller.hpp>

using namespace persimmonpoint::tests;

namespace {

/// What a host may have at the most beside what it has at rest: the limit of its
/// settings, which the crowds here are over many times, and as much again four times for
/// the allocator, buffers and the messages of ordinary callers.
constexpr std::size_t most_growth = 5 * hostile_stage::held_bytes;
/// Descriptors beside those of callers: files, links, connections to databases.
constexpr std::size_t most_other_descriptors = 80;
/// A message of legal size.
constexpr std::size_t large_message = 900'000;
constexpr std::size_t crowd_size = 100;
constexpr std::size_t piece_size = 16 * 1024;

std::string large_write(std::string const& id) {
    return "QUERY " + id + " WRITE ladder " + std::string(large_message, 'x') + "\r\n";
}

std::string without_end(std::string message) {
    message.resize(message.size() - 2);
    return message;
}

/// Ordinary callers that are served while a crowd is there, so that the host has come to
/// what the crowd sent.
constexpr std::size_t served_meanwhile = 10;

/// What must hold whatever callers do.
void check_host(hostile_stage& stage, std::size_t memory_at_rest) {
    for (std::size_t i = 0; i < served_meanwhile; ++i) {
        stage.serves_an_ordinary_caller();
    }
    CHECK(stage.lives());
    CHECK(stage.peak_memory() <= memory_at_rest + most_growth);
    CHECK(stage.descriptors() <= hostile_stage::connections + most_other_descriptors);
}

/// The same once the crowd has gone.
void check_afterwards(hostile_stage& stage, std::size_t memory_at_rest) {
    check_host(stage, memory_at_rest);
    CHECK(stage.serves_an_ordinary_caller());
}

} // namespace

TEST_CASE("A crowd that sends large messages in one piece", "[hostile]") {
    hostile_stage stage;
    std::size_t const at_rest = stage.peak_memory();
    {
        crowd callers(stage.caller_port(), crowd_size);
        callers.start_sessions();
        callers.send(large_write("1"));
        check_host(stage, at_rest);
    }
    check_afterwards(stage, at_rest);
}

TEST_CASE("A crowd that sends large messages in small pieces", "[hostile]") {
    hostile_stage stage;
    std::size_t const at_rest = stage.peak_memory();
    {
        crowd callers(stage.caller_port(), crowd_size);
        callers.start_sessions();
        callers.send_in_pieces(large_write("1"), piece_size);
        check_host(stage, at_rest);
    }
    check_afterwards(stage, at_rest);
}

TEST_CASE("A crowd that stops in the middle of large messages", "[hostile]") {
    hostile_stage stage;
    std::size_t const at_rest = stage.peak_memory();
    crowd callers(stage.caller_port(), crowd_size);
    callers.start_sessions();
    callers.send(without_end(large_write("1")));
    check_afterwards(stage, at_rest);
}

TEST_CASE("A crowd whose messages are far over the limit", "[hostile]") {
    hostile_stage stage;
    std::size_t const at_rest = stage.peak_memory();
    std::string const endless = "QUERY 1 WRITE ladder " + std::string(8'000'000, 'x');
    crowd callers(stage.caller_port(), crowd_size);
    SECTION("in sessions") {
        callers.start_sessions();
        callers.send(endless);
    }
    SECTION("instead of a start") {
        callers.send(endless);
    }
    check_afterwards(stage, at_rest);
}

TEST_CASE("A crowd that sends ahead and reads no answers", "[hostile]") {
    hostile_stage stage;
    {
        line_caller writer(stage.caller_port());
        writer.start("tallies", "key-1");
        REQUIRE(writer.query("WRITE fish " + std::string(300'000, 'y')).error.empty());
    }
    std::size_t const at_rest = stage.peak_memory();
    {
        crowd callers(stage.caller_port(), crowd_size);
        callers.start_sessions();
        std::string ahead;
        for (std::size_t i = 0; i < 200; ++i) {
            ahead += "QUERY " + std::to_string(i) + " READ fish\r\n";
        }
        callers.send(ahead);
        check_host(stage, at_rest);
    }
    check_afterwards(stage, at_rest);
}

TEST_CASE("A crowd that connects and says nothing, or half a start", "[hostile]") {
    hostile_stage stage;
    std::size_t const at_rest = stage.peak_memory();
    {
        crowd silent(stage.caller_port(), 3 * hostile_stage::connections);
        SECTION("nothing") {}
        SECTION("half a start") {
            silent.send("STAR");
        }
        SECTION("a key without an end") {
            silent.send("START tallies " + std::string(100'000, 'k'));
        }
        check_host(stage, at_rest);
    }
    check_afterwards(stage, at_rest);
}

TEST_CASE("A mix of all crowds at a time", "[hostile]") {
    hostile_stage stage;
    std::size_t const at_rest = stage.peak_memory();
    {
        crowd halves(stage.caller_port(), crowd_size / 4);
        crowd wholes(stage.caller_port(), crowd_size / 4);
        crowd endless(stage.caller_port(), crowd_size / 4);
        crowd silent(stage.caller_port(), crowd_size / 4);
        halves.start_sessions();
        wholes.start_sessions();
        halves.send(without_end(large_write("1")));
        wholes.send_in_pieces(large_write("2"), piece_size);
        endless.send(std::string(4'000'000, 'x'));
        silent.send("STAR");
        check_host(stage, at_rest);
    }
    check_afterwards(stage, at_rest);
}

TEST_CASE("A single message of the full size is served in calm", "[hostile]") {
    hostile_stage stage;
    line_caller caller(stage.caller_port());
    REQUIRE_FALSE(caller.start("tallies", "key-1").closed);
    std::string const data(1'000'000, 'z');
    CHECK(caller.query("WRITE ladder " + data).error.empty());
    CHECK(caller.query("READ ladder").rows.front() == data);
}
