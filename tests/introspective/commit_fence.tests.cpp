#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/commit_fence.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};
constexpr duration tick = milliseconds(30);

fence_notice notice_of(std::uint64_t number, std::vector<fenced_primary> fenced) {
    return {number, std::move(fenced)};
}

/// A host that has run for a while.
struct fence_stage {
    fence_stage() { this->run(seconds(1)); }

    void run(duration time) {
        instant const end = this->now + time;
        while (this->now < end) {
            this->now += tick;
            this->fence.ticked(this->now);
        }
    }
    void tell(std::uint64_t number, std::vector<fenced_primary> fenced) {
        this->fence.take(
            "h", notice_of(number, std::move(fenced)), notice_source::peer, this->now);
    }
    fence_verdict judge(bool all_heard, std::string const& primary = "p") {
        return this->fence.judge("g", primary, all_heard, this->now);
    }

    instant now = start;
    commit_fence fence{start};
};

} // namespace

TEST_CASE("No commit goes to a primary that another host replaces", "[fence]") {
    fence_stage stage;
    CHECK(stage.judge(true) == fence_verdict::allow);
    stage.tell(1, {{"g", "p"}});
    CHECK(stage.judge(true) == fence_verdict::refuse);
    CHECK(stage.judge(true, "promoted") == fence_verdict::allow);
    CHECK(stage.fence.judge("g2", "p", true, stage.now) == fence_verdict::allow);

    SECTION("until the host lifts the fence") {
        stage.tell(2, {});
        CHECK(stage.judge(true) == fence_verdict::allow);
    }
    SECTION("until the host hasn't renewed it for its life") {
        stage.run(fence_lifetime - tick);
        CHECK(stage.judge(true) == fence_verdict::refuse);
        stage.run(2 * tick);
        CHECK(stage.judge(true) == fence_verdict::allow);
    }
    SECTION("for longer if it is renewed") {
        stage.run(seconds(2));
        stage.tell(2, {{"g", "p"}});
        stage.run(seconds(2));
        CHECK(stage.judge(true) == fence_verdict::refuse);
    }
    SECTION("and a notice that is told twice isn't renewed by that") {
        stage.run(seconds(2));
        stage.tell(1, {{"g", "p"}});
        stage.run(seconds(2));
        CHECK(stage.judge(true) == fence_verdict::allow);
    }
    SECTION("and another host's notice doesn't lift it") {
        stage.fence.take("h2", notice_of(9, {}), notice_source::peer, stage.now);
        CHECK(stage.judge(true) == fence_verdict::refuse);
    }
}

TEST_CASE("A fence that was lifted isn't put up by an older notice", "[fence]") {
    fence_stage stage;
    stage.tell(2, {});
    stage.fence.take("h", notice_of(1, {{"g", "p"}}), notice_source::store, stage.now);
    CHECK(stage.judge(true) == fence_verdict::allow);
}

TEST_CASE(
    "A change without a known primary keeps commits from all databases of its group",
    "[fence]") {
    fence_stage stage;
    stage.tell(1, {{"g", ""}});
    CHECK(stage.judge(true, "any") == fence_verdict::refuse);
    CHECK(stage.fence.judge("g2", "any", true, stage.now) == fence_verdict::allow);
}

TEST_CASE(
    "A host that has lost sight of another sends commits by what it has just read in the "
    "store",
    "[fence]") {
    fence_stage stage;
    CHECK(stage.judge(false) == fence_verdict::needs_reading);
    CHECK(stage.fence.wants_reading(stage.now));
    stage.fence.reading_succeeded(stage.now);
    CHECK(stage.judge(false) == fence_verdict::allow);

    SECTION("for as long as the reading is young, from its beginning") {
        stage.now += store_evidence_age;
        stage.fence.ticked(stage.now);
        stage.run(tick);
        CHECK(stage.judge(false) == fence_verdict::needs_reading);
    }
    SECTION("unless it brought a notice") {
        stage.fence.take(
            "h", notice_of(1, {{"g", "p"}}), notice_source::store, stage.now);
        CHECK(stage.judge(false) == fence_verdict::refuse);
    }
    SECTION("and the next reading begins before a commit has to wait for it") {
        CHECK_FALSE(stage.fence.wants_reading(stage.now));
        stage.run(store_evidence_age / 2);
        CHECK(stage.fence.wants_reading(stage.now));
        CHECK(stage.judge(false) == fence_verdict::allow);
    }
    SECTION("and nothing is read once no commit depends on it") {
        stage.run(seconds(2));
        CHECK_FALSE(stage.fence.wants_reading(stage.now));
    }
}

TEST_CASE(
    "A host that neither hears the others nor can read the store sends commits unless "
    "it knows of a fence",
    "[fence]") {
    fence_stage stage;
    stage.fence.reading_failed(stage.now);
    CHECK(stage.judge(false) == fence_verdict::allow);
    stage.tell(1, {{"g", "p"}});
    CHECK(stage.judge(false) == fence_verdict::refuse);
    stage.tell(2, {});
    stage.run(seconds(3));
    CHECK(stage.judge(false) == fence_verdict::needs_reading);
}

TEST_CASE(
    "A host that was suspended goes by nothing that it heard or read before", "[fence]") {
    fence_stage stage;
    stage.fence.reading_succeeded(stage.now);
    REQUIRE(stage.judge(false) == fence_verdict::allow);
    REQUIRE(stage.fence.hearing_age(stage.now) == peer_evidence_age);
    stage.now += milliseconds(200);
    CHECK(stage.fence.hearing_age(stage.now) <= duration(0));
    CHECK(stage.judge(false) == fence_verdict::needs_reading);
    stage.run(milliseconds(300));
    CHECK(stage.fence.hearing_age(stage.now) > milliseconds(150));
    CHECK(stage.fence.hearing_age(stage.now) < milliseconds(300));
}

TEST_CASE("Fences are told of as they begin and end, with what they refused", "[fence]") {
    fence_stage stage;
    stage.tell(1, {{"g", "p"}});
    auto const begun = stage.fence.changes(stage.now);
    REQUIRE(begun.size() == 1);
    CHECK(begun[0].begins);
    CHECK(begun[0].by == "h");
    CHECK(begun[0].about == fenced_primary{"g", "p"});
    CHECK(stage.fence.changes(stage.now).empty());
    (void)stage.judge(true);
    (void)stage.judge(true);
    stage.run(fence_lifetime + tick);
    auto const ended = stage.fence.changes(stage.now);
    REQUIRE(ended.size() == 1);
    CHECK_FALSE(ended[0].begins);
    CHECK(ended[0].refused == 2);
}

TEST_CASE(
    "A notice that is older than the last one known isn't complied with", "[fence]") {
    fence_stage stage;
    CHECK(stage.fence.take("h", notice_of(2, {}), notice_source::peer, stage.now));
    CHECK(stage.fence.take("h", notice_of(2, {}), notice_source::peer, stage.now));
    CHECK_FALSE(stage.fence.take(
        "h", notice_of(1, {{"g", "p"}}), notice_source::peer, stage.now));
    CHECK(stage.judge(true) == fence_verdict::allow);
}
