#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <persimmonpoint/engine/boot_clock.hpp>
#include <persimmonpoint/engine/commit_guard.hpp>
#include <persimmonpoint/engine/dispatcher.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <support/free_port.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::engine;
using std::chrono::milliseconds;

namespace {

/// The notices in the store, which all hosts of a test share.
struct shared_board {
    std::map<std::string, fence_notice> rows;
    bool fails = false;
    bool silent = false;
};

/// A host with its links and its guard, and nothing else.
class guarded_host final : public mesh_observer, public notice_board {
public:
    guarded_host(
        boost::asio::io_context& loop,
        persimmonpoint::clock const& time,
        shared_board& board,
        std::vector<registered_host> const& hosts,
        std::size_t own)
        : board(board),
          self(hosts[own]),
          guard(loop, time, view, *this, self.name),
          mesh(loop, time, *this, self) {
        this->view.hosts.take({1, 1}, hosts, [](std::string const&) { return true; });
        this->guard.start(this->mesh);
        this->mesh.set_hosts(hosts);
    }

    void on_order(upstream_request, order_source, response_handler) override {}
    void on_source_gone(order_source) override {}
    void on_configuration(configuration_message) override {}
    void on_directory(directory_message) override {}
    void on_leader(leader_message const&) override {}
    void on_endorsement(std::string const&, endorsement_message const&) override {}
    void on_release(std::string const&, release_message const&) override {}
    loan_message on_borrow(borrow_message const&) override { return {}; }
    void on_loan(loan_message const&) override {}
    void on_reach_query(std::string const&, std::function<void(bool)>) override {}
    void on_fence(
        std::string const& host,
        fence_message const& message,
        std::function<void(std::vector<told_commit>)> answer) override {
        this->guard.on_notice(
            host, {message.number, message.fenced},
            [answer = std::move(answer)] { answer({}); });
    }
    void on_fence_answer(
        std::string const& host, fence_answer_message const& message) override {
        this->guard.on_answer(host, message.number);
    }
    std::optional<fence_message> own_fences() override {
        auto const notice = this->guard.current_notice();
        return notice ? std::optional(fence_message{notice->number, notice->fenced})
                      : std::nullopt;
    }
    void on_peers_changed() override {}
    void on_peer_linked() override {}
    alive_message own_state() override { return {}; }
    bool reaches_store() const override { return true; }
    bool reads_configuration() const override { return false; }
    configuration_message own_configuration() override { return {}; }
    directory_message own_directory() override { return {}; }
    void on_hosts(hosts_message) override {}
    hosts_message own_hosts() override { return {}; }

    void read_notices(
        std::function<void(std::optional<std::vector<stored_notice>>)> done) override {
        ++this->readings;
        if (this->board.silent) {
            return;
        }
        if (this->board.fails) {
            done(std::nullopt);
            return;
        }
        std::vector<stored_notice> all;
        for (auto const& [host, notice] : this->board.rows) {
            all.push_back({host, notice});
        }
        done(all);
    }
    void write_notice(
        fence_notice const& notice,
        std::function<void(std::optional<std::uint64_t>)> done) override {
        if (!this->board.fails) {
            this->board.rows[this->self.name] = notice;
        }
        done(this->board.fails ? std::nullopt : std::optional<std::uint64_t>(1));
    }

    shared_board& board;
    registered_host self;
    fleet_view view;
    std::size_t readings = 0;
    commit_guard guard;
    peer_mesh mesh;
};

/// Two hosts; a third one that is listed doesn't answer unless it is left out.
class guard_stage {
public:
    explicit guard_stage(bool third_is_silent = false) {
        std::vector<registered_host> hosts = {this->host("a"), this->host("b")};
        if (third_is_silent) {
            std::uint16_t const port = this->silent.local_endpoint().port();
            hosts.push_back({"c", "127.0.0.1:" + std::to_string(port), "z"});
        }
        this->a.emplace(this->loop, this->time, this->board, hosts, 0);
        this->b.emplace(this->loop, this->time, this->board, hosts, 1);
    }

    /// Runs until the condition holds; false after five seconds.
    bool run_until(std::function<bool()> const& condition) {
        auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->loop.run_for(milliseconds(5));
        }
        return condition();
    }
    bool linked() {
        return this->run_until([this] {
            return this->a->mesh.is_linked("b") && this->b->mesh.is_linked("a");
        });
    }

    boost::asio::io_context loop;
    /// Takes connections and never answers.
    boost::asio::ip::tcp::acceptor silent{
        this->loop, {boost::asio::ip::address_v4::loopback(), 0}};
    boot_clock time;
    shared_board board;
    std::optional<guarded_host> a;
    std::optional<guarded_host> b;

private:
    static registered_host host(std::string const& name) {
        return {name, "127.0.0.1:" + std::to_string(tests::free_port()), "z"};
    }
};

} // namespace

TEST_CASE(
    "A host that is told of a change sends its primary no commit", "[fence][guard]") {
    guard_stage stage;
    REQUIRE(stage.linked());
    // Hosts are heard before that counts.
    REQUIRE(stage.run_until(
        [&] { return stage.b->guard.judge("g", "p") == fence_verdict::allow; }));
    stage.a->guard.call("g", "p");
    CHECK(stage.a->guard.standing("g") == fence_standing::none);
    REQUIRE(stage.run_until(
        [&] { return stage.a->guard.standing("g") == fence_standing::acknowledged; }));
    CHECK(stage.b->guard.judge("g", "p") == fence_verdict::refuse);
    CHECK(stage.board.rows.empty());
    stage.a->guard.end("g");
    CHECK(stage.run_until(
        [&] { return stage.b->guard.judge("g", "p") == fence_verdict::allow; }));
}

TEST_CASE(
    "A host answers a notice once none of its commits to the primary is on its way",
    "[fence][guard]") {
    guard_stage stage;
    REQUIRE(stage.linked());
    stage.b->guard.commit_sent("p");
    stage.a->guard.call("g", "p");
    REQUIRE(stage.run_until(
        [&] { return stage.b->guard.judge("g", "p") == fence_verdict::refuse; }));
    CHECK(stage.a->guard.standing("g") == fence_standing::none);
    SECTION("as it ends") {
        stage.b->guard.commit_ended("p");
    }
    SECTION("or after a while") {}
    CHECK(stage.run_until(
        [&] { return stage.a->guard.standing("g") == fence_standing::acknowledged; }));
}

TEST_CASE(
    "A fence stands by the store where a listed host is silent, and that host finds it "
    "there",
    "[fence][guard]") {
    guard_stage stage(true);
    REQUIRE(stage.linked());
    stage.a->guard.call("g", "p");
    REQUIRE(stage.run_until([&] { return stage.board.rows.count("a") == 1; }));
    CHECK(stage.a->guard.standing("g") == fence_standing::none);
    REQUIRE(stage.run_until(
        [&] { return stage.a->guard.standing("g") == fence_standing::announced; }));
    stage.a->guard.end("g");
    CHECK(stage.run_until([&] { return stage.board.rows["a"].fenced.empty(); }));
}

TEST_CASE("A host that doesn't hear another goes by the store", "[fence][guard]") {
    guard_stage stage(true);
    REQUIRE(stage.linked());
    CHECK(stage.b->guard.judge("g", "q") == fence_verdict::needs_reading);
    REQUIRE(stage.run_until(
        [&] { return stage.b->guard.judge("g", "q") == fence_verdict::allow; }));
    CHECK(stage.b->readings > 0);
    stage.board.rows["c"] = {1, {{"g", "p"}}};
    CHECK(stage.run_until(
        [&] { return stage.b->guard.judge("g", "p") == fence_verdict::refuse; }));
    CHECK(stage.b->guard.judge("g", "q") == fence_verdict::allow);
}

TEST_CASE(
    "A host that links up hears of a fence before it hears anything", "[fence][guard]") {
    guard_stage stage;
    stage.a->guard.call("g", "p");
    REQUIRE(stage.linked());
    CHECK(stage.b->guard.judge("g", "p") == fence_verdict::refuse);
}

namespace {

class no_connector final : public upstream_connector {
public:
    std::shared_ptr<upstream_connection> make() override { return nullptr; }
};

class no_observer final : public owner_observer {
public:
    void on_answer(std::string const&) override {}
    void on_refused(std::string const&) override {}
    void on_silent(std::string const&) override {}
    void on_commit_sent(std::string const&, instant) override {}
    void on_commit_ended(std::string const&, instant, commit_end) override {}
    void on_commit_acknowledged(
        std::string const&, instant, std::optional<log_position>) override {}
};

/// The dispatcher of b, with a primary p of the group g.
struct commit_stage : guard_stage {
    commit_stage(bool third_is_silent) : guard_stage(third_is_silent) {
        database_directory directory;
        directory.version = {1, 1};
        directory.databases["p"] = {"p", "g", "127.0.0.1:9", "z", 0, false, true, 1};
        this->b->view.directory.received(directory);
        this->b->view.share_out_databases();
        this->orders.use(this->b->mesh);
        this->orders.use(this->b->guard);
    }

    void write() {
        upstream_request order;
        order.kind = upstream_request_kind::single;
        order.group = "g";
        order.database = "p";
        order.writes = true;
        order.budget_ms = 2000;
        this->orders.run_here(std::move(order), 1, [this](upstream_response given) {
            this->answer = std::move(given);
        });
    }

    no_connector connector;
    no_observer observer;
    dispatcher orders{
        this->loop,
        this->connector,
        this->time,
        this->observer,
        this->b->view,
        "b",
        database_bounds{std::chrono::seconds(7)}};
    std::optional<upstream_response> answer;
};

} // namespace

TEST_CASE("A commit that meets a fence is answered as not run", "[fence][guard]") {
    commit_stage stage(false);
    stage.a->guard.call("g", "p");
    REQUIRE(stage.linked());
    REQUIRE(stage.run_until(
        [&] { return stage.b->guard.judge("g", "p") == fence_verdict::refuse; }));
    stage.write();
    REQUIRE(stage.answer);
    CHECK(stage.answer->outcome == upstream_outcome::not_run);
    CHECK(stage.answer->refusal == upstream_refusal::fenced);
}

TEST_CASE(
    "A commit that waits for a reading of the store is not run if none ends",
    "[fence][guard]") {
    commit_stage stage(true);
    REQUIRE(stage.linked());
    stage.board.silent = true;
    stage.write();
    CHECK_FALSE(stage.answer);
    CHECK(stage.orders.load() == 1);
    REQUIRE(stage.run_until([&] { return stage.answer.has_value(); }));
    CHECK(stage.answer->outcome == upstream_outcome::not_run);
    CHECK(stage.answer->refusal == upstream_refusal::fenced);
    CHECK(stage.orders.load() == 0);
}

TEST_CASE("Commits that wait for the store end as their host does", "[fence][guard]") {
    commit_stage stage(true);
    REQUIRE(stage.linked());
    stage.board.silent = true;
    stage.write();
    REQUIRE_FALSE(stage.answer);
    SECTION("answered as not run") {
        stage.orders.close();
        REQUIRE(stage.answer);
        CHECK(stage.answer->outcome == upstream_outcome::not_run);
    }
    SECTION("or dropped with those who gave them") {
        stage.orders.forget(1);
        CHECK(stage.orders.load() == 0);
        CHECK_FALSE(stage.answer);
    }
}
