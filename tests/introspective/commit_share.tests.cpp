#include <catch2/catch.hpp>
#include <persimmonpoint/core/limits/commit_share.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;

namespace {

constexpr instant start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("Commits that flow may take every slot", "[limits][commits]") {
    commit_share share;
    instant now = start;
    for (int i = 0; i < 5; ++i) {
        CHECK(share.may_start(5, now));
        share.started(now);
        now += milliseconds(40);
        share.ended(now);
        share.started(now);
    }
    CHECK(share.may_start(5, now));
}

TEST_CASE("Commits that stall leave half of the slots", "[limits][commits]") {
    commit_share share;
    share.started(start);
    share.started(start + milliseconds(100));
    CHECK(share.may_start(5, start + milliseconds(150)));
    CHECK_FALSE(share.may_start(5, start + milliseconds(151)));

    SECTION("an answer opens the slots again") {
        share.ended(start + milliseconds(300));
        CHECK(share.may_start(5, start + milliseconds(310)));
    }
    SECTION("what was given up counts no more") {
        share.ended(start + milliseconds(1000));
        share.ended(start + milliseconds(1000));
        CHECK(share.may_start(5, start + milliseconds(2000)));
    }
}

TEST_CASE("One commit may always be tried", "[limits][commits]") {
    commit_share share;
    CHECK(share.may_start(1, start));
    share.started(start);
    CHECK_FALSE(share.may_start(1, start + milliseconds(500)));
    share.ended(start + milliseconds(501));
    CHECK(share.may_start(1, start + milliseconds(900)));
}

TEST_CASE("A pause without commits is no stall", "[limits][commits]") {
    commit_share share;
    share.started(start);
    share.ended(start + milliseconds(20));
    instant const later = start + milliseconds(5000);
    CHECK(share.may_start(2, later));
    share.started(later);
    CHECK(share.may_start(2, later + milliseconds(100)));
}
