#include <algorithm>
#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/leadership_change.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

promotion_evidence const*
find(std::vector<promotion_evidence> const& all, std::string_view id) {
    auto const found = std::find_if(
        all.begin(), all.end(), [id](auto const& each) { return each.id == id; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace

TEST_CASE(
    "The evidence of a promotion names each database, its position and when it was asked "
    "for",
    "[leadership][evidence]") {
    leadership_change change(
        "p", {{"r0", false}, {"r1", true}}, 3, change_reason::primary_lost, start);
    change.reported("r0", database_state{false, 3, {3, 70}, 0}, start + milliseconds(20));
    auto const all = change.evidence();
    promotion_evidence const* const known = find(all, "r0");
    REQUIRE(known != nullptr);
    CHECK(known->report->received == log_position{3, 70});
    CHECK(known->asked_at == start + milliseconds(20));
    CHECK(known->left_out.empty());
    promotion_evidence const* const silent = find(all, "r1");
    REQUIRE(silent != nullptr);
    CHECK(silent->leaving);
    CHECK_FALSE(silent->report);
}

TEST_CASE(
    "The evidence of a promotion tells which database was left out, and why",
    "[leadership][evidence]") {
    leadership_change change(
        "p", {{"r0", false}, {"r1", false}}, 3, change_reason::commits_stalled, start);
    change.reported("r1", database_state{false, 3, {3, 90}, 0}, start);
    change.set_databases(std::vector<group_replica>{{"r0", false}});
    auto const all = change.evidence();
    promotion_evidence const* const dropped = find(all, "r1");
    REQUIRE(dropped != nullptr);
    CHECK(dropped->left_out == "no longer registered");
    CHECK(dropped->report->received == log_position{3, 90});
    CHECK(find(all, "p")->left_out == "old primary, not registered");
}
