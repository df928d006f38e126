#include <algorithm>
#include <catch2/catch.hpp>
#include <persimmonpoint/core/limits/cold_pace.hpp>
#include <persimmonpoint/core/placement/cold_databases.hpp>
#include <persimmonpoint/core/routing/group_routing.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <rapidcheck/catch.h>
#include <vector>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

using listed = std::map<std::string, registered_database, std::less<>>;

registered_database
entry(std::string id, std::uint64_t cold_ms, std::uint64_t started_ms = 1) {
    registered_database made;
    made.id = std::move(id);
    made.cold_remaining_ms = cold_ms;
    made.started_ms = started_ms;
    return made;
}

cold_allowance cold(double per_second, instant warm_at) {
    return {true, per_second, warm_at};
}

/// Instants at which an owner that always has work sends single commands.
std::vector<instant> send_all(cold_pace& pace, instant from, instant until) {
    std::vector<instant> sent;
    for (instant now = from; now < until; now += milliseconds(20)) {
        while (pace.may_send(now)) {
            pace.sent(1, now);
            sent.push_back(now);
        }
    }
    return sent;
}

std::size_t most_in_a_second(std::vector<instant> sent) {
    std::sort(sent.begin(), sent.end());
    std::size_t most = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        auto const behind = std::lower_bound(first, sent.end(), *first + seconds(1));
        most = std::max(most, static_cast<std::size_t>(behind - first));
    }
    return most;
}

} // namespace

TEST_CASE("A database is cold for as long as it says, from the reading on", "[cold]") {
    cold_databases databases;
    databases.update(listed{{"a", entry("a", 4000)}, {"b", entry("b", 0)}}, start);
    CHECK(databases.warm_at("a") == start + seconds(4));
    CHECK(databases.warm_at("b") == instant());
    CHECK(databases.warm_at("unknown") == instant());
    SECTION("and no longer because the same is read again") {
        databases.update(listed{{"a", entry("a", 4000)}}, start + seconds(3));
        CHECK(databases.warm_at("a") == start + seconds(4));
    }
    SECTION("but from a later start on anew") {
        databases.update(listed{{"a", entry("a", 4000, 2)}}, start + seconds(3));
        CHECK(databases.warm_at("a") == start + seconds(7));
    }
    SECTION("and anew where it has become cold without a start") {
        databases.update(listed{{"a", entry("a", 0)}}, start + seconds(5));
        databases.update(listed{{"a", entry("a", 4000)}}, start + seconds(6));
        CHECK(databases.warm_at("a") == start + seconds(10));
    }
}

TEST_CASE("Where no rate is given, a cold database is used like any other", "[cold]") {
    cold_pace pace;
    pace.set({false, 0, start + seconds(9)}, start);
    CHECK(pace.may_send(start));
    CHECK_FALSE(pace.is_closed(start));
    pace.refused(start);
    CHECK(pace.may_send(start));
}

TEST_CASE("A cold database's owner waits a second, then sends at its share", "[cold]") {
    cold_pace pace;
    pace.set(cold(4, start + seconds(10)), start);
    CHECK_FALSE(pace.may_send(start + milliseconds(999)));
    auto const sent = send_all(pace, start, start + seconds(5));
    CHECK(sent.front() == start + seconds(1));
    CHECK(most_in_a_second(sent) <= 5);
    CHECK(sent.size() >= 14);
    CHECK(pace.may_send(start + seconds(10)));
}

TEST_CASE("A share that is told again doesn't begin anew", "[cold]") {
    cold_pace pace;
    pace.set(cold(4, start + seconds(10)), start);
    pace.set(cold(4, start + seconds(10)), start + milliseconds(900));
    CHECK(pace.may_send(start + seconds(1)));
}

TEST_CASE("A database that took no connection counts as cold for a while", "[cold]") {
    cold_pace pace;
    pace.set(cold(4, {}), start);
    CHECK(pace.may_send(start));
    pace.refused(start);
    CHECK_FALSE(pace.may_send(start));
    CHECK_FALSE(pace.is_cold(start + cold_pace::suspicion));
}

TEST_CASE(
    "Nothing can be free before the database is warm or the share lets it", "[cold]") {
    cold_pace pace;
    pace.set(cold(2, start + seconds(4)), start);
    CHECK(pace.free_behind(0, start) == start + seconds(1));
    CHECK(pace.free_behind(2, start) == start + seconds(2));
    CHECK(pace.free_behind(100, start) == start + seconds(4));
    CHECK(pace.free_behind(100, start + seconds(5)) == start + seconds(5));
}

// Load: a fleet that is cut in parts, each of which has an owner of its own, whose
// processes start again at any moment.
TEST_CASE("Three owners at a time stay within the bound", "[cold][rapidcheck]") {
    rc::prop("in each second", [] {
        double const rate = *rc::gen::inRange(1, 60);
        double const overrun = *rc::gen::element(1.0, 1.5, 2.0);
        constexpr double slack = 5;
        std::vector<instant> sent;
        for (int owner = 0; owner < 3; ++owner) {
            instant const lost = start + milliseconds(*rc::gen::inRange(0, 8000));
            cold_pace first;
            first.set(cold(cold_share(rate, overrun), start + seconds(60)), start);
            cold_pace next;
            next.set(cold(cold_share(rate, overrun), start + seconds(60)), lost);
            for (instant const each : send_all(first, start, lost)) {
                sent.push_back(each);
            }
            for (instant const each : send_all(next, lost, start + seconds(10))) {
                sent.push_back(each);
            }
        }
        RC_ASSERT(static_cast<double>(most_in_a_second(sent)) <= rate * overrun + slack);
    });
}

TEST_CASE("Reads use a cold database only where others wait long", "[cold][routing]") {
    group_routing group;
    registered_database first = entry("first", 0);
    registered_database second = entry("second", 0);
    first.slots = second.slots = 2;
    group.set_databases({first, second});
    group.set_warm_times({{"first", start + seconds(5)}});
    for (int i = 0; i < 10; ++i) {
        auto const chosen = group.choose_for_read({}, "", {}, start);
        REQUIRE(chosen == "second");
        group.sent(*chosen);
    }
    CHECK(
        group.choose_for_read({}, "", std::vector<std::string>{"second"}, start) ==
        "first");
    CHECK(group.choose_for_read({}, "", {}, start + seconds(5)) == "first");
}

TEST_CASE("What a database says of its warming is decoded", "[cold][decoder]") {
    std::string const body =
        R"({"service":"db","address":"10.0.0.1:1","zone":"a","slots":2,"state":"ready",)"
        R"("database_role":"replica","cold_remaining_ms":)";
    CHECK(
        platform::decode_database("a", body + "1500.2}").value().cold_remaining_ms ==
        1501);
    CHECK_FALSE(platform::decode_database("a", body + "-1}"));
    std::string const configuration =
        R"({"version":1,"routes":[],"tenants":[],"services":[{"name":"db",)"
        R"("max_connections":4,"cold_per_s":2.5},{"name":"other","max_connections":4},)"
        R"({"name":"never","max_connections":4,"cold_start_s":0.0,"cold_per_s":0.0},)"
        R"({"name":"none","max_connections":4,"cold_start_s":8,"cold_per_s":0}]})";
    auto const decoded = platform::decode_configuration(configuration);
    auto const& groups = decoded.value().configuration.groups;
    CHECK(groups.at("db").cold_rate == 2.5);
    CHECK(groups.at("none").cold_rate == 0.0);
    CHECK_FALSE(groups.at("other").cold_rate);
    CHECK_FALSE(groups.at("never").cold_rate);
}
