#include <catch2/catch.hpp>
#include <support/fleet_stage.hpp>
#include <thread>
#include <vector>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

/// Stops a host while the test goes on; the end of the object waits for it.
class host_stopping {
public:
    host_stopping(fleet_stage& stage, std::size_t host)
        : stopping([&stage, host] { stage.stop_host(host); }) {}
    ~host_stopping() { this->stopping.join(); }

private:
    std::thread stopping;
};

} // namespace

TEST_CASE(
    "A request that crosses the end of an idle session hears that it did not run",
    "[front][stop]") {
    fleet_stage stage;
    std::vector<std::unique_ptr<line_caller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<line_caller>(stage.caller_port(0)));
        REQUIRE(callers.back()->start("tallies", "key-1").state == "I");
    }
    host_stopping const stopping(stage, 0);
    for (auto const& each : callers) {
        // The host has spoken its last word, but this caller has not read it yet.
        REQUIRE(eventually([&] { return each->has_unread(); }));
        auto const crossed = each->query("WRITE crossed x");
        CHECK_FALSE(crossed.closed);
        CHECK(crossed.error == "BUSY");
        CHECK(crossed.state == "I");
    }
    stage.with_standins([&] { CHECK(stage.group->data("crossed").empty()); });
}

TEST_CASE("An idle session is told of a planned stop, and then closed", "[front][stop]") {
    fleet_stage stage;
    line_caller idle(stage.caller_port(0));
    REQUIRE(idle.start("tallies", "key-1").state == "I");
    host_stopping const stopping(stage, 0);
    auto const last = idle.read_reply();
    CHECK(last.error == "BUSY");
    CHECK(last.state.empty());
    CHECK(last.closed);
}
