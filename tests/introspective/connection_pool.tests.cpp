#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
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

instant soon() {
    return std::chrono::steady_clock::now() + std::chrono::seconds(60);
}

/// A pool over mocks that connect at once, unless told to fail.
struct pool_stage {
    explicit pool_stage(std::size_t limit) {
        pool_settings settings;
        settings.limit = limit;
        this->pool = std::make_shared<connection_pool>(
            this->loop, "db", [this] { return this->make(); }, settings,
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
        observer->on_finished(postgres::transaction_status::idle);
    }

    /// Keeps what it gets; the name tells who was served.
    void acquire(std::string const& team) {
        this->pool->acquire(
            team, soon(), [this, team](result<std::unique_ptr<connection_lease>> got) {
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

    boost::asio::io_context loop;
    std::shared_ptr<connection_pool> pool;
    std::vector<std::shared_ptr<mock_connection>> made;
    std::vector<std::unique_ptr<trompeloeil::expectation>> expectations;
    std::vector<std::unique_ptr<connection_lease>> leases;
    std::vector<std::string> served;
    std::vector<std::string> refused;
    std::vector<std::string> resets;
    int closed = 0;
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
