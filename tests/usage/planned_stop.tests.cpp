#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
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

TEST_CASE(
    "A planned stop leaves the transactions of other hosts' callers their time",
    "[front][stop]") {
    // Whichever host owns the primary's connections, one of the two callers is remote.
    auto const stopped = GENERATE(std::size_t(0), std::size_t(1));
    fleet_stage stage;
    line_caller remote(stage.caller_port(1 - stopped));
    REQUIRE(remote.start("alerts", "key-1").state == "I");
    REQUIRE(remote.query("BEGIN").state == "T");
    REQUIRE(remote.query("WRITE far " + std::to_string(stopped)).state == "T");
    host_stopping const stopping(stage, stopped);
    // The list of hosts, which the stopping one leaves at once, has reached the other.
    REQUIRE(eventually([&] { return stage.registered_hosts() == 1; }));
    for (int i = 0; i < 6; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        auto const inside = remote.query("READ far");
        REQUIRE(inside.error.empty());
        CHECK(inside.rows.at(0) == std::to_string(stopped));
    }
    auto const committed = remote.query("COMMIT");
    CHECK(committed.error.empty());
    CHECK(committed.state == "I");
    stage.with_standins(
        [&] { CHECK(stage.group->data("far") == std::to_string(stopped)); });
}

TEST_CASE(
    "A host that was taken off the list by mistake finishes the work that it has",
    "[front][hosts]") {
    // Whichever host owns the primary's connections, one of the two callers is remote.
    auto const unlisted = GENERATE(std::size_t(0), std::size_t(1));
    fleet_stage stage;
    line_caller remote(stage.caller_port(1 - unlisted));
    REQUIRE(remote.start("alerts", "key-1").state == "I");
    REQUIRE(remote.query("BEGIN").state == "T");
    REQUIRE(remote.query("WRITE far x").state == "T");
    stage.with_standins(
        [&] { stage.store->remove("hosts", "host-" + std::to_string(unlisted)); });
    // It is only silent or slow for another host, and registers itself again.
    REQUIRE(eventually([&] { return stage.registered_hosts() == 2; }));
    for (int i = 0; i < 3; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        CHECK(remote.query("READ far").rows.at(0) == "x");
    }
    CHECK(remote.query("COMMIT").error.empty());
    stage.with_standins([&] { CHECK(stage.group->times_written("far", "x") == 1); });
}

TEST_CASE(
    "A team within its rate is not refused while a host stops", "[front][stop][quota]") {
    // One of the three lends the team's quota.
    auto const stopped = GENERATE(std::size_t(0), std::size_t(1), std::size_t(2));
    fleet_stage stage(3);
    constexpr double rate = 200;
    constexpr double burst = 10;
    constexpr std::chrono::milliseconds pause(6); // About three quarters of the rate.
    stage.configure({"key-1"}, rate, false, burst);
    line_caller steady(stage.caller_port((stopped + 1) % 3));
    REQUIRE(steady.start("browse", "key-1").state == "I");
    std::size_t refused = 0;
    auto const ask = [&](int times) {
        for (int i = 0; i < times; ++i) {
            refused += steady.query("READ a").error.empty() ? 0 : 1;
            std::this_thread::sleep_for(pause);
        }
    };
    // A lower rate is in force after a while, and what was saved up before is used up.
    std::this_thread::sleep_for(quota_rules().lower_delay);
    ask(100);
    refused = 0;
    host_stopping const stopping(stage, stopped);
    ask(150);
    CHECK(refused == 0);
}

// Guards against callers that are cut off in the middle of a statement, as their host or
// the one that runs the statement exits. One of the two hosts owns the primary's
// connections.
TEST_CASE(
    "A transaction that outlasts a planned stop hears that it was rolled back",
    "[front][stop]") {
    auto const stopped = GENERATE(
        std::vector<std::size_t>{0}, std::vector<std::size_t>{1},
        std::vector<std::size_t>{0, 1});
    fleet_stage stage;
    std::vector<std::unique_ptr<line_caller>> callers;
    for (std::size_t const host : stopped) {
        callers.push_back(std::make_unique<line_caller>(stage.caller_port(host)));
        REQUIRE(callers.back()->start("alerts", "key-1").state == "I");
        REQUIRE(callers.back()->query("BEGIN").state == "T");
        std::string const item = "kept-" + std::to_string(host);
        REQUIRE(callers.back()->query("WRITE " + item + " x").state == "T");
    }
    std::vector<std::unique_ptr<host_stopping>> stopping;
    for (std::size_t const host : stopped) {
        stopping.push_back(std::make_unique<host_stopping>(stage, host));
    }
    // Each in a thread of its own: a transaction that is not used ends by itself.
    std::vector<line_caller::reply> last(callers.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        threads.emplace_back([&callers, &last, i] {
            while (last[i].error.empty() && !last[i].closed) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                last[i] = callers[i]->query("READ kept");
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    for (line_caller::reply const& each : last) {
        CHECK_FALSE(each.closed);
        CHECK(each.error == "ABORTED");
        // Whichever of the hosts ends it; it isn't the time that it was idle.
        CHECK(each.error_text.find("idle") == std::string::npos);
    }
    stage.with_standins([&] {
        CHECK(stage.group->data("kept-0").empty());
        CHECK(stage.group->data("kept-1").empty());
    });
}

// Guards against callers that are never found idle between two requests, and are cut off
// as their host exits.
TEST_CASE(
    "Callers that use their sessions until the end are cut off in no request",
    "[front][stop]") {
    auto const both_stop = GENERATE(false, true);
    fleet_stage stage;
    stage.with_standins([&] {
        for (std::string const& each : stage.group->ids()) {
            stage.group->set_delay(each, std::chrono::milliseconds(30));
        }
    });
    std::atomic<std::size_t> cut{0};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 8; ++i) {
        callers.emplace_back([&stage, &cut, i] {
            line_caller caller(stage.caller_port(i % 2));
            caller.start("tallies", "key-1");
            // The message that ends the session closes it.
            while (!caller.has_unread()) {
                if (caller.query("WRITE busy " + std::to_string(i)).closed) {
                    ++cut;
                    return;
                }
            }
        });
    }
    {
        host_stopping const first(stage, 0);
        std::optional<host_stopping> second;
        if (both_stop) {
            second.emplace(stage, 1);
        }
    }
    if (!both_stop) {
        host_stopping const second(stage, 1);
    }
    for (std::thread& each : callers) {
        each.join();
    }
    CHECK(cut == 0);
}
