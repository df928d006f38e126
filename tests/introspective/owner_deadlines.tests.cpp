#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/engine/database_owner.hpp>
#include <string>
#include <utility>
#include <vector>

using namespace persimmonpoint;
using namespace persimmonpoint::engine;
using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

namespace {

constexpr order_source link_to_host = 1;
/// Past every deadline of a command, within that of a transaction's pause.
constexpr duration past_commands = seconds(2);
/// Real time; a look ends as soon as no deadline is left.
constexpr duration longest_look = seconds(20);

class set_clock final : public clock {
public:
    instant now() const override { return this->time; }
    instant time{seconds(1000)};
};

class mock_upstream : public upstream_connection {
public:
    MAKE_MOCK2(open, void(upstream_target const&, open_handler), override);
    MAKE_MOCK2(execute, void(upstream_command const&, command_handler), override);
    MAKE_MOCK0(close, void(), override);
};

class mock_observer : public owner_observer {
public:
    MAKE_MOCK1(on_answer, void(std::string const&), override);
    MAKE_MOCK1(on_refused, void(std::string const&), override);
    MAKE_MOCK1(on_silent, void(std::string const&), override);
    MAKE_MOCK2(on_commit_sent, void(std::string const&, instant), override);
    MAKE_MOCK3(on_commit_ended, void(std::string const&, instant, commit_end), override);
    MAKE_MOCK3(
        on_commit_acknowledged,
        void(std::string const&, instant, std::optional<log_position>),
        override);
};

/// Why the owner rolls back without being asked to.
enum class rollback_reason {
    leader_read,     ///< Behind a read at a primary.
    leader_check,    ///< Behind the question whether the database leads.
    host_gone,       ///< Of whoever opened the transaction.
    database_leaves, ///< The service, with a transaction open.
    failed_opening   ///< The transaction's first statement failed.
};

/// A connection of the owner, and what its database has yet to answer.
struct connection_at_database {
    std::shared_ptr<mock_upstream> mock;
    upstream_connection::open_handler opened;
    std::deque<std::pair<upstream_action, upstream_connection::command_handler>> asked;
    bool closed = false;
};

/// An owner whose database answers only what a test lets it answer.
class mocked_stage final : public upstream_connector {
public:
    mocked_stage() {
        registered_database database;
        database.id = "db";
        database.group = "group";
        this->owner = std::make_unique<database_owner>(
            this->loop, *this, this->time, this->observer, this->transactions, database);
        this->owner->set_limits({8, 8, 2, {}, 8});
    }

    std::shared_ptr<upstream_connection> make() override {
        std::size_t const at = this->connections.size();
        auto mock = std::make_shared<mock_upstream>();
        this->allow(NAMED_ALLOW_CALL(*mock, open(_, _))
                        .SIDE_EFFECT(this->connections[at].opened = _2));
        this->allow(
            NAMED_ALLOW_CALL(*mock, execute(_, _))
                .SIDE_EFFECT(this->connections[at].asked.emplace_back(_1.action, _2)));
        this->allow(NAMED_ALLOW_CALL(*mock, close())
                        .SIDE_EFFECT(this->connections[at].closed = true));
        this->connections.push_back({mock, nullptr, {}});
        return mock;
    }

    void submit(
        upstream_request_kind kind,
        std::string const& team,
        std::uint32_t budget_ms = 200) {
        upstream_request request;
        request.kind = kind;
        request.group = "group";
        request.database = "db";
        request.team = team;
        request.text = "READ a";
        request.budget_ms = budget_ms;
        this->owner->submit(
            std::move(request), link_to_host,
            [this](upstream_response answer) { this->answers.push_back(answer); });
    }

    void open(std::size_t at) {
        this->connections[at].opened(open_result::opened, std::nullopt);
        this->settle();
    }

    /// The oldest command without an answer gets one.
    void answer(std::size_t at, transaction_state state) {
        auto const next = std::move(this->connections[at].asked.front());
        this->connections[at].asked.pop_front();
        upstream_answer good;
        good.state = state;
        next.second(std::move(good));
        this->settle();
    }

    /// A read at the primary is answered; the system's ROLLBACK behind it is under way.
    void read_until_rollback(std::size_t at) {
        this->answer(at, transaction_state::open);
        this->answer(at, transaction_state::open);
        REQUIRE(this->connections[at].asked.front().first == upstream_action::rollback);
    }

    /// On the first connection; the ROLLBACK is under way.
    void let_roll_back(rollback_reason reason) {
        bool const is_check = reason == rollback_reason::leader_check;
        bool const is_read = reason == rollback_reason::leader_read;
        this->submit(
            is_check  ? upstream_request_kind::leader_check
            : is_read ? upstream_request_kind::leader_read
                      : upstream_request_kind::open_transaction,
            "team");
        this->open(0);
        this->answer(0, transaction_state::open);
        if (!is_check) {
            bool const fails = reason == rollback_reason::failed_opening;
            this->answer(0, fails ? transaction_state::failed : transaction_state::open);
        }
        if (reason == rollback_reason::host_gone) {
            this->owner->forget(link_to_host);
        } else if (reason == rollback_reason::database_leaves) {
            this->owner->set_service(true, false);
            this->owner->set_service(true, true);
        }
    }

    void settle() {
        this->loop.restart();
        this->loop.poll();
    }

    /// The time passes, and the owner looks at its deadlines until nothing has one.
    void pass(duration time) {
        this->time.time += time;
        this->loop.restart();
        this->loop.run_for(longest_look);
    }

    /// The owner looks at its deadlines until the condition holds.
    void look_until(std::function<bool()> const& holds) {
        auto const end = std::chrono::steady_clock::now() + longest_look;
        this->loop.restart();
        while (!holds() && std::chrono::steady_clock::now() < end) {
            this->loop.run_one_for(longest_look);
        }
    }

    connection_counts counts() const { return this->owner->connections(); }

    boost::asio::io_context loop;
    set_clock time;
    mock_observer observer;
    std::vector<std::unique_ptr<trompeloeil::expectation>> allowed;
    transaction_numbering transactions{instant(seconds(1)), 1};
    std::vector<connection_at_database> connections;
    std::vector<upstream_response> answers;
    std::unique_ptr<database_owner> owner;

private:
    void allow(std::unique_ptr<trompeloeil::expectation> call) {
        this->allowed.push_back(std::move(call));
    }
};

} // namespace

// Guards against logs and metrics that can't tell a connection that works for a caller
// from one that nobody waits for.
TEST_CASE(
    "A connection counts as ending for as long as the system's ROLLBACK has no answer",
    "[owner][deadlines][metrics]") {
    mocked_stage stage;
    ALLOW_CALL(stage.observer, on_answer(_));
    stage.submit(upstream_request_kind::leader_read, "team");
    CHECK(stage.counts().opening == 1);
    stage.open(0);
    CHECK(stage.counts().busy == 1);
    stage.read_until_rollback(0);
    CHECK(stage.answers.size() == 1);
    CHECK(stage.counts().ending == 1);
    CHECK(stage.counts().busy == 0);
    stage.answer(0, transaction_state::idle);
    CHECK(stage.counts().idle == 1);
    CHECK(stage.counts().all() == 1);
}

// Guards against the loss of all connections to a database, for as long as the process
// lives: each ROLLBACK of the system's own whose answer was lost took one.
TEST_CASE(
    "A connection whose ROLLBACK has no answer is given up by a deadline",
    "[owner][deadlines]") {
    mocked_stage stage;
    ALLOW_CALL(stage.observer, on_answer(_));
    // A lost answer that nobody waits for says nothing of the database.
    FORBID_CALL(stage.observer, on_silent(_));
    FORBID_CALL(stage.observer, on_refused(_));

    auto const reason = GENERATE(
        rollback_reason::leader_read, rollback_reason::leader_check,
        rollback_reason::host_gone, rollback_reason::database_leaves,
        rollback_reason::failed_opening);
    stage.let_roll_back(reason);
    REQUIRE(stage.answers.size() == 1);
    REQUIRE(stage.counts().ending == 1);

    stage.pass(past_commands);

    CHECK(stage.counts().all() == 0);
    CHECK(stage.connections[0].closed);
    SECTION("an answer that comes later is passed over") {
        stage.answer(0, transaction_state::idle);
        CHECK(stage.counts().all() == 0);
    }
    SECTION("the team is served on") {
        stage.submit(upstream_request_kind::leader_read, "team");
        stage.open(1);
        stage.read_until_rollback(1);
        stage.answer(1, transaction_state::idle);
        CHECK(stage.answers.size() == 2);
        CHECK(stage.counts().idle == 1);
    }
}

TEST_CASE("Only the connections that have no answer are given up", "[owner][deadlines]") {
    mocked_stage stage;
    ALLOW_CALL(stage.observer, on_answer(_));
    FORBID_CALL(stage.observer, on_silent(_));
    stage.submit(upstream_request_kind::leader_read, "quick");
    stage.open(0);
    stage.read_until_rollback(0);
    stage.submit(upstream_request_kind::leader_read, "lost");
    stage.open(1);
    stage.read_until_rollback(1);
    stage.answer(0, transaction_state::idle);

    stage.pass(past_commands);

    CHECK(stage.counts().idle == 1);
    CHECK(stage.counts().all() == 1);
    CHECK_FALSE(stage.connections[0].closed);
    CHECK(stage.connections[1].closed);
    // The one that is left serves its team as before.
    stage.submit(upstream_request_kind::leader_read, "quick");
    CHECK(stage.counts().busy == 1);
    CHECK(stage.connections.size() == 2);
}

TEST_CASE(
    "Any state of a connection but the idle one has a deadline", "[owner][deadlines]") {
    instant const now{seconds(1000)};
    pooled_connection connection;
    auto const state = GENERATE(
        pooled_connection_state::busy, pooled_connection_state::ending,
        pooled_connection_state::in_transaction);
    connection.enter(state, now + milliseconds(10));
    CHECK_FALSE(connection.is_overdue(now + milliseconds(9)));
    CHECK(connection.is_overdue(now + milliseconds(10)));
    connection.rest(now + milliseconds(5));
    CHECK(connection.state == pooled_connection_state::idle);
    CHECK(connection.last_used == now + milliseconds(5));
    CHECK_FALSE(connection.is_overdue(now + seconds(100)));
}

// Guards against a storm: as the answers on many connections were lost together, all were
// replaced at the same moment, each at the cost of a slot of the database.
TEST_CASE(
    "Connections that are given up together are replaced one after the other",
    "[owner][deadlines][pace]") {
    constexpr std::uint32_t long_budget_ms = 10'000;
    std::vector<std::string> const teams = {"a", "b", "c", "d", "e", "f"};
    mocked_stage stage;
    ALLOW_CALL(stage.observer, on_answer(_));
    ALLOW_CALL(stage.observer, on_silent(_));
    stage.owner->set_limits({6, 6, 2, {}, 6});
    auto const kind = GENERATE(
        upstream_request_kind::leader_read, // Its ROLLBACK gets no answer.
        upstream_request_kind::single);     // It gets none itself.
    for (std::string const& team : teams) {
        stage.submit(kind, team);
    }
    REQUIRE(stage.counts().opening == teams.size());
    for (std::size_t i = 0; i < teams.size(); ++i) {
        stage.open(i);
        if (kind == upstream_request_kind::leader_read) {
            stage.read_until_rollback(i);
        }
    }
    for (std::string const& team : teams) {
        stage.submit(kind, team, long_budget_ms);
    }
    REQUIRE(stage.connections.size() == teams.size());

    stage.time.time += past_commands;
    stage.look_until([&stage] { return stage.counts().opening > 0; });

    CHECK(stage.counts().all() == 1);
    CHECK(stage.counts().opening == 1);
    stage.time.time += milliseconds(100);
    stage.look_until([&stage] { return stage.counts().opening > 1; });
    CHECK(stage.counts().opening == 2);
    stage.open(teams.size());
    CHECK(stage.counts().busy == 1);
    CHECK(stage.counts().opening == 1);
}

// Guards against a sound primary that is replaced since a caller left a transaction
// alone.
TEST_CASE(
    "A transaction that its caller leaves alone is rolled back, and says nothing of the "
    "database",
    "[owner][deadlines][transactions]") {
    constexpr duration past_pauses = seconds(15);
    mocked_stage stage;
    ALLOW_CALL(stage.observer, on_answer(_));
    FORBID_CALL(stage.observer, on_silent(_));
    stage.submit(upstream_request_kind::open_transaction, "team");
    stage.open(0);
    stage.answer(0, transaction_state::open);
    stage.answer(0, transaction_state::open);
    REQUIRE(stage.counts().in_transaction == 1);
    transaction_id const opened = stage.answers[0].transaction;

    stage.time.time += past_pauses;
    stage.look_until([&stage] { return stage.counts().in_transaction == 0; });

    REQUIRE(stage.counts().ending == 1);
    CHECK_FALSE(stage.connections[0].closed);
    REQUIRE(stage.connections[0].asked.size() == 1);
    CHECK(stage.connections[0].asked.front().first == upstream_action::rollback);
    SECTION("its caller is told that it is lost") {
        upstream_request next;
        next.kind = upstream_request_kind::commit;
        next.transaction = opened;
        next.text = "COMMIT";
        stage.owner->submit(next, link_to_host, [&stage](upstream_response answer) {
            stage.answers.push_back(answer);
        });
        REQUIRE(stage.answers.size() == 2);
        CHECK(stage.answers[1].refusal == upstream_refusal::transaction_lost);
    }
    SECTION("its connection serves on") {
        stage.answer(0, transaction_state::idle);
        CHECK(stage.counts().idle == 1);
        stage.submit(upstream_request_kind::single, "team");
        CHECK(stage.counts().busy == 1);
        CHECK(stage.connections.size() == 1);
    }
    SECTION("its connection is given up if the database is silent after all") {
        stage.pass(past_commands);
        CHECK(stage.counts().all() == 0);
        CHECK(stage.connections[0].closed);
    }
}

TEST_CASE(
    "An order without an answer is told as the database's silence",
    "[owner][deadlines]") {
    mocked_stage stage;
    ALLOW_CALL(stage.observer, on_answer(_));
    auto const kind = GENERATE(
        upstream_request_kind::single, upstream_request_kind::open_transaction,
        upstream_request_kind::leader_check);
    stage.submit(kind, "team");
    stage.open(0);
    {
        REQUIRE_CALL(stage.observer, on_silent("db"));
        stage.pass(past_commands);
    }
    CHECK(stage.counts().all() == 0);
    REQUIRE(stage.answers.size() == 1);
    CHECK(stage.answers[0].refusal == upstream_refusal::unreachable);
}
