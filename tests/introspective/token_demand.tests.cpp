#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/token_demand.hpp>

using namespace persimmonpoint;

TEST_CASE(
    "A change after an unanswered promotion takes no token that leaves it valid",
    "[leadership][token]") {
    token_demand demand;
    demand.change_began();
    CHECK(demand.next() == token_freshness::prefer_new);
    demand.granted(4);
    demand.promotion_answered(4, promotion_result::unanswered);
    // The same change rules out any other candidate itself.
    CHECK(demand.next() == token_freshness::prefer_new);
    demand.change_began();
    CHECK(demand.next() == token_freshness::require_new);
    CHECK(demand.next() == token_freshness::require_new);
    demand.granted(5);
    CHECK(demand.next() == token_freshness::prefer_new);
    demand.change_began();
    CHECK(demand.next() == token_freshness::prefer_new);
}

TEST_CASE(
    "A token for the next change is prepared anew after an unanswered promotion",
    "[leadership][token]") {
    token_demand demand;
    CHECK(demand.prepared() == token_freshness::any);
    demand.granted(4);
    demand.promotion_answered(4, promotion_result::unanswered);
    CHECK(demand.prepared() == token_freshness::require_new);
    demand.granted(5);
    CHECK(demand.prepared() == token_freshness::any);
    demand.change_began();
    CHECK(demand.next() == token_freshness::prefer_new);
}

TEST_CASE(
    "A late answer to an older call neither rejects the present token nor clears it",
    "[leadership][token]") {
    token_demand demand;
    demand.granted(4);
    demand.granted(5);
    demand.promotion_answered(4, promotion_result::conflict);
    CHECK(demand.next() == token_freshness::prefer_new);
    demand.promotion_answered(5, promotion_result::conflict);
    demand.promotion_answered(4, promotion_result::accepted);
    CHECK(demand.next() == token_freshness::require_new);
}

TEST_CASE("A rejected token is not taken again at once", "[leadership][token]") {
    token_demand demand;
    demand.change_began();
    demand.granted(4);
    demand.promotion_answered(4, promotion_result::conflict);
    CHECK(demand.next() == token_freshness::require_new);
    CHECK(demand.next() == token_freshness::prefer_new);
}
