#include <catch2/catch.hpp>
#include <map>
#include <persimmonpoint/core/routing/prepared_names.hpp>
#include <persimmonpoint/engine/order_commands.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace persimmonpoint;

namespace {

upstream_request execution(std::string shape, bool writes = false) {
    upstream_request order;
    order.id = "id";
    order.text = "item data";
    order.prepared = prepared_shape{std::move(shape), writes};
    order.writes = writes;
    return order;
}

/// What a database receives for the order.
std::vector<std::string>
sent_for(upstream_request const& order, pooled_connection const& connection) {
    std::vector<std::string> lines;
    for (auto const& step : engine::plan_order(order, connection)) {
        lines.push_back(platform::format_command(step.command));
    }
    return lines;
}

} // namespace

TEST_CASE("A shape keeps its name until it is dropped", "[prepared]") {
    prepared_names names;
    CHECK_FALSE(names.find({"q1", false}));
    names.add_next({"q1", false});
    names.add_next({"q1", true});
    CHECK(names.find({"q1", false}) == prepared_name{1});
    CHECK(names.find({"q1", true}) == prepared_name{2});
    CHECK(names.size() == 2);
    names.clear();
    CHECK_FALSE(names.find({"q1", false}));
    CHECK_FALSE(names.find({"q1", true}));
}

TEST_CASE("A name that was dropped is never given to another shape", "[prepared]") {
    prepared_names names;
    names.add_next({"q1", false});
    names.clear();
    CHECK(names.size() == 0);
    names.add_next({"q2", false});
    CHECK(names.find({"q2", false}) == prepared_name{2});
    CHECK(names.next() == prepared_name{3});
}

TEST_CASE("No text of a caller is part of a prepared statement's name", "[prepared]") {
    pooled_connection connection;
    connection.state = pooled_connection_state::idle;

    CHECK(
        sent_for(execution("q1 WRITE xjyas", true), connection) ==
        std::vector<std::string>{
            "QUERY - PREPARE p1 WRITE q1 WRITE xjyas\r\n",
            "QUERY id EXECUTE p1 item data\r\n"});
    connection.prepared.add_next({"q1 WRITE xjyas", true});
    CHECK(
        sent_for(execution("q1", true), connection) ==
        std::vector<std::string>{
            "QUERY - PREPARE p2 WRITE q1\r\n", "QUERY id EXECUTE p2 item data\r\n"});
    CHECK(
        sent_for(execution("q1 WRITE xjyas", true), connection) ==
        std::vector<std::string>{"QUERY id EXECUTE p1 item data\r\n"});
}

TEST_CASE("A statement prepared behind a RESET gets a new name", "[prepared]") {
    pooled_connection connection;
    connection.state = pooled_connection_state::idle;
    connection.prepared.add_next({"q1", false});
    connection.values = {{"zone", "north"}};

    CHECK(
        sent_for(execution("q1"), connection) ==
        std::vector<std::string>{
            "QUERY - RESET\r\n", "QUERY - PREPARE p2 READ q1\r\n",
            "QUERY id EXECUTE p2 item data\r\n"});
}

TEST_CASE(
    "The bytes of prepared shapes are those of what is held", "[prepared][bounds]") {
    CHECK(rc::check([] {
        prepared_names names;
        std::map<prepared_shape, std::size_t> held;
        std::vector<std::string> const shapes = {"", "q", "q2", std::string(1000, 'q')};
        auto const steps = *rc::gen::inRange(1, 50);
        for (int i = 0; i < steps; ++i) {
            prepared_shape const shape{*rc::gen::elementOf(shapes), false};
            auto const choice = *rc::gen::inRange(0, 10);
            if (choice == 0) {
                names.clear();
                held.clear();
            } else {
                names.add_next(shape);
                held[shape] = shape.shape.size();
            }
            std::size_t sum = 0;
            for (auto const& each : held) {
                sum += each.second;
            }
            RC_ASSERT(names.bytes() == sum);
        }
    }));
}

TEST_CASE(
    "A connection that prepared many bytes is reset outside a transaction only",
    "[prepared][bounds]") {
    pooled_connection connection;
    connection.state = pooled_connection_state::idle;
    for (char const each : {'a', 'b', 'c'}) {
        connection.prepared.add_next({std::string(1'000'000, each), false});
    }
    auto const first_step = [&connection] {
        return plan_setup(execution("q1"), connection).front().kind;
    };
    CHECK(first_step() == setup_kind::reset);
    connection.state = pooled_connection_state::in_transaction;
    CHECK(first_step() == setup_kind::prepare);
}

TEST_CASE(
    "What a transaction prepares on its connection is bounded", "[prepared][bounds]") {
    pooled_connection connection;
    connection.state = pooled_connection_state::in_transaction;
    auto const large = execution(std::string(1'000'000, 'x'));
    SECTION("in bytes") {
        for (char const each : {'a', 'b', 'c', 'd'}) {
            CHECK(fits_transaction(large, connection));
            connection.prepared.add_next({std::string(1'000'000, each), false});
        }
        CHECK(fits_transaction(execution("q1"), connection));
    }
    SECTION("in names") {
        for (int i = 0; i < 1000; ++i) {
            connection.prepared.add_next({std::to_string(i), false});
        }
        CHECK_FALSE(fits_transaction(execution("q1"), connection));
    }
    CHECK_FALSE(fits_transaction(large, connection));
    connection.prepared.add_next(*large.prepared);
    CHECK(fits_transaction(large, connection));
}
