#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <chrono>
#include <functional>
#include <persimmonpoint/traffic/connection_pool.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::traffic;
using trompeloeil::_;

namespace {

class mock_connection : public database_connection {
public:
    MAKE_MOCK1(connect, void(connect_handler), override);
    MAKE_MOCK2(
        run,
        void(std::vector<upstream_query>, std::shared_ptr<answer_observer>),
        override);
    MAKE_MOCK1(when_lost, void(std::function<void()>), override);
    MAKE_MOCK1(set_paused, void(bool), override);
    MAKE_MOCK0(cancel, void(), override);
    MAKE_CONST_MOCK0(backend_pid, int(), override);
    MAKE_MOCK0(close, void(), override);
};

class set_clock final : public clock {
public:
    instant now() const override { return this->time; }
    instant time{std::chrono::seconds(1000)};
};

/// Past every deadline of the pool's own, within that of a request.
constexpr duration past_resets = std::chrono::seconds(5);
constexpr duration patience = std::chrono::seconds(60);
/// Real time; a look ends as soon as no deadline is left.
constexpr duration longest_look = std::chrono::seconds(20);

/// A pool over mocks that connect at once, unless told to fail.
struct pool_stage {
    explicit pool_stage(std::size_t limit) {
        pool_settings settings;
        settings.limit = limit;
        this->pool = std::make_shared<connection_pool>(
            this->loop, this->time, "db", [this] { return this->make(); }, settings,
            chart::require("connection", connection_states, connection_events));
    }

    std::shared_ptr<database_connection> make() {
        auto link = std::make_shared<mock_connection>();
        this->expectations.push_back(
            NAMED_ALLOW_CALL(*link, connect(_)).SIDE_EFFECT(this->answer_connect(_1)));
        this->expectations.push_back(NAMED_ALLOW_CALL(*link, when_lost(_)));
        this->expectations.push_back(
            NAMED_ALLOW_CALL(*link, close()).SIDE_EFFECT(++this->closed));
        this->expectations.push_back(
            NAMED_ALLOW_CALL(*link, run(_, _)).SIDE_EFFECT(this->reset(_1, _2)));
        this->made.push_back(link);
        return link;
    }

    void answer_connect(database_connection::connect_handler const& handler) {
        if (this->fail_connect) {
            handler(error{"08001", "refused"});
        } else {
            handler(boost::outcome_v2::success());
        }
    }

    void reset(
        std::vector<upstream_query> const& batch,
        std::shared_ptr<answer_observer> const& observer) {
        this->resets.push_back(batch.at(0).sql);
        if (this->answers_resets) {
            observer->on_finished(postgres::transaction_status::idle);
        } else {
            this->unanswered.push_back(observer);
        }
    }

    /// Keeps what it gets; the name tells who was served.
    void acquire(std::string const& team) {
        this->pool->acquire(
            team, this->time.now() + patience,
            [this, team](result<std::unique_ptr<connection_lease>> got) {
                if (got) {
                    this->served.push_back(team);
                    this->leases.push_back(std::move(got.value()));
                } else {
                    this->refused.push_back(got.error().message);
                }
            });
    }

    void settle() {
        this->loop.restart();
        this->loop.poll();
    }

    /// The pool looks at its deadlines until the condition holds.
    void look_until(std::function<bool()> const& holds) {
        auto const end = std::chrono::steady_clock::now() + longest_look;
        this->loop.restart();
        while (!holds() && std::chrono::steady_clock::now() < end &&
               this->loop.run_one_for(longest_look) > 0) {}
    }

    /// Each of these connections comes back with a session's state on it.
    void give_back_dirty(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            this->leases[i]->mark_dirty();
            this->leases[i]->answered(postgres::transaction_status::idle);
            this->leases[i]->release();
        }
    }

    boost::asio::io_context loop;
    set_clock time;
    std::shared_ptr<connection_pool> pool;
    std::vector<std::shared_ptr<mock_connection>> made;
    std::vector<std::unique_ptr<trompeloeil::expectation>> expectations;
    std::vector<std::unique_ptr<connection_lease>> leases;
    std::vector<std::string> served;
    std::vector<std::string> refused;
    std::vector<std::string> resets;
    std::vector<std::shared_ptr<answer_observer>> unanswered;
    int closed = 0;
    bool answers_resets = true;
    bool fail_connect = false;
};

} // namespace

TEST_CASE("A pool never opens more connections than it may", "[pool]") {
    pool_stage on(2);
    for (int i = 0; i < 5; ++i) {
        on.acquire("a");
    }
    CHECK(on.made.size() == 2);
    CHECK(on.served.size() == 2);
    CHECK(on.pool->load().waiting == 3);

    SECTION("a connection given back serves the next in turn") {
        on.leases.front()->release();
        on.settle();
        CHECK(on.served.size() == 3);
        CHECK(on.made.size() == 2);
    }
    SECTION("a discarded one is replaced") {
        on.leases.front()->discard();
        on.settle();
        CHECK(on.closed == 1);
        CHECK(on.made.size() == 3);
        CHECK(on.served.size() == 3);
    }
    on.leases.clear();
    on.pool->close();
    CHECK(on.refused.size() + on.served.size() == 5);
}

TEST_CASE("Teams that wait for a connection take turns", "[pool]") {
    pool_stage on(1);
    on.acquire("large");
    on.acquire("large");
    on.acquire("large");
    on.acquire("small");
    for (int i = 0; i < 3; ++i) {
        on.leases.back()->release();
        on.settle();
    }
    CHECK(on.served == std::vector<std::string>{"large", "large", "small", "large"});
}

TEST_CASE("A connection is fit for the next user or is closed", "[pool]") {
    pool_stage on(1);
    on.acquire("a");
    SECTION("clean: used again as it is") {
        on.leases.front()->answered(postgres::transaction_status::idle);
        on.leases.front()->release();
        CHECK(on.resets.empty());
        CHECK(on.pool->load().free_connections == 1);
    }
    SECTION("dirty: reset first") {
        on.leases.front()->mark_dirty();
        on.leases.front()->release();
        CHECK(on.resets == std::vector<std::string>{"DISCARD ALL"});
        CHECK(on.closed == 0);
    }
    SECTION("inside a transaction: closed, never given on") {
        // Holds the chart's guard: in_transaction allows no release.
        on.leases.front()->answered(postgres::transaction_status::open);
        on.leases.front()->release();
        CHECK(on.closed == 1);
    }
    SECTION("dropped without a word: closed") {
        on.leases.clear();
        CHECK(on.closed == 1);
    }
}

TEST_CASE("When nothing can be opened nobody is left waiting", "[pool]") {
    pool_stage on(2);
    on.fail_connect = true;
    on.acquire("a");
    on.acquire("b");
    CHECK(on.refused.size() == 2);
    CHECK_THAT(
        on.refused.front(), Catch::Contains("can't connect to database \"db\": refused"));
}

TEST_CASE("A pool without a share refuses and says why", "[pool]") {
    pool_stage on(0);
    on.acquire("a");
    CHECK_THAT(
        on.refused.at(0), Catch::Contains("may open no connection to database \"db\""));
}

TEST_CASE(
    "A connection in use when its pool closes is closed once it is given back",
    "[pool]") {
    pool_stage on(1);
    on.acquire("a");
    on.settle();
    REQUIRE(on.leases.size() == 1);
    on.leases[0]->mark_dirty();
    on.pool->close();
    on.leases[0]->answered(postgres::transaction_status::idle);
    on.leases[0]->release();
    // A reset that nobody waits for would hold the connection for ever.
    CHECK(on.resets.empty());
    CHECK(on.closed == 1);
}

// Guards against a pool that runs out of connections: each reset whose answer was lost
// took one for ever.
TEST_CASE("A reset that has no answer is given up by a deadline", "[pool][deadlines]") {
    pool_stage on(1);
    on.answers_resets = false;
    on.acquire("a");
    on.give_back_dirty(1);
    REQUIRE(on.resets.size() == 1);
    on.acquire("b");
    REQUIRE(on.served.size() == 1);

    on.time.time += past_resets;
    on.look_until([&on] { return on.served.size() > 1; });

    CHECK(on.closed == 1);
    CHECK(on.made.size() == 2);
    CHECK(on.served == std::vector<std::string>{"a", "b"});
    CHECK(on.refused.empty());
    SECTION("an answer that comes later is passed over") {
        on.unanswered.front()->on_finished(postgres::transaction_status::idle);
        on.settle();
        CHECK(on.pool->open_connections() == 1);
        CHECK(on.closed == 1);
    }
}

// Guards against a storm of new connections after the answers on many were lost.
TEST_CASE(
    "A pool replaces connections that it gave up one after the other",
    "[pool][deadlines][pace]") {
    constexpr std::size_t limit = 4;
    pool_stage on(limit);
    on.answers_resets = false;
    for (std::size_t i = 0; i < limit; ++i) {
        on.acquire("a");
    }
    auto const ends_by_reset = GENERATE(true, false);
    if (ends_by_reset) {
        on.give_back_dirty(limit);
    }
    for (std::size_t i = 0; i < limit; ++i) {
        on.acquire("b");
    }
    REQUIRE(on.made.size() == limit);

    on.time.time += past_resets;
    for (std::size_t i = 0; i < limit && !ends_by_reset; ++i) {
        on.leases[i]->give_up(); // A statement had no answer.
    }
    on.look_until([&on] { return on.made.size() > limit; });

    CHECK(on.closed == limit);
    CHECK(on.made.size() == limit + 1);
    on.time.time += std::chrono::milliseconds(100);
    on.look_until([&on] { return on.made.size() > limit + 1; });
    CHECK(on.made.size() == limit + 2);
    CHECK(on.refused.empty());
}

TEST_CASE("A closed pool counts no connection that it gave up", "[pool]") {
    pool_stage on(2);
    on.answers_resets = false;
    on.acquire("a");
    on.give_back_dirty(1);
    on.pool->close();
    CHECK(on.closed == 1);
    CHECK(on.pool->open_connections() == 0);
}
