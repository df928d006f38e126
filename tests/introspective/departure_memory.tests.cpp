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
        CHECK(memory.commit_acknowledged(start + seconds(1)));
        CHECK(memory.judge(start + seconds(2)) == departure::none);
    }
    SECTION("and one that was sent before settles nothing") {
        CHECK_FALSE(memory.commit_acknowledged(start - milliseconds(1)));
        CHECK(memory.judge(start + seconds(2)) == departure::possible);
    }
    SECTION("but not for long") {
        CHECK(memory.judge(start + minutes(2)) == departure::none);
    }
}

TEST_CASE(
    "A departure is remembered until a later commit is acknowledged",
    "[leadership][departure]") {
    departure_memory memory(start);
    memory.commit_acknowledged(start);
    instant const left = start + seconds(5);
    memory.replica_left(left);
    CHECK_FALSE(memory.commit_acknowledged(left - milliseconds(1)));
    CHECK(memory.judge(left + minutes(2)) == departure::seen);
    CHECK(memory.commit_acknowledged(left));
    CHECK(memory.judge(left + milliseconds(1)) == departure::none);
    CHECK_FALSE(memory.commit_acknowledged(left + seconds(1)));
}
