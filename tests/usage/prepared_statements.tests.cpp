#include <catch2/catch.hpp>
#include <string>
#include <support/fleet_stage.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

/// Starts a session on the route whose statements all run at the primary.
void start(line_caller& caller) {
    REQUIRE(caller.start("alerts", "key-1").error.empty());
}

std::string data_of(line_caller& caller, std::string const& item) {
    auto const reply = caller.query("READ " + item);
    return reply.rows.empty() ? reply.error : reply.rows.front();
}

} // namespace

TEST_CASE(
    "A write prepared with a shape of several words changes only the item that its "
    "caller names",
    "[front][prepared]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    start(caller);
    REQUIRE(caller.query("PREPARE s WRITE q1 WRITE xjyas").error.empty());

    REQUIRE(caller.query("EXECUTE s item some data").error.empty());

    CHECK(data_of(caller, "item") == "some data");
    CHECK(data_of(caller, "WRITE") == "-");
}

TEST_CASE(
    "A prepared read runs as its session prepared it after another session has prepared "
    "a shape that begins alike",
    "[front][prepared]") {
    fleet_stage stage(1);
    line_caller first(stage.caller_port(0));
    line_caller second(stage.caller_port(0));
    start(first);
    start(second);
    REQUIRE(first.query("WRITE item data").error.empty());
    REQUIRE(first.query("PREPARE s READ q1").error.empty());
    REQUIRE(first.query("EXECUTE s item").rows.size() == 2);
    REQUIRE(second.query("PREPARE s READ q1 WRITE other").error.empty());
    REQUIRE(second.query("EXECUTE s item").error.empty());

    auto const read = first.query("EXECUTE s item");

    CHECK(read.error.empty());
    REQUIRE(read.rows.size() == 2);
    CHECK(read.rows.front() == "data");
}
