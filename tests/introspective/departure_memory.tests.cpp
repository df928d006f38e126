#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/departure_memory.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

/// By a change that begins now.
departure judged(departure_memory const& memory, instant now) {
    return memory.judge(now, now);
}

} // namespace

TEST_CASE(
    "A host that was just started can't rule out that a replica left before",
    "[leadership][departure]") {
    departure_memory memory(start);
    CHECK(judged(memory, start + seconds(1)) == departure::possible);
    SECTION("until a commit is acknowledged that was sent since") {
        memory.commit_acknowledged(start + seconds(1), start + seconds(1));
        CHECK(judged(memory, start + seconds(1)) == departure::none);
    }
    SECTION("and one that was sent before settles nothing") {
        memory.commit_acknowledged(start - milliseconds(1), start);
        CHECK(judged(memory, start + seconds(8)) == departure::possible);
    }
    SECTION("nor can a change that began then, though it lasts") {
        CHECK(memory.judge(start + minutes(2), start) == departure::possible);
    }
    SECTION("but not for long") {
        CHECK(judged(memory, start + minutes(2)) == departure::none);
    }
}

TEST_CASE(
    "A departure is remembered until a later commit is acknowledged",
    "[leadership][departure]") {
    departure_memory memory(start);
    memory.commit_acknowledged(start, start);
    instant const left = start + seconds(5);
    memory.replica_left(left);
    memory.commit_acknowledged(left - milliseconds(1), left);
    CHECK(judged(memory, left + minutes(2)) == departure::seen);
    memory.commit_acknowledged(left, left + milliseconds(5));
    CHECK(judged(memory, left + seconds(8)) == departure::none);
}

TEST_CASE(
    "A commit that a replica acknowledged which nobody knew yet settles no departure",
    "[leadership][departure]") {
    departure_memory memory(start);
    instant const left = start + seconds(5);
    memory.replica_left(left);
    memory.commit_acknowledged(left + seconds(1), left + seconds(1));
    CHECK(judged(memory, left + seconds(1)) == departure::seen);
    SECTION("and none if a replica leaves meanwhile") {
        memory.replica_left(left + seconds(2));
        CHECK(judged(memory, left + minutes(2)) == departure::seen);
    }
}

TEST_CASE(
    "No departure is ruled out by time while the store is out of reach",
    "[leadership][departure]") {
    departure_memory memory(start);
    instant const left = start + seconds(5);
    memory.replica_left(left);
    memory.commit_acknowledged(left, left);
    instant const now = left + seconds(60);
    CHECK(memory.judge(now, now, true) == departure::possible);
    CHECK(memory.judge(left + seconds(3), left, true) == departure::seen);
    CHECK(memory.judge(now, now, false) == departure::none);
}
