#include <catch2/catch.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <string>
#include <support/fleet_stage.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

/// A QUERY of as many bytes as a message may have.
std::string largest_query(std::string const& text) {
    std::string const start = "QUERY 1 " + text;
    return start + std::string(platform::most_message_bytes - start.size(), 'x') + "\r\n";
}

} // namespace

TEST_CASE("The largest write that a message holds is served", "[front][bounds]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    REQUIRE(caller.start("alerts", "key-1").error.empty());
    auto const written = caller.raw(largest_query("WRITE item "));
    CHECK(written.error.empty());
    CHECK_FALSE(written.signature.empty());
    auto const read = caller.query("READ item");
    REQUIRE_FALSE(read.rows.empty());
    CHECK(read.rows.front().size() == largest_query("WRITE item ").size() - 21);
}

TEST_CASE(
    "A statement that fits into no message to a database is refused, and its transaction "
    "commits",
    "[front][bounds]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    REQUIRE(caller.start("alerts", "key-1").error.empty());
    REQUIRE(caller.query("PREPARE s WRITE q1").error.empty());
    REQUIRE(caller.query("BEGIN").error.empty());
    REQUIRE(caller.query("WRITE other data").error.empty());

    auto const refused = caller.raw(largest_query("EXECUTE s item "));

    CHECK(refused.error == "TOOLARGE");
    CHECK(refused.state == "T");
    CHECK(caller.query("COMMIT").error.empty());
    auto const read = caller.query("READ other");
    REQUIRE_FALSE(read.rows.empty());
    CHECK(read.rows.front() == "data");
}
