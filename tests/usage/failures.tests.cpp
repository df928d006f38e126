#include <catch2/catch.hpp>
#include <support/stage.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::stage;

namespace {

app::sql_client caller_with_counter(stage& on) {
    app::sql_client client = on.connect();
    REQUIRE(client.run("CREATE TABLE counts (ladder text PRIMARY KEY, fish int)").ok);
    REQUIRE(client.run("INSERT INTO counts VALUES ('a', 0)").ok);
    return client;
}

std::string fish(app::sql_client& client) {
    app::caller_answer const read =
        client.run("SELECT fish FROM counts WHERE ladder = 'a'");
    INFO(read.message);
    return read.ok && read.rows.size() == 1 ? read.rows[0][0].value_or("NULL")
                                            : read.message;
}

char const* const increment = "UPDATE counts SET fish = fish + 1 WHERE ladder = 'a'";

} // namespace

TEST_CASE(
    "A dead primary is replaced and nothing acknowledged is lost",
    "[failure][failover]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    REQUIRE(client.run(increment).ok);
    standin::database& dead = on.primary();
    on.standins.run([&] { dead.die(); });

    app::caller_answer const written = client.run(increment);
    INFO(written.message);
    CHECK(written.ok);
    CHECK(fish(client) == "2");
    app::sql_client other = on.connect(1);
    CHECK(fish(other) == "2");

    SECTION("the old primary returns as a replica") {
        on.standins.run([&] { dead.restart(); });
        CHECK(on.eventually([&] { return !dead.is_primary(); }));
        CHECK(on.eventually([&] {
            auto const* now = on.standins.primary("passcount-db");
            return now != nullptr && dead.end_of_log() == now->end_of_log();
        }));
    }
}

TEST_CASE(
    "With the store down a dead primary is replaced all the same",
    "[failure][failover]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    on.standins.run([&] { on.standins.platform().set_down(true); });
    standin::database& dead = on.primary();
    on.standins.run([&] { dead.die(); });
    CHECK(client.run(increment).ok);
    CHECK(fish(client) == "1");
}

TEST_CASE(
    "A primary cut off from its replicas acknowledges nothing", "[failure][failover]") {
    // Holds the guard failover_coordinator::confirm_durable: the old primary still
    // answers every statement.
    stage on;
    app::sql_client client = caller_with_counter(on);
    standin::database& old = on.primary();
    on.standins.run([&] { old.set_cut_from_peers(true); });
    app::caller_answer const cut = client.run(increment);
    bool const truthful = cut.ok || cut.detail == "outcome unknown";
    CHECK(truthful);
    CHECK(on.eventually([&] {
        auto const* now = on.standins.primary("passcount-db");
        return now != nullptr && now != &old;
    }));
    app::sql_client other = on.connect(1);
    std::string const before = fish(other);
    CHECK(before == (cut.ok ? "1" : "0"));

    SECTION("back again, it drops what it wrote alone") {
        on.standins.run([&] { old.set_cut_from_peers(false); });
        CHECK(on.eventually([&] {
            // Between two terms nobody leads.
            auto const* now = on.standins.primary("passcount-db");
            return now != nullptr && !old.is_primary() &&
                   old.end_of_log() == now->end_of_log();
        }));
        CHECK(fish(other) == before);
    }
}

TEST_CASE(
    "A request with an id lands once, through a failover and on any host",
    "[failure][once]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    REQUIRE(client.run("SET persimmonpoint.request_id = 'r-1'").ok);
    standin::database& old = on.primary();

    SECTION("sent again on another host") {
        app::caller_answer const first = client.run(
            "UPDATE counts SET fish = fish + 1 WHERE ladder = 'a' RETURNING fish");
        REQUIRE(first.ok);
        app::sql_client other = on.connect(1);
        REQUIRE(other.run("SET persimmonpoint.request_id = 'r-1'").ok);
        app::caller_answer const second = other.run(
            "UPDATE counts SET fish = fish + 1 WHERE ladder = 'a' RETURNING fish");
        REQUIRE(second.ok);
        CHECK(first.rows == second.rows);
        CHECK(second.tag == "UPDATE 1");
        CHECK(fish(other) == "1");
    }
    SECTION("its answer lost with the primary") {
        on.standins.run([&] { old.set_cut_from_peers(true); });
        app::caller_answer const answer = client.run(increment);
        INFO(answer.message);
        CHECK(answer.ok);
        CHECK(fish(client) == "1");
    }
    SECTION("its connection gone silent") {
        REQUIRE(client.run("SELECT 1").ok);
        on.standins.run([&] { old.silence_open_connections(); });
        app::caller_answer const answer = client.run(increment);
        INFO(answer.message);
        CHECK(answer.ok);
        CHECK(fish(client) == "1");
    }
    SECTION("the same id with another statement is an error") {
        REQUIRE(client.run(increment).ok);
        app::caller_answer const other =
            client.run("UPDATE counts SET fish = 100 WHERE ladder = 'a'");
        CHECK(other.sqlstate == "22023");
        CHECK(fish(client) == "1");
    }
    SECTION("two teams may use the same id") {
        REQUIRE(client.run(increment).ok);
        app::sql_client other(on.target(1, "audit"));
        REQUIRE(other.run("SET persimmonpoint.request_id = 'r-1'").ok);
        CHECK(other.run(increment).ok);
        CHECK(fish(client) == "2");
    }
    SECTION("a whole transaction, sent again") {
        for (std::size_t host = 0; host < 2; ++host) {
            app::sql_client again = on.connect(host);
            REQUIRE(again.run("SET persimmonpoint.request_id = 't-1'").ok);
            REQUIRE(again.run("BEGIN").ok);
            REQUIRE(again.run(increment).ok);
            REQUIRE(again.run(increment).ok);
            app::caller_answer const ended = again.run("COMMIT");
            INFO(ended.message);
            CHECK(ended.tag == "COMMIT");
        }
        CHECK(fish(client) == "2");
    }
}

TEST_CASE("A statement on a silent connection is bounded", "[failure][silent]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    REQUIRE(client.run(increment).ok);
    on.standins.run([&] {
        for (standin::database* each : on.standins.databases("passcount-db")) {
            each->silence_open_connections();
        }
    });
    SECTION("a read is tried elsewhere") {
        CHECK(fish(client) == "1");
    }
    SECTION("a write without an id ends with an unknown outcome") {
        app::caller_answer const answer = client.run(increment);
        bool const truthful = answer.ok || answer.detail == "outcome unknown";
        CHECK(truthful);
        // The connection never reached the database again: it did not run.
        CHECK(fish(client) == "1");
    }
}

TEST_CASE(
    "A transaction that a silent host left is ended by the others", "[failure][orphan]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    app::sql_client other = on.connect(1);
    REQUIRE(client.run("BEGIN").ok);
    REQUIRE(client.run(increment).ok);
    // The database's side of the connection stays open, and its row stays locked.
    standin::database& primary = on.primary();
    on.standins.run([&] { primary.silence_open_connections(); });
    on.hosts[0]->stop();
    CHECK(on.eventually([&] {
        return on.standins.primary("passcount-db")->open_transaction_count() == 0;
    }));
    CHECK(other.run(increment).ok);
    CHECK(fish(other) == "1");
}

TEST_CASE("A session that lost its connection in a transaction is told so", "[failure]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    REQUIRE(client.run("BEGIN").ok);
    REQUIRE(client.run(increment).ok);
    standin::database& dead = on.primary();
    on.standins.run([&] { dead.die(); });
    app::caller_answer const lost = client.run(increment);
    CHECK_FALSE(lost.ok);
    CHECK(lost.detail == "not run");
    CHECK(client.run("SELECT 1").sqlstate == "25P02");
    CHECK(client.run("COMMIT").tag == "ROLLBACK");
    CHECK(fish(client) == "0");
}

TEST_CASE(
    "A replica that lags is not read below the session's position", "[failure][read]") {
    // Holds the guard check_floor(): the replicas answer reads all the time.
    stage on;
    app::sql_client client = caller_with_counter(on);
    on.standins.run([&] {
        on.standins.primary("passcount-db")
            ->set_replication_lag(standin::microseconds(30'000));
    });
    for (int i = 1; i <= 10; ++i) {
        REQUIRE(client.run(increment).ok);
        CHECK(fish(client) == std::to_string(i));
    }
}

TEST_CASE("A withdrawn key stops working on open connections", "[failure][keys]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    app::sql_client other(on.target(1, "audit"));
    REQUIRE(client.run("BEGIN").ok);
    REQUIRE(client.run(increment).ok);
    on.standins.run([&] {
        on.standins.platform().write(
            "catalog/key/hatchery-1",
            R"({"team": "hatchery", "salt": "x", "digest": "withdrawn"})");
    });
    CHECK(on.soon([&] { return !client.run("SELECT 1").ok; }));
    CHECK(on.eventually([&] {
        return on.standins.primary("passcount-db")->open_transaction_count() == 0;
    }));
    CHECK_FALSE(on.connect().is_connected());
    CHECK(fish(other) == "0");
}

TEST_CASE("No upstream ever sees a caller's key", "[keys]") {
    stage on;
    on.standins.run([&] {
        for (standin::database* each : on.standins.databases("passcount-db")) {
            each->watch_for(on.standins.key_of("hatchery"));
        }
    });
    app::sql_client client = caller_with_counter(on);
    REQUIRE(client.run(increment).ok);
    CHECK(client.run("SELECT fish FROM counts WHERE ladder = $1", {"a"}).ok);
    on.standins.run([&] {
        for (standin::database* each : on.standins.databases("passcount-db")) {
            CHECK_FALSE(each->has_seen_watched_text());
        }
    });
}

TEST_CASE(
    "Service goes on while the store is down, and its answers are lost",
    "[failure][store]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    SECTION("down") {
        on.standins.run([&] { on.standins.platform().set_down(true); });
        std::this_thread::sleep_for(milliseconds(500));
        CHECK(client.run(increment).ok);
        app::sql_client fresh = on.connect(1);
        CHECK(fish(fresh) == "1");
    }
    SECTION("answers lost") {
        on.standins.run([&] { on.standins.platform().lose_next_answers(5); });
        CHECK(client.run(increment).ok);
        on.standins.run([&] {
            on.standins.platform().write(
                "catalog/route/late", R"({"group": "passcount-db", "open": true})");
        });
        CHECK(on.soon([&] {
            app::caller_target where = on.target();
            where.route = "late";
            return app::sql_client(where).is_connected();
        }));
    }
}

TEST_CASE("A planned stop cuts no request in flight", "[failure][drain]") {
    stage on;
    app::sql_client client = caller_with_counter(on);
    REQUIRE(client.run("BEGIN").ok);
    REQUIRE(client.run(increment).ok);
    std::thread drain([&] { on.hosts[0]->drain(seconds(10)); });
    std::this_thread::sleep_for(milliseconds(100));
    // No new caller, but the open transaction goes on to its end.
    CHECK_FALSE(on.connect().is_connected());
    CHECK(client.run(increment).ok);
    CHECK(client.run("COMMIT").tag == "COMMIT");
    drain.join();
    CHECK_FALSE(client.run("SELECT 1").ok);
    app::sql_client other = on.connect(1);
    CHECK(fish(other) == "2");
}

TEST_CASE(
    "A write does not wait for a primary that hangs and was replaced",
    "[failure][failover]") {
    // Holds the guard is_superseded(): the old primary answers again only after a minute,
    // past the request's own timeout.
    stage on;
    app::sql_client client = caller_with_counter(on);
    standin::database& hung = on.primary();
    on.standins.run([&] { hung.pause(std::chrono::minutes(1)); });
    SECTION("with an id it is settled") {
        REQUIRE(client.run("SET persimmonpoint.request_id = 'h-1'").ok);
        app::caller_answer const answer = client.run(increment);
        INFO(answer.message);
        CHECK(answer.ok);
        CHECK(fish(client) == "1");
    }
    SECTION("without one its outcome is unknown, and the next one is served") {
        app::caller_answer const answer = client.run(increment);
        bool const truthful = answer.ok || answer.detail == "outcome unknown";
        CHECK(truthful);
        CHECK(client.run(increment).ok);
    }
}
