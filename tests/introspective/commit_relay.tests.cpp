#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <persimmonpoint/engine/boot_clock.hpp>
#include <persimmonpoint/engine/commit_relay.hpp>
#include <vector>

using namespace persimmonpoint;
using namespace persimmonpoint::engine;
using trompeloeil::_;

namespace {

class state_source_mock final : public state_source {
public:
    MAKE_MOCK4(
        ask_state,
        void(std::string const&, std::string const&, unsigned, state_handler),
        override);
};

database_state replica_at(std::uint64_t offset) {
    return {false, 3, {3, offset}, 0};
}

upstream_response committed_at(std::uint64_t offset) {
    upstream_response answer;
    answer.outcome = upstream_outcome::answered;
    answer.position = log_position{3, offset};
    return answer;
}

/// A relay that knows a primary p and a replica r.
struct relay_stage {
    relay_stage() {
        std::map<std::string, registered_database, std::less<>> listed;
        listed["p"] = {"p", "g", {}, {}, 1, false, true, 1};
        listed["r"] = {"r", "g", {}, {}, 1, false, false, 1};
        this->relay.set_databases(listed);
    }

    void commit(std::uint64_t offset, duration patience = std::chrono::seconds(60)) {
        this->relay.pass_on(
            "g", "p", committed_at(offset), this->time.now() + patience,
            [this](upstream_response answer) { this->answers.push_back(answer); });
    }

    boost::asio::io_context loop;
    boot_clock time;
    state_source_mock databases;
    commit_relay relay{this->loop, this->time, this->databases};
    std::vector<upstream_response> answers;
};

} // namespace

TEST_CASE(
    "The answer to a commit waits until a replica shows the commit", "[commit-relay]") {
    relay_stage stage;
    std::vector<state_source::state_handler> asked;
    ALLOW_CALL(stage.databases, ask_state("g", "r", _, _))
        .LR_SIDE_EFFECT(asked.push_back(_4));
    stage.commit(41);
    REQUIRE(asked.size() == 1);
    CHECK(stage.answers.empty());
    CHECK(stage.relay.waiting() == 1);
    asked.front()(replica_at(41));
    REQUIRE(stage.answers.size() == 1);
    CHECK(stage.answers.front().succeeded());
    CHECK(stage.answers.front().confirmed_by == "r");
    CHECK(stage.relay.waiting() == 0);
}

TEST_CASE(
    "The answer to a commit that no replica shows in time says that it is in doubt",
    "[commit-relay]") {
    relay_stage stage;
    ALLOW_CALL(stage.databases, ask_state("g", "r", _, _))
        .SIDE_EFFECT(_4(replica_at(40)));
    stage.commit(41, std::chrono::milliseconds(20));
    stage.loop.run();
    REQUIRE(stage.answers.size() == 1);
    CHECK(stage.answers.front().outcome == upstream_outcome::unknown);
    CHECK(stage.answers.front().refusal == upstream_refusal::unconfirmed);
    CHECK_FALSE(stage.answers.front().acknowledged);
}

TEST_CASE(
    "A replica that doesn't answer is asked through another host next",
    "[commit-relay]") {
    relay_stage stage;
    std::vector<unsigned> misses;
    ALLOW_CALL(stage.databases, ask_state("g", "r", _, _))
        .LR_SIDE_EFFECT(misses.push_back(_3))
        .LR_SIDE_EFFECT(
            _4(misses.size() < 3 ? std::nullopt
                                 : std::optional<database_state>(replica_at(41))));
    stage.commit(41);
    stage.loop.run();
    CHECK(misses == std::vector<unsigned>{0, 1, 2});
    REQUIRE(stage.answers.size() == 1);
    CHECK(stage.answers.front().succeeded());
}

TEST_CASE("Answers that wait are in doubt when the host stops", "[commit-relay]") {
    relay_stage stage;
    ALLOW_CALL(stage.databases, ask_state("g", "r", _, _));
    stage.commit(41);
    stage.relay.close();
    REQUIRE(stage.answers.size() == 1);
    CHECK(stage.answers.front().outcome == upstream_outcome::unknown);
}
