#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/departure_memory.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

} // namespace

TEST_CASE(
    "A host that was just started can't rule out that a replica left before",
    "[leadership][departure]") {
    departure_memory memory(start);
    CHECK(memory.judge(start + seconds(1)) == departure::possible);
    SECTION("until a commit is acknowledged that was sent since") {
        memory.commit_acknowledged(start + seconds(1), start + seconds(1));
        CHECK(memory.judge(start + seconds(4)) == departure::none);
    }
    SECTION("and one that was sent before settles nothing") {
        memory.commit_acknowledged(start - milliseconds(1), start);
        CHECK(memory.judge(start + seconds(4)) == departure::possible);
    }
    SECTION("but not for long") {
        CHECK(memory.judge(start + minutes(2)) == departure::none);
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
    CHECK(memory.judge(left + minutes(2)) == departure::seen);
    memory.commit_acknowledged(left, left + milliseconds(5));
    CHECK(memory.judge(left + seconds(4)) == departure::none);
}

TEST_CASE(
    "A commit that a replica acknowledged which nobody knew yet settles no departure",
    "[leadership][departure]") {
    departure_memory memory(start);
    instant const left = start + seconds(5);
    memory.replica_left(left);
    memory.commit_acknowledged(left + seconds(1), left + seconds(1));
    CHECK(memory.judge(left + seconds(1)) == departure::seen);
    SECTION("and none if a replica leaves meanwhile") {
        memory.replica_left(left + seconds(2));
        CHECK(memory.judge(left + minutes(2)) == departure::seen);
    }
}
