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
        CHECK(step.accepts_work);
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

TEST_CASE("It takes no work near its end, and is gone within the grace", "[stop]") {
    graceful_shutdown stop(grace, rotation);
    CHECK(stop.decide(grace / 2, with_sessions()).accepts_work);
    CHECK_FALSE(stop.decide(grace - milliseconds(1000), with_sessions()).accepts_work);
    CHECK_FALSE(stop.decide(grace - milliseconds(1000), with_sessions()).exits);
    CHECK(stop.decide(grace - milliseconds(100), with_sessions()).exits);
    stop.set_grace(grace / 2);
    CHECK(stop.decide(grace / 2, with_sessions()).exits);
}

TEST_CASE("It takes no work once it has begun to answer what still runs", "[stop]") {
    auto const any_grace =
        GENERATE(milliseconds(300), milliseconds(2000), milliseconds(6000));
    auto const any_rotation = GENERATE(milliseconds(0), milliseconds(2300));
    graceful_shutdown const stop(any_grace, any_rotation);
    for (milliseconds passed(0); passed <= any_grace; passed += milliseconds(50)) {
        shutdown_decision const step = stop.decide(passed, with_sessions());
        CHECK_FALSE((step.ends_requests && step.accepts_work));
    }
}

TEST_CASE("An open transaction has half of the grace to end", "[stop]") {
    auto const any_grace =
        GENERATE(milliseconds(1000), milliseconds(2500), milliseconds(20000));
    graceful_shutdown const stop(any_grace, milliseconds(300));
    CHECK(stop.decide(any_grace / 2 - milliseconds(1), with_sessions()).accepts_work);
}

// Guards against a host that exits while statements of its callers, or of another host's,
// have no answer yet.
TEST_CASE("It exits only once no answer is owed", "[stop]") {
    auto const owed = GENERATE(
        &outstanding_work::unanswered_requests, &outstanding_work::orders,
        &outstanding_work::unsent_responses);
    graceful_shutdown const stop(grace, rotation);
    outstanding_work work = with_sessions();
    work.*owed = 1;
    milliseconds const killed_soon = grace - milliseconds(100);
    for (milliseconds passed(0); passed < killed_soon; passed += milliseconds(50)) {
        CHECK_FALSE(stop.decide(passed, work).exits);
    }
    CHECK(stop.decide(killed_soon, work).exits);
}

TEST_CASE("It answers what still runs before it exits", "[stop]") {
    graceful_shutdown const stop(grace, rotation);
    outstanding_work running = with_sessions();
    running.unanswered_requests = 2;
    running.orders = 1;
    milliseconds const late = grace - milliseconds(500);
    CHECK_FALSE(stop.decide(late - milliseconds(1), running).ends_requests);
    CHECK(stop.decide(late, running).ends_requests);
    CHECK_FALSE(stop.decide(late, running).accepts_work);
    // Sessions that owe and are owed nothing don't hold it.
    CHECK(stop.decide(late, with_sessions()).exits);
}
