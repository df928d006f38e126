#include <catch2/catch.hpp>
#include <support/replicated_group_model.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Three databases, of which d0 leads. It has a commit that only d2 received, so that
/// the primary acknowledged it; no caller has been told.
struct group_with_a_commit {
    group_with_a_commit() {
        this->group.write();
        this->group.receive("d2");
    }

    void promote(std::string const& id) {
        REQUIRE(
            this->group.call_promotion(id, ++this->token, "a host") ==
            promotion_result::accepted);
        this->play(seconds(1));
        REQUIRE(this->group.leads(id));
    }

    void play(duration how_long) {
        instant const end = this->group.now() + how_long;
        while (this->group.now() < end) {
            this->group.advance(this->group.now() + milliseconds(10));
        }
    }

    replicated_group group{3};
    std::uint64_t token = 0;
};

} // namespace

TEST_CASE(
    "A promotion is a literal loss without a commit that a registered replica has, "
    "though "
    "no caller was told of it",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.promote("d1");
    auto const& lost = it.group.literal_losses().lost;
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().promoted == "d1");
    CHECK(lost.front().caller == "a host");
    CHECK(lost.front().count == 1);
    CHECK(
        lost.front().holders ==
        std::vector<std::string>{"d0 (primary, alive)", "d2 (replica, alive)"});
    CHECK(it.group.losses().empty());
}

TEST_CASE(
    "A commit that a caller was told of is lost by both readings",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.group.pass_on(1);
    it.promote("d1");
    CHECK(it.group.losses().size() == 1);
    CHECK(it.group.literal_losses().lost.size() == 1);
}

TEST_CASE(
    "A commit that no replica received is no literal loss",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.group.write();
    it.promote("d2");
    CHECK(it.group.literal_losses().lost.empty());
    CHECK(it.group.literal_losses().absent == 0);
}

TEST_CASE(
    "A promotion of a database that has every acknowledged commit is no literal loss",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.group.receive("d1");
    it.promote("d1");
    CHECK(it.group.literal_losses().lost.empty());
}

TEST_CASE(
    "A commit is literally lost by one promotion only",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.promote("d1");
    it.promote("d2");
    it.promote("d1");
    CHECK(it.group.literal_losses().lost.size() == 1);
}

TEST_CASE(
    "A promotion is a literal loss without a commit that only a replica has which joined "
    "lately",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.group.receive("d1");
    REQUIRE(
        it.group.call_promotion("d1", ++it.token, "a host") ==
        promotion_result::accepted);
    it.group.add_empty_replica(milliseconds(0));
    it.group.write();
    REQUIRE(it.group.receive("d3"));
    it.group.crash("d0", std::nullopt);
    it.play(seconds(1));
    REQUIRE(it.group.leads("d1"));
    CHECK(it.group.literal_losses().lost.size() == 1);
}

TEST_CASE(
    "A primary that is down but registered counts for literal losses",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.group.crash("d0", seconds(5));
    it.group.crash("d2", std::nullopt);
    it.promote("d1");
    CHECK(it.group.literal_losses().lost.size() == 1);
}

TEST_CASE(
    "What only databases have that aren't registered, or dead for good, is no literal "
    "loss",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    bool const is_dead = GENERATE(true, false);
    it.group.crash("d0", is_dead ? std::nullopt : std::optional<duration>(seconds(5)));
    it.group.crash("d2", std::nullopt);
    if (!is_dead) {
        it.group.lapse("d0");
    }
    it.promote("d1");
    CHECK(it.group.literal_losses().lost.empty());
    CHECK(it.group.literal_losses().absent == 1);
}

TEST_CASE(
    "What only a database has that was absent when the promotion was called for is no "
    "literal loss",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    it.group.crash("d2", std::nullopt);
    it.group.crash("d0", milliseconds(300));
    it.group.lapse("d0");
    it.promote("d1");
    REQUIRE(it.group.at("d0").registered);
    CHECK(it.group.literal_losses().lost.empty());
    CHECK(it.group.literal_losses().returned == 1);
}

TEST_CASE(
    "What a database loses after it was called for is no literal loss",
    "[leadership-model][literal-losses]") {
    group_with_a_commit it;
    REQUIRE(
        it.group.call_promotion("d2", ++it.token, "a host") ==
        promotion_result::accepted);
    it.group.start_empty("d2", milliseconds(100));
    it.play(seconds(1));
    REQUIRE(it.group.leads("d2"));
    CHECK(it.group.literal_losses().lost.empty());
    CHECK(it.group.literal_losses().emptied == 1);
}
