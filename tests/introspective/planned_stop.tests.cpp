#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/graceful_shutdown.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds grace(6000);
constexpr milliseconds rotation(2300);
outstanding_work const nothing;

outstanding_work with_sessions() {
    outstanding_work work;
    work.sessions = 3;
    return work;
}

} // namespace

TEST_CASE("A host that stops serves as before until it is out of rotation", "[stop]") {
    graceful_shutdown const stop(grace, rotation);
    for (milliseconds passed(0); passed < rotation; passed += milliseconds(100)) {
        shutdown_decision const step = stop.decide(passed, nothing);
        CHECK(step.accepts_sessions);
        CHECK_FALSE(step.closes_idle_sessions);
        CHECK_FALSE(step.exits);
    }
}

TEST_CASE("Out of rotation it dismisses idle sessions and ends once idle", "[stop]") {
    graceful_shutdown const stop(grace, rotation);
    CHECK(stop.decide(rotation, with_sessions()).closes_idle_sessions);
    CHECK_FALSE(stop.decide(rotation, with_sessions()).exits);
    CHECK(stop.decide(rotation, nothing).exits);
}

TEST_CASE("It waits for orders and for transactions of other hosts' callers", "[stop]") {
    graceful_shutdown const stop(grace, rotation);
    outstanding_work orders;
    orders.orders = 1;
    outstanding_work transactions;
    transactions.open_transactions = 1;
    CHECK_FALSE(stop.decide(rotation + milliseconds(500), orders).exits);
    CHECK_FALSE(stop.decide(rotation + milliseconds(500), transactions).exits);
}

TEST_CASE("It takes no sessions near its end, and is gone within the grace", "[stop]") {
    graceful_shutdown stop(grace, rotation);
    CHECK(stop.decide(grace / 2, with_sessions()).accepts_sessions);
    CHECK_FALSE(
        stop.decide(grace - milliseconds(1000), with_sessions()).accepts_sessions);
    CHECK_FALSE(stop.decide(grace - milliseconds(1000), with_sessions()).exits);
    CHECK(stop.decide(grace - milliseconds(100), with_sessions()).exits);
    stop.set_grace(grace / 2);
    CHECK(stop.decide(grace / 2, with_sessions()).exits);
}
