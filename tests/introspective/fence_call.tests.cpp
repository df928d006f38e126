#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/commit_fence.hpp>
#include <persimmonpoint/core/recovery/fence_call.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};
constexpr std::uint64_t era = 3;

/// A host whose partners are a and b, about to replace the primary p of the group g.
struct call_stage {
    call_stage() { this->call.begin("g", "p", this->now); }

    /// Tells the notice if it is due, and has these hosts answer it.
    void tell(std::vector<std::string> const& answering) {
        if (auto const notice = this->call.due(this->now)) {
            this->last = *notice;
        }
        for (std::string const& each : answering) {
            this->call.answered(each, this->last.number);
        }
    }
    void run(duration time, std::vector<std::string> const& answering) {
        instant const end = this->now + time;
        while (this->now < end) {
            this->now += milliseconds(30);
            this->tell(answering);
            this->write();
        }
    }
    void write() {
        if (auto const notice = this->call.write_due(this->partners, this->now)) {
            this->row = *notice;
            ++this->writes;
            this->call.written(
                this->store_fails ? std::nullopt : std::optional(this->store_era),
                this->now);
        }
    }
    fence_standing judge() { return this->call.judge("g", this->partners, this->now); }

    instant now = start;
    fence_call call{100};
    std::vector<fence_partner> partners = {{"a", true}, {"b", true}};
    fence_notice last;
    std::optional<fence_notice> row;
    std::size_t writes = 0;
    bool store_fails = false;
    std::uint64_t store_era = era;
};

} // namespace

TEST_CASE("A fence stands once each other host has acknowledged it", "[fence]") {
    call_stage stage;
    stage.tell({"a"});
    CHECK(stage.last.fenced == std::vector<fenced_primary>{{"g", "p"}});
    CHECK(stage.judge() == fence_standing::none);
    stage.tell({"b"});
    CHECK(stage.judge() == fence_standing::acknowledged);
    CHECK(stage.call.stands_since("g") == stage.now);
    CHECK(stage.writes == 0);
}

TEST_CASE("An acknowledgement of an earlier notice doesn't count", "[fence]") {
    call_stage stage;
    stage.tell({"a", "b"});
    REQUIRE(stage.judge() == fence_standing::acknowledged);
    SECTION("for another group") {
        stage.call.begin("g2", "q", stage.now);
        CHECK(stage.call.judge("g2", stage.partners, stage.now) == fence_standing::none);
        stage.tell({"a", "b"});
        CHECK(
            stage.call.judge("g2", stage.partners, stage.now) ==
            fence_standing::acknowledged);
    }
    SECTION("for another primary of the group") {
        stage.call.begin("g", "p2", stage.now);
        CHECK(stage.judge() == fence_standing::none);
    }
    SECTION("once it is old: the host may have let its fence lapse") {
        stage.now += seconds(2);
        CHECK(stage.judge() == fence_standing::none);
    }
    SECTION("of a notice that nobody was told") {
        stage.call.begin("g", "p2", stage.now);
        stage.call.answered("a", stage.last.number + 1);
        stage.call.answered("b", stage.last.number + 1);
        CHECK(stage.judge() == fence_standing::none);
    }
}

TEST_CASE("A fence is renewed for as long as its change lasts", "[fence]") {
    call_stage stage;
    stage.tell({});
    CHECK_FALSE(stage.call.due(stage.now));
    stage.run(seconds(5), {"a", "b"});
    CHECK(stage.judge() == fence_standing::acknowledged);
    stage.call.end("g");
    auto const lifted = stage.call.due(stage.now);
    REQUIRE(lifted);
    CHECK(lifted->fenced.empty());
    CHECK(lifted->number > stage.last.number);
    stage.now += seconds(5);
    CHECK_FALSE(stage.call.due(stage.now));
}

TEST_CASE(
    "A fence stands for a host that doesn't answer once its notice has been in the store "
    "for long enough",
    "[fence]") {
    call_stage stage;
    SECTION("a host that isn't linked: the notice is written at once") {
        stage.partners[1].linked = false;
        stage.tell({"a"});
        stage.write();
        CHECK(stage.writes == 1);
    }
    SECTION("a host that is linked but silent: after a while") {
        stage.tell({"a"});
        stage.write();
        CHECK(stage.writes == 0);
        stage.run(milliseconds(130), {"a"});
        CHECK(stage.writes == 1);
    }
    REQUIRE(stage.row);
    CHECK(stage.row->fenced == std::vector<fenced_primary>{{"g", "p"}});
    CHECK(stage.judge() == fence_standing::none);
    stage.run(fence_settling - milliseconds(100), {"a"});
    CHECK(stage.judge() == fence_standing::none);
    stage.run(milliseconds(200), {"a"});
    CHECK(stage.judge() == fence_standing::announced);
    std::size_t const writes = stage.writes;
    std::uint64_t const number = stage.row->number;
    stage.run(seconds(3), {"a"});
    CHECK(stage.judge() == fence_standing::announced);
    CHECK(stage.writes >= writes + 2);
    CHECK(stage.writes <= writes + 4);
    CHECK(stage.row->number > number);
    stage.call.end("g");
    stage.run(milliseconds(60), {"a"});
    CHECK(stage.row->fenced.empty());
    std::size_t const lifted = stage.writes;
    stage.run(seconds(3), {"a"});
    CHECK(stage.writes == lifted);
}

TEST_CASE(
    "A notice has settled when no evidence from before it lets a commit pass",
    "[fence]") {
    CHECK(fence_settling > peer_evidence_age + milliseconds(200));
    CHECK(fence_settling > store_evidence_age + milliseconds(200));
}

TEST_CASE("A notice that is not in the store doesn't count", "[fence]") {
    call_stage stage;
    stage.partners[1].linked = false;
    SECTION("because it can't be written") {
        stage.store_fails = true;
        stage.run(seconds(2), {"a"});
        CHECK(stage.writes > 2);
        CHECK(stage.judge() == fence_standing::none);
    }
    SECTION("because it wasn't renewed") {
        stage.run(seconds(2), {"a"});
        REQUIRE(stage.judge() == fence_standing::announced);
        stage.store_fails = true;
        stage.run(seconds(4), {"a"});
        CHECK(stage.judge() == fence_standing::none);
    }
    SECTION("because the store came back from an older copy") {
        stage.run(seconds(2), {"a"});
        REQUIRE(stage.judge() == fence_standing::announced);
        stage.store_era = era + 1;
        std::size_t const writes = stage.writes;
        while (stage.writes == writes) {
            stage.run(milliseconds(30), {"a"});
        }
        CHECK(stage.judge() == fence_standing::none);
        stage.run(seconds(1), {"a"});
        CHECK(stage.judge() == fence_standing::announced);
    }
}

TEST_CASE(
    "A fence that may stand in the store is lifted there, though the answer was lost",
    "[fence]") {
    call_stage stage;
    stage.partners[1].linked = false;
    stage.store_fails = true;
    stage.run(milliseconds(100), {"a"});
    stage.call.end("g");
    stage.run(seconds(1), {"a"});
    CHECK(stage.row->fenced.empty());
    stage.store_fails = false;
    stage.run(seconds(1), {"a"});
    std::size_t const writes = stage.writes;
    stage.run(seconds(2), {"a"});
    CHECK(stage.writes == writes);
}

TEST_CASE("A host without others has nobody to keep commits from a primary", "[fence]") {
    call_stage stage;
    stage.partners.clear();
    stage.tell({});
    CHECK(stage.judge() == fence_standing::acknowledged);
}

TEST_CASE("A host's own change keeps its own commits from the old primary", "[fence]") {
    fence_call call(1);
    call.begin("g", "p", start);
    CHECK(call.names("g", "p"));
    CHECK_FALSE(call.names("g", "promoted"));
    CHECK_FALSE(call.names("g2", "p"));
    call.end("g");
    CHECK_FALSE(call.names("g", "p"));
}
