#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <memory>
#include <persimmonpoint/engine/boot_clock.hpp>
#include <persimmonpoint/engine/caller_session.hpp>
#include <persimmonpoint/engine/dispatcher.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::engine;
using trompeloeil::_;

namespace {

constexpr char const* database_name = "alerts";

class mock_channel : public caller_channel {
public:
    MAKE_MOCK0(accept, void(), override);
    MAKE_MOCK2(refuse, void(statement_error, std::string_view), override);
    MAKE_MOCK1(answer, void(caller_answer const&), override);
    MAKE_CONST_MOCK0(all_sent, bool(), override);
    MAKE_MOCK1(dismiss, void(std::string_view), override);
};

class mock_connector : public upstream_connector {
public:
    MAKE_MOCK0(make, std::shared_ptr<upstream_connection>(), override);
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

/// A session on a route that is open to all, which no database serves.
class session_stage {
public:
    session_stage()
        : orders(
              this->loop,
              this->connector,
              this->time,
              this->observer,
              this->view,
              "a",
              database_bounds{std::chrono::seconds(7)}),
          runs{this->loop, this->time, this->view, this->orders, "zone"},
          quotas(this->loop, this->time, this->view, "a", {}),
          context{this->runs, this->quotas, this->counts},
          channel(std::make_shared<mock_channel>()) {
        auto configuration = std::make_shared<fleet_configuration>();
        served_route route;
        route.name = "route";
        route.database = database_name;
        route.group = "group";
        route.allow_anonymous = true;
        route.statement_timeout = std::chrono::seconds(10);
        route.target_latency = std::chrono::seconds(8);
        configuration->routes.emplace(database_name, route);
        this->view.configuration = configuration;
        this->session = std::make_shared<caller_session>(
            this->context, this->channel, [](caller_session*) {});
        REQUIRE_CALL(*this->channel, accept());
        this->session->on_start(database_name, "");
    }

    void send(statement_verb verb, std::string name = {}) {
        this->session->on_statement(statement{"id", "TEXT", verb, std::move(name), "x"});
    }

    boost::asio::io_context loop;
    boot_clock time;
    mock_connector connector;
    mock_observer observer;
    fleet_view view;
    dispatcher orders;
    run_context runs;
    quota_keeper quotas;
    traffic_counts counts;
    session_context context;
    std::shared_ptr<mock_channel> channel;
    std::shared_ptr<caller_session> session;
};

} // namespace

// Guards against a caller that sends its next request with each answer, is never found
// idle while its host stops, and is cut off as the host exits.
TEST_CASE("A session of a stopping host ends with the answer", "[session][stop]") {
    session_stage stage;
    stage.context.keeps_sessions = false;
    trompeloeil::sequence order;
    REQUIRE_CALL(*stage.channel, answer(_)).IN_SEQUENCE(order);
    REQUIRE_CALL(*stage.channel, dismiss(_)).IN_SEQUENCE(order);
    stage.send(statement_verb::set, "name");
    stage.session->dismiss_if_idle();
}

TEST_CASE(
    "A session of a stopping host ends behind its transaction, not within",
    "[session][stop]") {
    session_stage stage;
    stage.context.keeps_sessions = false;
    {
        REQUIRE_CALL(*stage.channel, answer(_));
        FORBID_CALL(*stage.channel, dismiss(_));
        stage.send(statement_verb::begin);
        stage.session->dismiss_if_idle();
    }
    REQUIRE_CALL(*stage.channel, answer(_));
    REQUIRE_CALL(*stage.channel, dismiss(_));
    stage.send(statement_verb::rollback);
}

// Guards against a session and a channel that hold each other for good.
TEST_CASE("A session whose host is gone lets go of its channel", "[session][stop]") {
    session_stage stage;
    stage.session->abandon();
    CHECK(stage.channel.use_count() == 1);
}

// Guards against a statement that is cut off as its host exits.
TEST_CASE(
    "Shortly before its host exits a session refuses statements as not run",
    "[session][stop]") {
    session_stage stage;
    stage.context.accepts_work = false;
    {
        REQUIRE_CALL(*stage.channel, answer(_))
            .WITH(_1.error == statement_error::busy)
            .WITH(_1.state == transaction_state::idle);
        stage.send(statement_verb::write);
    }
    REQUIRE_CALL(*stage.channel, answer(_)).WITH(_1.error == statement_error::none);
    stage.send(statement_verb::begin);
    auto const verb = GENERATE(statement_verb::read, statement_verb::commit);
    REQUIRE_CALL(*stage.channel, answer(_))
        .WITH(_1.error == statement_error::aborted)
        .WITH((_1.state == transaction_state::idle) == (verb == statement_verb::commit));
    stage.send(verb);
}

TEST_CASE(
    "A request that waits for a database is answered as the host exits",
    "[session][stop]") {
    session_stage stage;
    FORBID_CALL(*stage.channel, answer(_));
    stage.send(statement_verb::write);
    ALLOW_CALL(*stage.channel, all_sent()).RETURN(true);
    CHECK(stage.session->owes_answer());
    REQUIRE_CALL(*stage.channel, answer(_)).WITH(_1.error == statement_error::busy);
    stage.session->end_request();
    CHECK_FALSE(stage.session->owes_answer());
}

TEST_CASE(
    "A refusal tells only the start of a long name of a database", "[session][bounds]") {
    session_stage stage;
    std::string const wanted(1'000'000, 'd');
    auto const other = std::make_shared<caller_session>(
        stage.context, stage.channel, [](caller_session*) {});
    REQUIRE_CALL(*stage.channel, refuse(statement_error::no_database, _))
        .WITH(_2.size() < 1000);
    other->on_start(wanted, "");
}

TEST_CASE("A caller waits for the configuration of a host that starts", "[session]") {
    session_stage stage;
    stage.context.knows_configuration = false;
    auto const channel = std::make_shared<mock_channel>();
    auto const waiting =
        std::make_shared<caller_session>(stage.context, channel, [](caller_session*) {});
    {
        FORBID_CALL(*channel, accept());
        FORBID_CALL(*channel, refuse(_, _));
        waiting->on_start("no such database", "");
    }
    SECTION("and is admitted by it") {
        REQUIRE_CALL(*channel, refuse(statement_error::no_database, _));
        stage.context.knows_configuration = true;
        waiting->configuration_known();
    }
    SECTION("and is refused as not run if it doesn't come") {
        REQUIRE_CALL(*channel, refuse(statement_error::busy, _));
        waiting->configuration_missing();
    }
}
