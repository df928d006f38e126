#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <persimmonpoint/core/digest.hpp>
#include <persimmonpoint/engine/database_owner.hpp>
#include <string>
#include <support/captured_log.hpp>
#include <utility>
#include <vector>

using namespace persimmonpoint;
using namespace persimmonpoint::engine;

namespace {

constexpr order_source first_link = 1;
constexpr order_source second_link = 2;

class fixed_clock final : public clock {
public:
    instant now() const override { return instant(std::chrono::seconds(1000)); }
};

class silent_observer final : public owner_observer {
public:
    void on_answer(std::string const&) override {}
    void on_refused(std::string const&) override {}
    void on_silent(std::string const&) override {}
    bool may_send_commit(std::string const&) override { return this->allows_commits; }
    void on_commit_sent(std::string const&, instant) override {}
    void on_commit_ended(std::string const&, instant, commit_end how) override {
        this->ends.push_back(how);
    }
    void on_commit_acknowledged(
        std::string const&, instant, std::optional<log_position> reached) override {
        ++this->acknowledged;
        this->reached = reached;
    }
    bool allows_commits = true;
    unsigned acknowledged = 0;
    std::optional<log_position> reached; ///< Of the last one that was acknowledged.
    std::vector<commit_end> ends;
};

/// What one connection was sent, in order.
using sent_texts = std::vector<std::string>;

/// How the database answers.
struct fake_database {
    std::optional<log_position> log_end;
    statement_error error = statement_error::none;
    bool loses_answers = false;
    bool forgets_names = false; ///< Answers each EXECUTE that it knows no such name.
    bool refuses_names = false; ///< Answers each PREPARE that it can't be taken.
};

/// Answers each command as its database does, and keeps the state of its transaction.
class fake_connection final : public upstream_connection {
public:
    fake_connection(
        boost::asio::io_context& loop, sent_texts& sent, fake_database const& world)
        : loop(loop), sent(sent), world(world) {}

    void open(upstream_target const&, open_handler handler) override {
        boost::asio::post(
            this->loop, [handler] { handler(open_result::opened, std::nullopt); });
    }

    void execute(upstream_command const& command, command_handler handler) override {
        this->sent.push_back(text_of(command));
        bool const begins = command.action == upstream_action::begin ||
                            command.action == upstream_action::begin_read;
        bool const ends =
            command.action == upstream_action::rollback || command.text == "COMMIT";
        if (begins || ends) {
            this->state = begins ? transaction_state::open : transaction_state::idle;
        }
        upstream_answer answer;
        answer.state = this->state;
        answer.position = this->world.log_end;
        answer.error = this->world.error;
        answer.lost = this->world.loses_answers;
        if (this->world.forgets_names &&
            command.action == upstream_action::execute_prepared) {
            answer.error = statement_error::unknown_statement;
        }
        if (this->world.refuses_names && command.action == upstream_action::prepare) {
            answer.error = statement_error::failed;
        }
        boost::asio::post(this->loop, [handler, answer] { handler(answer); });
    }

    void close() override {}

private:
    static std::string name_of(upstream_command const& command) {
        return std::to_string(command.statement.number);
    }

    static std::string text_of(upstream_command const& command) {
        switch (command.action) {
        case upstream_action::begin:
        case upstream_action::begin_read:
            return "BEGIN";
        case upstream_action::rollback:
            return "ROLLBACK";
        case upstream_action::reset:
            return "RESET";
        case upstream_action::set:
            return "SET " + command.name + " " + command.text;
        case upstream_action::prepare:
            return "PREPARE " + name_of(command) + " " + command.prepared.shape;
        case upstream_action::execute_prepared:
            return "EXECUTE " + name_of(command) + " " + command.text;
        default:
            return command.text;
        }
    }

    boost::asio::io_context& loop;
    sent_texts& sent;
    fake_database const& world;
    transaction_state state = transaction_state::idle;
};

class fake_connector final : public upstream_connector {
public:
    explicit fake_connector(boost::asio::io_context& loop) : loop(loop) {}

    std::shared_ptr<upstream_connection> make() override {
        std::size_t const index = this->sent.size();
        return std::make_shared<fake_connection>(
            this->loop, this->sent[index], this->database);
    }

    std::map<std::size_t, sent_texts> sent; ///< By connection.
    fake_database database;

private:
    boost::asio::io_context& loop;
};

/// An owner of one connection to a database that answers everything.
class owner_stage {
public:
    owner_stage() : connector(this->loop) { this->make_owner(); }

    /// As `dispatcher` does for a database that left the directory and came back.
    void make_owner() {
        registered_database database;
        database.id = "db";
        database.group = "group";
        this->owner = std::make_unique<database_owner>(
            this->loop, this->connector, this->time, this->observer, this->transactions,
            database);
        this->owner->set_limits({1, 1, 1, {}, 1});
    }

    upstream_response run(upstream_request request, order_source source) {
        request.group = "group";
        request.database = "db";
        request.team = "team";
        request.id = "id";
        std::optional<upstream_response> answer;
        this->owner->submit(
            std::move(request), source,
            [&answer](upstream_response given) { answer = std::move(given); });
        this->settle();
        REQUIRE(answer);
        return *answer;
    }

    upstream_response open(std::string const& text, order_source source) {
        upstream_request request;
        request.kind = upstream_request_kind::open_transaction;
        request.text = text;
        return this->run(std::move(request), source);
    }

    void settle() {
        this->loop.restart();
        this->loop.poll();
    }

    boost::asio::io_context loop;
    fixed_clock time;
    silent_observer observer;
    transaction_numbering transactions{instant(std::chrono::seconds(1)), 1};
    fake_connector connector;
    std::unique_ptr<database_owner> owner;
};

upstream_request
inside(upstream_request_kind kind, std::string text, upstream_response const& opened) {
    upstream_request request;
    request.kind = kind;
    request.text = std::move(text);
    request.transaction = opened.transaction;
    return request;
}

} // namespace

// Guards against statements that run in the transaction of another caller, whose
// transaction took the connection after the link between two hosts was lost.
TEST_CASE(
    "A reference to a transaction that was rolled back names no later one",
    "[owner][transactions]") {
    auto const kind = GENERATE(
        upstream_request_kind::in_transaction, upstream_request_kind::commit,
        upstream_request_kind::rollback);
    owner_stage stage;
    auto const before = stage.open("WRITE a 1", first_link);
    stage.owner->forget(first_link);
    stage.settle();
    auto const after = stage.open("WRITE b 2", second_link);
    REQUIRE(after.outcome == upstream_outcome::answered);

    auto const late = stage.run(inside(kind, "LATE", before), second_link);

    CHECK(late.outcome == upstream_outcome::not_run);
    CHECK(late.refusal == upstream_refusal::transaction_lost);
    CHECK(
        stage.connector.sent[0] ==
        sent_texts{"BEGIN", "WRITE a 1", "ROLLBACK", "BEGIN", "WRITE b 2"});
    auto const own =
        stage.run(inside(upstream_request_kind::commit, "COMMIT", after), second_link);
    CHECK(own.succeeded());
}

// Guards against the same after an owner was made anew, in a new process or in this one.
TEST_CASE(
    "A reference to a transaction of an earlier owner names none of its successor",
    "[owner][transactions]") {
    owner_stage stage;
    auto const before = stage.open("WRITE a 1", first_link);
    stage.make_owner();
    auto const after = stage.open("WRITE b 2", first_link);
    REQUIRE(after.outcome == upstream_outcome::answered);

    auto const late =
        stage.run(inside(upstream_request_kind::commit, "COMMIT", before), first_link);

    CHECK(late.refusal == upstream_refusal::transaction_lost);
    CHECK(stage.connector.sent[1] == sent_texts{"BEGIN", "WRITE b 2"});
}

TEST_CASE(
    "A cold database is sent nothing of callers by an owner that isn't the first",
    "[owner][cold]") {
    owner_stage stage;
    stage.owner->set_cold_allowance(
        {true, 0, stage.time.now() + std::chrono::seconds(30)});
    upstream_request read;
    read.text = "READ a";
    CHECK(stage.run(read, first_link).refusal == upstream_refusal::unreachable);
    CHECK(stage.connector.sent.empty());
    upstream_request report;
    report.kind = upstream_request_kind::report_state;
    CHECK(stage.run(report, first_link).outcome == upstream_outcome::answered);
    stage.owner->set_cold_allowance({true, 0, {}});
    CHECK(stage.run(read, first_link).succeeded());
}

// Load: all requests of a group at the moment at which its database comes back.
TEST_CASE(
    "What a cold database would take too late is refused at once", "[owner][cold]") {
    owner_stage stage;
    stage.owner->set_cold_allowance(
        {true, 2, stage.time.now() + std::chrono::seconds(30)});
    upstream_request read;
    read.text = "READ a";
    read.budget_ms = 400;
    CHECK(stage.run(read, first_link).refusal == upstream_refusal::overloaded);
    CHECK(stage.connector.sent.empty());
}

// Guards against a transaction that stays open, with its connection, though the host that
// asked for it is gone.
TEST_CASE(
    "A transaction that opens after its host is gone is rolled back",
    "[owner][transactions]") {
    owner_stage stage;
    upstream_request request;
    request.kind = upstream_request_kind::open_transaction;
    request.group = "group";
    request.database = "db";
    request.team = "team";
    request.text = "WRITE a 1";
    bool answered = false;
    stage.owner->submit(
        request, first_link, [&answered](upstream_response const&) { answered = true; });
    stage.loop.poll_one(); // The connection is open, the statement under way.
    REQUIRE(stage.connector.sent[0] == sent_texts{"BEGIN"});
    stage.owner->forget(first_link);
    stage.settle();

    CHECK_FALSE(answered);
    CHECK(stage.owner->open_transactions() == 0);
    CHECK(stage.connector.sent[0] == sent_texts{"BEGIN", "WRITE a 1", "ROLLBACK"});
    CHECK(stage.open("WRITE b 2", second_link).transaction.is_set());
}

// Guards against a stopping host that is in the middle of a transaction as it exits.
TEST_CASE(
    "A transaction of an owner that is about to stop ends with its next statement",
    "[owner][stop]") {
    owner_stage stage;
    auto const opened = stage.open("WRITE a 1", first_link);
    stage.owner->end_transactions();

    auto const next =
        stage.run(inside(upstream_request_kind::commit, "COMMIT", opened), first_link);

    CHECK(next.outcome == upstream_outcome::not_run);
    CHECK(next.refusal == upstream_refusal::transaction_lost);
    CHECK(stage.connector.sent[0] == sent_texts{"BEGIN", "WRITE a 1", "ROLLBACK"});
    CHECK(stage.owner->open_transactions() == 0);
}

// Guards against statements to a database that has been leaving for so long that it may
// end in the middle of them.
TEST_CASE(
    "A database that has been leaving for too long is given no new work",
    "[owner][drain]") {
    owner_stage stage;
    auto const opened = stage.open("WRITE a 1", first_link);
    stage.owner->set_work_end(stage.time.now());

    auto const single = stage.run(upstream_request(), first_link);
    CHECK(single.outcome == upstream_outcome::not_run);
    CHECK(single.refusal == upstream_refusal::unreachable);
    CHECK(stage.open("WRITE b 2", second_link).outcome == upstream_outcome::not_run);
    SECTION("but goes on with its transactions") {
        auto const end = stage.run(
            inside(upstream_request_kind::commit, "COMMIT", opened), first_link);
        CHECK(end.succeeded());
    }
    SECTION("and orders of the system's own") {
        upstream_request status;
        status.kind = upstream_request_kind::report_state;
        stage.run(inside(upstream_request_kind::rollback, "", opened), first_link);
        CHECK(stage.run(status, first_link).outcome == upstream_outcome::answered);
    }
}

TEST_CASE("An acknowledged write is told to the observer, a read is not", "[owner]") {
    owner_stage stage;
    upstream_request read;
    stage.run(read, first_link);
    CHECK(stage.observer.acknowledged == 0);
    upstream_request write;
    write.writes = true;
    stage.run(write, first_link);
    CHECK(stage.observer.acknowledged == 1);
}

TEST_CASE(
    "An acknowledged commit lies behind the log's end that was told before it was sent",
    "[owner]") {
    owner_stage stage;
    stage.connector.database.log_end = log_position{3, 40};
    upstream_request write;
    write.writes = true;
    SECTION("nothing is known of it before the database told its position") {
        CHECK_FALSE(stage.run(write, first_link).acknowledged);
        CHECK_FALSE(stage.observer.reached);
    }
    SECTION("its position is one further at least") {
        stage.run(upstream_request(), first_link);
        stage.connector.database.log_end = log_position{3, 45};
        CHECK(stage.run(write, first_link).acknowledged == log_position{3, 41});
        CHECK(stage.observer.reached == log_position{3, 41});
    }
    SECTION("a position of another term tells nothing") {
        stage.run(upstream_request(), first_link);
        stage.connector.database.log_end = log_position{4, 45};
        CHECK_FALSE(stage.run(write, first_link).acknowledged);
    }
}

TEST_CASE("A commit that may be in the log though it failed is told as such", "[owner]") {
    owner_stage stage;
    upstream_request write;
    write.writes = true;
    SECTION("acknowledged") {
        stage.run(write, first_link);
        CHECK(stage.observer.ends == std::vector{commit_end::acknowledged});
    }
    SECTION("not run") {
        stage.connector.database.error = statement_error::busy;
        stage.run(write, first_link);
        CHECK(stage.observer.ends == std::vector{commit_end::not_run});
    }
    SECTION("refused by a primary that lost its lead meanwhile") {
        stage.connector.database.error = statement_error::read_only;
        stage.run(write, first_link);
        CHECK(stage.observer.ends == std::vector{commit_end::unknown});
    }
    SECTION("without an answer") {
        stage.connector.database.loses_answers = true;
        stage.run(write, first_link);
        CHECK(stage.observer.ends == std::vector{commit_end::unknown});
    }
}

TEST_CASE(
    "A COMMIT that may not be sent rolls its transaction back and is answered as not run",
    "[owner][fence]") {
    owner_stage stage;
    upstream_response const opened = stage.open("INSERT", 1);
    REQUIRE(opened.transaction.is_set());
    stage.observer.allows_commits = false;
    upstream_request commit = inside(upstream_request_kind::commit, "COMMIT", opened);
    commit.writes = true;
    upstream_response const answer = stage.run(commit, 1);
    CHECK(answer.outcome == upstream_outcome::not_run);
    CHECK(answer.refusal == upstream_refusal::fenced);
    CHECK(stage.connector.sent[0].back() == "ROLLBACK");
    CHECK(stage.owner->open_transactions() == 0);
    CHECK(stage.observer.ends.empty());

    stage.observer.allows_commits = true;
    CHECK(stage.run(commit, 1).refusal == upstream_refusal::transaction_lost);
    CHECK(stage.open("INSERT", 1).transaction.is_set());
}

TEST_CASE(
    "A write that may not be sent leaves its connection as it was", "[owner][fence]") {
    owner_stage stage;
    stage.observer.allows_commits = false;
    upstream_request write;
    write.text = "UPDATE";
    write.writes = true;
    upstream_response const answer = stage.run(write, 1);
    CHECK(answer.outcome == upstream_outcome::not_run);
    CHECK(answer.refusal == upstream_refusal::fenced);
    stage.observer.allows_commits = true;
    CHECK(stage.run(write, 1).succeeded());
    CHECK(stage.connector.sent[0] == sent_texts{"UPDATE"});
    CHECK(stage.connector.sent.size() == 1);
}

// Guards against logs that don't tell which shape ran for a statement, on which
// connection.
TEST_CASE(
    "A prepared statement's id, connection and shape are in the log, its text is not",
    "[owner][prepared][logs]") {
    owner_stage stage;
    tests::captured_log log;
    upstream_request execute;
    execute.text = "some-item";
    execute.prepared = prepared_shape{"some words", false};
    stage.run(execute, first_link);
    execute.values = {{"zone", "north"}};
    stage.run(execute, first_link);
    execute.values = {};
    stage.run(execute, first_link);

    std::string const lines = log.end();
    std::string const shape = "\"shape\":\"" + log_digest("some words") + "\"";
    auto const count = [&lines](std::string const& text) {
        std::size_t found = 0;
        for (std::size_t at = lines.find(text); at != std::string::npos;
             at = lines.find(text, at + 1)) {
            ++found;
        }
        return found;
    };
    INFO(lines);
    // The last one runs without the value, which takes a reset.
    CHECK(count("\"event\":\"statement_prepared\"") == 2);
    CHECK(count("\"event\":\"prepared_statement_sent\"") == 3);
    CHECK(count("\"event\":\"connection_reset\"") == 1);
    CHECK(count(shape) == 5);
    CHECK(count("\"name\":1") == 3);
    CHECK(count("\"name\":2") == 2);
    CHECK(count("\"id\":\"id\"") == 6);
    CHECK(count("\"connection\":1") == 6);
    CHECK(count("some words") == 0);
    CHECK(count("some-item") == 0);
}

TEST_CASE("Orders that wait for a database are bounded in bytes", "[owner][bounds]") {
    owner_stage stage;
    upstream_request request;
    request.group = "group";
    request.database = "db";
    request.team = "team";
    request.text = std::string(1'000'000, 'x');
    std::size_t refused = 0;
    for (int i = 0; i < 100; ++i) {
        stage.owner->submit(request, first_link, [&refused](upstream_response given) {
            refused += given.refusal == upstream_refusal::queue_full ? 1 : 0;
        });
    }
    CHECK(refused >= 80);
    CHECK(refused < 100);
    stage.settle();
    request.text = "READ a";
    CHECK(stage.run(request, first_link).succeeded());
}

TEST_CASE(
    "A transaction that prepares too many bytes is rolled back and said to be lost",
    "[owner][transactions][bounds]") {
    owner_stage stage;
    auto const opened = stage.open("WRITE a 1", first_link);
    upstream_response last;
    for (char const each : {'a', 'b', 'c', 'd', 'e'}) {
        auto request = inside(upstream_request_kind::in_transaction, "item", opened);
        request.prepared = prepared_shape{std::string(1'000'000, each), false};
        last = stage.run(request, first_link);
    }
    CHECK(last.outcome == upstream_outcome::not_run);
    CHECK(last.refusal == upstream_refusal::transaction_lost);
    CHECK(stage.connector.sent[0].back() == "ROLLBACK");
    CHECK(stage.owner->open_transactions() == 0);
}

// Guards against a caller that hears UNKNOWN for a name whose preparing was acknowledged.
TEST_CASE(
    "A connection whose database forgot a prepared name isn't used again",
    "[owner][prepared]") {
    owner_stage stage;
    upstream_request execute;
    execute.text = "item";
    execute.prepared = prepared_shape{"q", false};

    SECTION("a single statement can be had elsewhere") {
        stage.connector.database.forgets_names = true;
        auto const answer = stage.run(execute, first_link);
        CHECK(answer.outcome == upstream_outcome::answered);
        CHECK(answer.error == statement_error::unknown_statement);
        CHECK(stage.owner->connections().all() == 0);
    }
    SECTION("a transaction is rolled back") {
        auto const opened = stage.open("WRITE a 1", first_link);
        stage.connector.database.forgets_names = true;
        execute.kind = upstream_request_kind::in_transaction;
        execute.transaction = opened.transaction;
        auto const answer = stage.run(execute, first_link);
        CHECK(answer.outcome == upstream_outcome::not_run);
        CHECK(answer.refusal == upstream_refusal::transaction_lost);
        CHECK(stage.owner->connections().all() == 0);
    }
    stage.connector.database.forgets_names = false;
    upstream_request again;
    again.text = "item";
    again.prepared = execute.prepared;
    again.values = {{"zone", "north"}};
    CHECK(stage.run(again, second_link).succeeded());
    CHECK(
        stage.connector.sent[1] ==
        sent_texts{"SET zone north", "PREPARE 1 q", "EXECUTE 1 item"});
}

TEST_CASE(
    "A connection whose database refused a preparation isn't used again",
    "[owner][prepared]") {
    owner_stage stage;
    stage.connector.database.refuses_names = true;
    upstream_request execute;
    execute.text = "item";
    execute.prepared = prepared_shape{"q", false};
    CHECK(stage.run(execute, first_link).outcome == upstream_outcome::not_run);
    CHECK(stage.connector.sent[0] == sent_texts{"PREPARE 1 q"});
    CHECK(stage.owner->connections().all() == 0);
}

TEST_CASE(
    "A connection with many prepared shapes drops them, and uses no name twice",
    "[owner][prepared]") {
    constexpr int shapes = 205;
    owner_stage stage;
    upstream_request execute;
    execute.text = "item";
    for (int i = 1; i <= shapes; ++i) {
        execute.prepared = prepared_shape{"q" + std::to_string(i), false};
        REQUIRE(stage.run(execute, first_link).succeeded());
    }
    sent_texts const& sent = stage.connector.sent[0];
    auto const times = [&sent](std::string const& text) {
        return std::count(sent.begin(), sent.end(), text);
    };
    CHECK(times("RESET") == 1);
    for (int i = 1; i <= shapes; ++i) {
        std::string const number = std::to_string(i);
        CHECK(times("PREPARE " + number + " q" + number) == 1);
        CHECK(times("EXECUTE " + number + " item") == 1);
    }
    // Dropped by the RESET, so prepared again under a name of its own.
    execute.prepared = prepared_shape{"q1", false};
    REQUIRE(stage.run(execute, first_link).succeeded());
    CHECK(sent.back() == "EXECUTE " + std::to_string(shapes + 1) + " item");
}

// Guards against a RESET in the middle of a transaction that is to be rolled back.
TEST_CASE("A rollback is all that ends a transaction", "[owner][prepared]") {
    owner_stage stage;
    upstream_request first;
    first.kind = upstream_request_kind::open_transaction;
    first.text = "item";
    first.prepared = prepared_shape{"q", false};
    first.values = {{"zone", "north"}};
    auto const opened = stage.run(first, first_link);
    REQUIRE(opened.transaction.is_set());

    stage.run(inside(upstream_request_kind::rollback, "", opened), first_link);

    CHECK(
        stage.connector.sent[0] ==
        sent_texts{
            "SET zone north", "PREPARE 1 q", "BEGIN", "EXECUTE 1 item", "ROLLBACK"});
}
