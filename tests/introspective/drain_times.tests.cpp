#include <catch2/catch.hpp>
#include <persimmonpoint/core/membership/drain_times.hpp>

using namespace persimmonpoint;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

drain_times::databases one_database(bool leaving, std::uint64_t started_ms = 1) {
    registered_database database;
    database.id = "db";
    database.leaving = leaving;
    database.started_ms = started_ms;
    return {{"db", database}};
}

} // namespace

TEST_CASE(
    "New work for a database ends before the time that it serves from its notice",
    "[membership][drain]") {
    drain_times times(seconds(7));
    times.update(one_database(false), start);
    CHECK_FALSE(times.work_ends_at("db"));
    times.update(one_database(true), start + seconds(1));
    auto const end = times.work_ends_at("db");
    REQUIRE(end);
    CHECK(*end > start + seconds(1));
    // The store is read each 0.8 s, so the notice may be that old.
    CHECK(*end < start + seconds(8) - std::chrono::milliseconds(800));
    SECTION("counted from the first notice") {
        times.update(one_database(true), start + seconds(3));
        CHECK(times.work_ends_at("db") == end);
    }
    SECTION("unless it was started anew since") {
        times.update(one_database(false, 2), start + seconds(3));
        CHECK_FALSE(times.work_ends_at("db"));
        times.update(one_database(true, 2), start + seconds(4));
        CHECK(*times.work_ends_at("db") == *end + seconds(3));
    }
    SECTION("also if its row lapses meanwhile") {
        times.update({}, start + seconds(3));
        times.update(one_database(true), start + seconds(5));
        CHECK(times.work_ends_at("db") == end);
    }
    SECTION("and of one that is long gone nothing is kept") {
        times.update({}, start + std::chrono::hours(1));
        CHECK_FALSE(times.work_ends_at("db"));
    }
}
