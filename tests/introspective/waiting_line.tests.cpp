#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <persimmonpoint/core/limits/waiting_line.hpp>
#include <string>

using namespace persimmonpoint;
using std::chrono::milliseconds;

namespace {

using line = waiting_line<std::string>;

instant at(int ms) {
    return instant(milliseconds(ms));
}

/// The items in the order in which they are offered; all of them are started.
std::vector<std::string> start_all(line& waiting) {
    std::vector<std::string> started;
    waiting.start_what_can(
        [](std::string const&) { return true; },
        [&started](bool, std::string item) { started.push_back(std::move(item)); });
    return started;
}

} // namespace

TEST_CASE(
    "What is urgent goes first, then by priority, then by arrival", "[limits][waiting]") {
    line waiting(10);
    waiting.push({false, 2, at(100)}, "late choice");
    waiting.push({false, 1, at(100)}, "first of its priority");
    waiting.push({false, 1, at(50)}, "second of its priority");
    waiting.push({true, 9, at(100)}, "urgent");
    CHECK(
        start_all(waiting) ==
        std::vector<std::string>{
            "urgent", "first of its priority", "second of its priority", "late choice"});
    CHECK(waiting.empty());
}

TEST_CASE("What can't be started keeps its place", "[limits][waiting]") {
    line waiting(10);
    waiting.push({false, 1, at(100)}, "a");
    waiting.push({false, 1, at(100)}, "b");
    std::vector<std::string> started;
    waiting.start_what_can(
        [](std::string const& item) { return item == "b"; },
        [&](bool, std::string item) {
            // What was started waits no more, so that a load counted now is right.
            CHECK(waiting.size() == 1);
            started.push_back(std::move(item));
        });
    CHECK(started == std::vector<std::string>{"b"});
    CHECK(start_all(waiting) == std::vector<std::string>{"a"});
}

TEST_CASE("An item that starts another one leaves the line whole", "[limits][waiting]") {
    line waiting(10);
    waiting.push({false, 2, at(100)}, "a");
    bool added = false;
    std::vector<std::string> started;
    waiting.start_what_can(
        [](std::string const&) { return true; },
        [&](bool, std::string item) {
            started.push_back(std::move(item));
            if (!std::exchange(added, true)) {
                waiting.push({false, 3, at(100)}, "b");
            }
        });
    for (std::string const& each : start_all(waiting)) {
        started.push_back(each);
    }
    CHECK(started == std::vector<std::string>{"a", "b"});
}

TEST_CASE("Items are taken out by their time and by their kind", "[limits][waiting]") {
    line waiting(3);
    waiting.push({false, 1, at(100)}, "a");
    waiting.push({false, 1, at(50)}, "b");
    CHECK_FALSE(waiting.full());
    waiting.push({false, 1, at(200)}, "c");
    CHECK(waiting.full());
    CHECK(waiting.take_expired(at(49)).empty());
    CHECK(waiting.take_expired(at(100)) == std::vector<std::string>{"a", "b"});
    CHECK(waiting.take_if([](std::string const& each) { return each == "a"; }).empty());
    CHECK(waiting.take_all() == std::vector<std::string>{"c"});
    CHECK(waiting.empty());
}

TEST_CASE(
    "A line takes no more bytes than it may, and those that left it are free again",
    "[limits][waiting][bounds]") {
    line waiting(10, 100);
    waiting.push({false, 1, at(50)}, "first", 60);
    CHECK(waiting.has_room(40));
    CHECK_FALSE(waiting.has_room(41));
    waiting.push({false, 1, at(100)}, "second", 40);
    CHECK_FALSE(waiting.has_room(1));
    CHECK(waiting.has_room(0));
    SECTION("expired") {
        waiting.take_expired(at(60));
        CHECK(waiting.has_room(60));
        CHECK_FALSE(waiting.has_room(61));
    }
    SECTION("started") {
        start_all(waiting);
        CHECK(waiting.has_room(100));
    }
    SECTION("taken") {
        waiting.take_all();
        CHECK(waiting.has_room(100));
    }
}

TEST_CASE("Teams of one priority take turns", "[limits][waiting]") {
    line waiting(10);
    for (char const* const each : {"flood 1", "flood 2", "flood 3"}) {
        waiting.push({false, 1, at(100), "flood"}, each);
    }
    waiting.push({false, 1, at(100), "calm"}, "calm 1");
    CHECK(waiting.ahead_of({false, 1, at(100), "other"}) == 2);
    CHECK(waiting.ahead_of({false, 1, at(100), "flood"}) == 4);
    CHECK(
        start_all(waiting) ==
        std::vector<std::string>{"flood 1", "calm 1", "flood 2", "flood 3"});
}

TEST_CASE(
    "A long burst of one priority leaves room to those below it", "[limits][waiting]") {
    line waiting(100);
    for (int i = 0; i < 40; ++i) {
        waiting.push({false, 0, at(100)}, "high");
    }
    for (int i = 0; i < 10; ++i) {
        waiting.push({false, 2, at(100)}, "low");
    }
    std::size_t low = 0;
    // One place becomes free at a time.
    for (int i = 0; i < 32; ++i) {
        bool taken = false;
        waiting.start_what_can(
            [&taken](std::string const&) { return !taken; },
            [&](bool, std::string const& item) {
                taken = true;
                low += item == "low" ? 1 : 0;
            });
    }
    CHECK(low == 4);
}
