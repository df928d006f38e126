#include <catch2/catch.hpp>
#include <persimmonpoint/core/catalog/directory_changes.hpp>
#include <persimmonpoint/core/membership/directory_readings.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

/// Readings each second from the start to `end`.
directory_readings read_until(instant end) {
    directory_readings readings;
    for (instant time = start; time <= end; time += seconds(1)) {
        readings.succeeded(time, 1);
    }
    return readings;
}

registered_database listed(std::uint64_t started_ms, bool leaving = false) {
    registered_database database;
    database.group = "g";
    database.started_ms = started_ms;
    database.leaving = leaving;
    return database;
}

} // namespace

TEST_CASE(
    "A directory is complete once it was read long enough behind the moment in question",
    "[directory][readings]") {
    directory_readings readings = read_until(start + seconds(6));
    instant const since = start + seconds(6);
    instant const now = since + milliseconds(10);
    CHECK(readings.judge(since - milliseconds(1500), now) == directory_listing::complete);
    CHECK(readings.judge(since - milliseconds(1499), now) == directory_listing::pending);
    CHECK(readings.judge(since, now) == directory_listing::pending);
    CHECK(readings.needs_reading(since, now));
    SECTION("a reading that begins too early for a database that joined just before") {
        readings.succeeded(since + milliseconds(1499), 1);
        CHECK(
            readings.judge(since, since + milliseconds(1510)) ==
            directory_listing::pending);
    }
    SECTION("a reading by which each of them has registered") {
        readings.succeeded(since + milliseconds(1500), 1);
        CHECK(
            readings.judge(since, since + milliseconds(1510)) ==
            directory_listing::complete);
    }
    SECTION("readings that don't come are not waited for without end") {
        CHECK(readings.judge(since, since + seconds(3)) == directory_listing::incomplete);
    }
}

TEST_CASE(
    "Readings for changes of leadership keep a pace, whichever moment is in question",
    "[directory][readings]") {
    directory_readings readings = read_until(start + seconds(6));
    instant const now = start + seconds(6);
    readings.began(now);
    CHECK_FALSE(readings.needs_reading(now, now + milliseconds(100)));
    CHECK_FALSE(readings.needs_reading(now + milliseconds(99), now + milliseconds(100)));
    CHECK(readings.needs_reading(now, now + milliseconds(500)));
}

TEST_CASE(
    "A directory that was read shortly after the store's return may be incomplete",
    "[directory][readings]") {
    directory_readings readings = read_until(start + seconds(6));
    CHECK(readings.is_steady(start + seconds(7)));
    CHECK_FALSE(readings.is_in_doubt(start + seconds(7)));
    instant const back = start + seconds(8);
    std::uint64_t era = 1;
    SECTION("behind a failed reading") {
        readings.failed(start + milliseconds(7500));
        CHECK(readings.judge(start, back) == directory_listing::incomplete);
        CHECK(readings.is_in_doubt(back));
        readings.succeeded(back, 1);
        CHECK(readings.is_in_doubt(back + seconds(3)));
        CHECK_FALSE(readings.is_in_doubt(back + seconds(4)));
    }
    SECTION("behind a time without readings") {
        CHECK_FALSE(readings.is_steady(back + seconds(2)));
        readings.succeeded(back + seconds(2), 1);
    }
    SECTION("behind the return of an older copy of the store") {
        era = 2;
        readings.succeeded(back, era);
    }
    CHECK_FALSE(readings.is_steady(back + seconds(2)));
    CHECK(readings.judge(start, back + seconds(2)) == directory_listing::incomplete);
    readings.succeeded(back + seconds(3), era);
    readings.succeeded(back + seconds(6), era);
    CHECK(readings.is_steady(back + seconds(6)));
    CHECK(readings.judge(back, back + seconds(6)) == directory_listing::complete);
}

TEST_CASE(
    "A host that never read the directory doesn't take it for complete",
    "[directory][readings]") {
    directory_readings const readings;
    CHECK(readings.judge(start, start + seconds(60)) == directory_listing::incomplete);
    CHECK(readings.needs_reading(start, start));
}

TEST_CASE("The changes of a directory are told by name", "[directory]") {
    listed_databases const before = {
        {"a", listed(1)}, {"b", listed(1)}, {"c", listed(1)}, {"d", listed(1)}};
    listed_databases after = {
        {"b", listed(1, true)}, {"c", listed(2)}, {"d", listed(1)}, {"e", listed(1)}};
    CHECK(describe_changes(before, after) == "a gone, b leaving, c started again, e new");
    after = before;
    after["a"].group = "h";
    CHECK(describe_changes(before, after) == "a in another group");
    CHECK(describe_changes(before, before).empty());
}
