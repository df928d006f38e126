#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/planned_stop.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds grace(6000);
constexpr milliseconds rotation(2300);
stop_work const nothing;

stop_work with_sessions() {
    stop_work work;
    work.sessions = 3;
    return work;
}

} // namespace

TEST_CASE("A host that stops serves as before until it is out of rotation", "[stop]") {
    planned_stop const stop(grace, rotation);
    for (milliseconds passed(0); passed < rotation; passed += milliseconds(100)) {
        stop_step const step = stop.decide(passed, nothing);
        CHECK(step.takes_sessions);
        CHECK_FALSE(step.dismisses_idle_sessions);
        CHECK_FALSE(step.ends);
    }
}

TEST_CASE("Out of rotation it dismisses idle sessions and ends once idle", "[stop]") {
    planned_stop const stop(grace, rotation);
    CHECK(stop.decide(rotation, with_sessions()).dismisses_idle_sessions);
    CHECK_FALSE(stop.decide(rotation, with_sessions()).ends);
    CHECK(stop.decide(rotation, nothing).ends);
}

TEST_CASE("It waits for orders and for transactions of other hosts' callers", "[stop]") {
    planned_stop const stop(grace, rotation);
    stop_work orders;
    orders.orders = 1;
    stop_work transactions;
    transactions.open_transactions = 1;
    CHECK_FALSE(stop.decide(rotation + milliseconds(500), orders).ends);
    CHECK_FALSE(stop.decide(rotation + milliseconds(500), transactions).ends);
}

TEST_CASE("It takes no sessions near its end, and is gone within the grace", "[stop]") {
    planned_stop stop(grace, rotation);
    CHECK(stop.decide(grace / 2, with_sessions()).takes_sessions);
    CHECK_FALSE(stop.decide(grace - milliseconds(1000), with_sessions()).takes_sessions);
    CHECK_FALSE(stop.decide(grace - milliseconds(1000), with_sessions()).ends);
    CHECK(stop.decide(grace - milliseconds(100), with_sessions()).ends);
    stop.set_grace(grace / 2);
    CHECK(stop.decide(grace / 2, with_sessions()).ends);
}
