#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/request_flow.hpp>
#include <support/fixed_random.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

/// Database 0 leads; 1 and 2 are replicas that hold everything up to offset 100.
group_view led_group() {
    group_view view;
    view.name = "g";
    view.term = 2;
    view.primary = 0;
    view.databases.resize(3);
    for (std::size_t i = 0; i < 3; ++i) {
        view.databases[i].reachable = true;
        view.databases[i].report.term = 2;
        view.databases[i].report.end_of_log = {2, 100};
    }
    view.databases[0].report.is_primary = true;
    return view;
}

/// One request on its way, with the surroundings it needs.
struct journey {
    explicit journey(flow_request_kind kind) : view(led_group()), loads(3, {4, 0}) {
        this->facts.kind = kind;
        this->facts.deadline = start + seconds(5);
        this->facts.group = "g";
        this->facts.floor = log_position{2, 90};
    }

    request_flow& flow() {
        if (!this->made) {
            this->made =
                std::make_unique<request_flow>(this->facts, this->budget, this->random);
        }
        return *this->made;
    }

    request_flow::context at() const { return {this->now, this->view, this->loads}; }

    request_facts facts;
    group_view view;
    std::vector<database_load> loads;
    retry_budget budget;
    tests::fixed_random random;
    instant now = start;
    std::unique_ptr<request_flow> made;
};

bool is_step(flow_action const& action, flow_step step) {
    return action.step == step;
}

} // namespace

TEST_CASE("A read goes to a replica that covers its floor", "[flow][read]") {
    journey on(flow_request_kind::read);
    SECTION("if one does") {
        auto const action = on.flow().start(on.at());
        REQUIRE(is_step(action, flow_step::acquire));
        CHECK(action.database != 0);
        auto const execute = on.flow().acquired(on.at());
        REQUIRE(is_step(execute, flow_step::execute));
        CHECK(execute.floor == on.facts.floor);
    }
    SECTION("to the primary if none does") {
        on.facts.floor = log_position{2, 500};
        auto const action = on.flow().start(on.at());
        REQUIRE(is_step(action, flow_step::acquire));
        CHECK(action.database == 0);
    }
    SECTION("never to one that is ahead in an old term") {
        on.view.databases[1].report.end_of_log = {1, 9999};
        on.view.databases[2].reachable = false;
        CHECK(on.flow().start(on.at()).database == 0);
    }
    SECTION("elsewhere once the connection's own check has failed") {
        auto const first = on.flow().start(on.at()).database;
        on.flow().acquired(on.at());
        auto const second = on.flow().below_floor(on.at());
        REQUIRE(is_step(second, flow_step::acquire));
        CHECK(second.database != first);
        on.flow().acquired(on.at());
        CHECK(on.flow().below_floor(on.at()).database == 0);
    }
}

TEST_CASE("A session without a position asks for one first", "[flow][read]") {
    journey on(flow_request_kind::read);
    on.facts.floor.reset();
    CHECK(is_step(on.flow().start(on.at()), flow_step::establish_floor));
    CHECK(is_step(on.flow().floor_established({2, 95}, on.at()), flow_step::acquire));
    CHECK(on.flow().acquired(on.at()).floor == log_position{2, 95});
}

TEST_CASE(
    "A read that accepts an age needs an observation that is young enough",
    "[flow][read]") {
    journey on(flow_request_kind::read);
    on.facts.floor = log_position{2, 10};
    on.facts.max_staleness = seconds(1);
    on.view.observations = {
        {start - seconds(3), {2, 50}}, {start - milliseconds(500), {2, 70}}};
    SECTION("the oldest that is young enough sets the floor") {
        on.flow().start(on.at());
        CHECK(on.flow().acquired(on.at()).floor == log_position{2, 70});
    }
    SECTION("without one, the primary's position is asked for") {
        on.now = start + seconds(2);
        CHECK(is_step(on.flow().start(on.at()), flow_step::establish_floor));
    }
    SECTION("one that went stale while the read waited is asked for anew") {
        on.flow().start(on.at());
        on.now = start + seconds(2);
        CHECK(is_step(on.flow().acquired(on.at()), flow_step::establish_floor));
    }
    SECTION("a session without a position asks for one all the same") {
        // It may have written on another connection within the age that it accepts.
        on.facts.floor.reset();
        CHECK(is_step(on.flow().start(on.at()), flow_step::establish_floor));
    }
    SECTION("the session's own writes count as well") {
        on.facts.floor = log_position{2, 90};
        on.flow().start(on.at());
        CHECK(on.flow().acquired(on.at()).floor == log_position{2, 90});
    }
}

TEST_CASE("A write is answered only behind its proof", "[flow][write]") {
    journey on(flow_request_kind::write);
    REQUIRE(on.flow().start(on.at()).database == 0);
    on.flow().acquired(on.at());
    auto const proving = on.flow().executed({2, 101}, on.at());
    REQUIRE(is_step(proving, flow_step::confirm_durable));
    CHECK(proving.position == log_position{2, 101});
    SECTION("proven") {
        CHECK(is_step(on.flow().proved(on.at()), flow_step::succeed));
    }
    SECTION("not proven: the outcome is unknown") {
        auto const failed = on.flow().proof_failed(on.at());
        REQUIRE(is_step(failed, flow_step::fail));
        CHECK(failed.failure.known_effect == effect::unknown);
    }
}

TEST_CASE("A write waits for a primary and is then truly not run", "[flow][write]") {
    journey on(flow_request_kind::write);
    on.view.primary.reset();
    auto action = on.flow().start(on.at());
    int waits = 0;
    while (is_step(action, flow_step::wait)) {
        on.now += action.delay;
        action = on.flow().timer(on.at());
        REQUIRE(++waits < 10'000);
    }
    REQUIRE(is_step(action, flow_step::fail));
    CHECK(action.failure.known_effect == effect::not_run);
    CHECK(on.now <= on.facts.deadline);
}

TEST_CASE("A lost connection is told truthfully", "[flow][retry]") {
    SECTION("a write without an id: unknown, and not sent again") {
        journey on(flow_request_kind::write);
        on.flow().start(on.at());
        on.flow().acquired(on.at());
        auto const action = on.flow().lost(false, on.at());
        REQUIRE(is_step(action, flow_step::fail));
        CHECK(action.failure.known_effect == effect::unknown);
    }
    SECTION("a write with an id: settled through the ledger") {
        journey on(flow_request_kind::write);
        on.facts.has_request_id = true;
        on.flow().start(on.at());
        on.flow().acquired(on.at());
        REQUIRE(is_step(on.flow().lost(false, on.at()), flow_step::wait));
        REQUIRE(is_step(on.flow().timer(on.at()), flow_step::acquire));
        REQUIRE(is_step(on.flow().acquired(on.at()), flow_step::look_up));
        SECTION("found: its answer is proven, then given") {
            REQUIRE(is_step(
                on.flow().ledger_found({2, 102}, on.at()), flow_step::confirm_durable));
            CHECK(is_step(on.flow().proved(on.at()), flow_step::succeed_stored));
        }
        SECTION("absent: sent again, for the ledger lets only one land") {
            REQUIRE(is_step(on.flow().ledger_absent(on.at()), flow_step::acquire));
            CHECK(is_step(on.flow().acquired(on.at()), flow_step::execute));
        }
    }
    SECTION("a write with an id that is not repeatable is never sent again") {
        journey on(flow_request_kind::write);
        on.facts.has_request_id = true;
        on.facts.repeatable = false;
        on.flow().start(on.at());
        on.flow().acquired(on.at());
        on.flow().lost(false, on.at());
        on.flow().timer(on.at());
        on.flow().acquired(on.at());
        auto const action = on.flow().ledger_absent(on.at());
        REQUIRE(is_step(action, flow_step::fail));
        CHECK(action.failure.known_effect == effect::unknown);
    }
    SECTION("a statement inside a transaction: not run, for its commit was never sent") {
        journey on(flow_request_kind::statement_in_transaction);
        on.flow().start(on.at());
        auto const action = on.flow().lost(false, on.at());
        REQUIRE(is_step(action, flow_step::fail));
        CHECK(action.failure.known_effect == effect::not_run);
    }
    SECTION("a commit: unknown") {
        journey on(flow_request_kind::commit);
        on.flow().start(on.at());
        auto const action = on.flow().lost(false, on.at());
        REQUIRE(is_step(action, flow_step::fail));
        CHECK(action.failure.known_effect == effect::unknown);
    }
    SECTION("a read: tried elsewhere, unless rows have gone to the caller") {
        journey on(flow_request_kind::read);
        on.flow().start(on.at());
        on.flow().acquired(on.at());
        CHECK(is_step(on.flow().lost(false, on.at()), flow_step::acquire));
        on.flow().acquired(on.at());
        CHECK(is_step(on.flow().lost(true, on.at()), flow_step::fail));
    }
    SECTION("a read that is not repeatable is not tried again") {
        journey on(flow_request_kind::read);
        on.facts.repeatable = false;
        on.flow().start(on.at());
        on.flow().acquired(on.at());
        CHECK(is_step(on.flow().lost(false, on.at()), flow_step::fail));
    }
}

TEST_CASE("After an uncertain attempt no refusal says not run", "[flow][retry]") {
    journey on(flow_request_kind::write);
    on.facts.has_request_id = true;
    on.flow().start(on.at());
    on.flow().acquired(on.at());
    auto action = on.flow().lost(false, on.at());
    on.view.primary.reset();
    while (is_step(action, flow_step::wait)) {
        on.now += action.delay;
        action = on.flow().timer(on.at());
    }
    REQUIRE(is_step(action, flow_step::fail));
    CHECK(action.failure.known_effect == effect::unknown);
}

TEST_CASE("Retries are limited to a share of the requests", "[flow][retry]") {
    retry_budget budget;
    int spent = 0;
    while (budget.try_withdraw()) {
        ++spent;
    }
    CHECK(spent == 20);
    for (int i = 0; i < 9; ++i) {
        budget.deposit();
    }
    CHECK_FALSE(budget.try_withdraw());
    budget.deposit();
    budget.deposit();
    CHECK(budget.try_withdraw());
}

TEST_CASE("Time between attempts is spread over a bound that doubles", "[flow][retry]") {
    tests::fixed_random low(0.0);
    tests::fixed_random high(0.999);
    CHECK(backoff(3, low) == duration::zero());
    CHECK(backoff(0, high) < milliseconds(10));
    CHECK(backoff(3, high) < milliseconds(80));
    CHECK(backoff(3, high) > milliseconds(70));
    CHECK(backoff(100, high) < milliseconds(320));
}
