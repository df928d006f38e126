#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <support/fleet_stage.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

/// Repeats a statement until it succeeds; the last reply if it never does.
line_caller::reply
insist(fleet_stage& stage, std::string const& database, std::string const& text) {
    line_caller::reply last;
    eventually([&] {
        line_caller caller(stage.caller_port(0));
        caller.start(database, "key-1");
        last = caller.query(text);
        return !last.closed && last.error.empty();
    });
    return last;
}

} // namespace

TEST_CASE("A session reads its own writes on either host", "[front]") {
    fleet_stage stage;
    for (std::size_t host = 0; host < 2; ++host) {
        line_caller caller(stage.caller_port(host));
        CHECK(caller.start("tallies", "key-1").state == "I");
        auto const written = caller.query("WRITE weir " + std::to_string(host));
        CHECK(written.error.empty());
        CHECK_FALSE(written.signature.empty());
        CHECK(caller.query("READ weir").rows.at(0) == std::to_string(host));
    }
}

TEST_CASE("A transaction runs whole and is seen once committed", "[front]") {
    fleet_stage stage;
    line_caller caller(stage.caller_port(0));
    caller.start("alerts", "key-1");
    CHECK(caller.query("BEGIN").state == "T");
    CHECK(caller.query("WRITE a 1").state == "T");
    CHECK(caller.query("READ a").rows.at(0) == "1");
    line_caller other(stage.caller_port(1));
    other.start("alerts", "key-1");
    CHECK(other.query("READ a").rows.at(0) == "-");
    auto const committed = caller.query("COMMIT");
    CHECK(committed.state == "I");
    CHECK_FALSE(committed.signature.empty());
    CHECK(other.query("READ a").rows.at(0) == "1");
    caller.query("BEGIN");
    caller.query("WRITE a 2");
    CHECK(caller.query("ROLLBACK").state == "I");
    CHECK(other.query("READ a").rows.at(0) == "1");
}

TEST_CASE("Callers without a right are refused, others are not touched", "[front]") {
    fleet_stage stage(1);
    line_caller good(stage.caller_port(0));
    good.start("alerts", "key-1");
    CHECK(line_caller(stage.caller_port(0)).start("alerts", "key-9").error == "DENIED");
    CHECK(
        line_caller(stage.caller_port(0)).start("nowhere", "key-1").error ==
        "NODATABASE");
    line_caller odd(stage.caller_port(0));
    odd.start("alerts", "key-1");
    auto const reply = odd.raw("QUERY q1 READ a\nQUERY q2 WRITE a 1\r\n");
    CHECK(reply.error == "MALFORMED");
    line_caller posing(stage.caller_port(0));
    posing.start("alerts", "key-1");
    CHECK(posing.raw("QUERY - READ a\r\n").error == "MALFORMED");
    CHECK(good.query("READ a").rows.at(0) == "-");
}

TEST_CASE("Session values and prepared names stay with their session", "[front]") {
    fleet_stage stage(1);
    line_caller first(stage.caller_port(0));
    line_caller second(stage.caller_port(0));
    first.start("alerts", "key-1");
    second.start("alerts", "key-1");
    first.query("SET zone north");
    second.query("SET lang en");
    first.query("PREPARE s WRITE q1");
    second.query("PREPARE s READ q1");
    for (int i = 0; i < 5; ++i) {
        CHECK(first.query("READ a").rows.at(1) == "values zone=north");
        CHECK(second.query("READ a").rows.at(1) == "values lang=en");
        CHECK(first.query("EXECUTE s item " + std::to_string(i)).error.empty());
        CHECK(second.query("EXECUTE s item").rows.at(0) == std::to_string(i));
    }
    CHECK(second.query("EXECUTE t item").error == "UNKNOWN");
}

TEST_CASE("Databases are told the team and never the key", "[front]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    caller.start("alerts", "key-1");
    caller.query("READ a");
    line_caller audit(stage.caller_port(0));
    audit.start("alerts", "key-audit");
    audit.query("READ a");
    std::map<std::string, std::size_t> teams;
    stage.with_standins([&] { teams = stage.group->teams(); });
    CHECK(teams.count("hatchery") == 1);
    CHECK(teams.count("audit") == 1);
    CHECK(teams.count("key-1") == 0);
}

TEST_CASE(
    "A primary that dies is replaced and loses no acknowledged write",
    "[front][failover]") {
    fleet_stage stage;
    line_caller caller(stage.caller_port(0));
    caller.start("tallies", "key-1");
    for (int i = 0; i < 20; ++i) {
        REQUIRE(caller.query("WRITE n" + std::to_string(i) + " x").error.empty());
    }
    std::string dead;
    stage.with_standins([&] {
        dead = stage.group->leader();
        stage.group->kill(dead);
    });
    CHECK(insist(stage, "tallies", "WRITE after y").error.empty());
    stage.with_standins([&] {
        CHECK(stage.group->leader() != dead);
        for (int i = 0; i < 20; ++i) {
            CHECK(stage.group->data("n" + std::to_string(i)) == "x");
        }
    });
}

TEST_CASE(
    "A primary that dies is replaced while the store is away", "[front][failover]") {
    fleet_stage stage;
    CHECK(insist(stage, "alerts", "WRITE a 1").error.empty());
    // The host that owns the primary's connections has prepared its token by now.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    std::string dead;
    stage.with_standins([&] {
        dead = stage.group->leader();
        stage.store->set_fault(standin::store_fault::silent);
        stage.group->kill(dead);
    });
    CHECK(insist(stage, "alerts", "WRITE a 2").error.empty());
    stage.with_standins([&] { CHECK(stage.group->leader() != dead); });
}

TEST_CASE("A primary that can commit nothing is replaced", "[front][failover]") {
    fleet_stage stage;
    CHECK(insist(stage, "alerts", "WRITE a 1").error.empty());
    std::string old;
    stage.with_standins([&] {
        old = stage.group->leader();
        for (std::string const& each : stage.group->ids()) {
            stage.group->set_deaf(each, each != old);
        }
    });
    line_caller stuck(stage.caller_port(0));
    stuck.start("alerts", "key-1");
    std::thread writer([&stuck] { stuck.query("WRITE a 2"); });
    CHECK(eventually([&] {
        std::string leader;
        stage.with_standins([&] {
            leader = stage.group->leader();
            if (leader != old) {
                for (std::string const& each : stage.group->ids()) {
                    stage.group->set_deaf(each, false);
                }
            }
        });
        return leader != old;
    }));
    writer.join();
    CHECK(insist(stage, "alerts", "WRITE a 3").error.empty());
}

TEST_CASE("A primary that leaves is replaced while it serves", "[front][failover]") {
    fleet_stage stage;
    CHECK(insist(stage, "alerts", "WRITE a 1").error.empty());
    std::string old;
    stage.with_standins([&] { old = stage.group->leader(); });
    stage.register_databases({old});
    CHECK(eventually([&] {
        bool moved = false;
        stage.with_standins([&] { moved = stage.group->leader() != old; });
        return moved;
    }));
    CHECK(insist(stage, "alerts", "READ a").rows.at(0) == "1");
}

TEST_CASE("A write whose answer is lost is in doubt and runs once", "[front][doubt]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    caller.start("alerts", "key-1");
    stage.with_standins(
        [&] { stage.group->lose_next_answer(stage.group->leader(), true); });
    CHECK(caller.query("WRITE a once").error == "INDOUBT");
    CHECK(caller.query("READ a").rows.at(0) == "once");
    stage.with_standins([&] { CHECK(stage.group->times_written("a", "once") == 1); });
}

TEST_CASE(
    "A read whose answer is lost is answered by another database", "[front][doubt]") {
    fleet_stage stage(1);
    CHECK(insist(stage, "browse", "READ a").error.empty());
    stage.with_standins([&] {
        for (std::string const& each : stage.group->ids()) {
            if (each != stage.group->leader()) {
                stage.group->lose_next_answer(each, false);
            }
        }
    });
    line_caller caller(stage.caller_port(0));
    caller.start("browse", "key-1");
    CHECK(caller.query("READ a").rows.at(0) == "-");
}

TEST_CASE(
    "Replicas that receive nothing don't serve reads that are too old",
    "[front][stale]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    caller.start("tallies", "key-1");
    REQUIRE(caller.query("WRITE a 1").error.empty());
    std::string deaf;
    stage.with_standins([&] {
        for (std::string const& each : stage.group->ids()) {
            deaf = each != stage.group->leader() ? each : deaf;
        }
        stage.group->set_deaf(deaf, true);
    });
    for (int i = 2; i < 30; ++i) {
        REQUIRE(caller.query("WRITE a " + std::to_string(i)).error.empty());
        CHECK(caller.query("READ a").rows.at(0) == std::to_string(i));
    }
}

TEST_CASE(
    "A withdrawn key stops open sessions, and their transactions", "[front][config]") {
    fleet_stage stage;
    line_caller idle(stage.caller_port(0));
    idle.start("alerts", "key-1");
    line_caller inside(stage.caller_port(1));
    inside.start("alerts", "key-1");
    inside.query("BEGIN");
    inside.query("WRITE a 1");
    stage.configure({"key-2"});
    CHECK(eventually([&] {
        return line_caller(stage.caller_port(0)).start("alerts", "key-1").error ==
                   "DENIED" &&
               line_caller(stage.caller_port(1)).start("alerts", "key-1").error ==
                   "DENIED";
    }));
    CHECK(idle.query("READ a").error == "DENIED");
    CHECK(inside.query("COMMIT").error == "DENIED");
    stage.with_standins([&] { CHECK(stage.group->data("a").empty()); });
}

TEST_CASE(
    "A host that the store turns away learns from another host", "[front][config]") {
    fleet_stage stage(1);
    stage.add_host(false);
    line_caller caller(stage.caller_port(1));
    CHECK(caller.start("alerts", "key-1").state == "I");
    CHECK(caller.query("WRITE a 1").error.empty());
    stage.configure({"key-1"}, 10000, true);
    CHECK(eventually([&] {
        return line_caller(stage.caller_port(1)).start("added", "key-1").state == "I";
    }));
}

TEST_CASE("Service goes on while the store is away, in whatever way", "[front][store]") {
    auto const fault = GENERATE(
        standin::store_fault::unavailable, standin::store_fault::silent,
        standin::store_fault::answer_lost);
    fleet_stage stage;
    stage.with_standins([&] { stage.store->set_fault(fault); });
    for (int i = 0; i < 20; ++i) {
        line_caller caller(stage.caller_port(static_cast<std::size_t>(i % 2)));
        REQUIRE(caller.start("tallies", "key-1").state == "I");
        CHECK(caller.query("WRITE a " + std::to_string(i)).error.empty());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    stage.with_standins([&] { stage.store->set_fault(standin::store_fault::none); });
    stage.configure({"key-1"}, 10000, true);
    CHECK(eventually([&] {
        return line_caller(stage.caller_port(0)).start("added", "key-1").state == "I";
    }));
}

TEST_CASE(
    "A team over its rate is refused at once, with a time to come back",
    "[front][quota]") {
    fleet_stage stage;
    stage.configure({"key-1"}, 5);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    line_caller caller(stage.caller_port(0));
    caller.start("alerts", "key-1");
    std::size_t refused = 0;
    std::string text;
    for (int i = 0; i < 100; ++i) {
        auto const reply = caller.query("READ a");
        refused += reply.error == "BUSY" ? 1 : 0;
        text = reply.error == "BUSY" ? reply.error_text : text;
    }
    CHECK(refused > 50);
    CHECK(text.find("retry_after_ms=") != std::string::npos);
    line_caller audit(stage.caller_port(0));
    audit.start("alerts", "key-audit");
    CHECK(audit.query("READ a").error.empty());
}

TEST_CASE("A transaction that stays idle is ended, and says so", "[front]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    caller.start("alerts", "key-1");
    caller.query("BEGIN");
    CHECK(caller.query("WRITE a 1").error.empty());
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    CHECK(caller.query("READ a").error == "ABORTED");
    CHECK(caller.query("ROLLBACK").state == "I");
    CHECK(caller.query("READ a").rows.at(0) == "-");
}

TEST_CASE(
    "A host that stops cuts no request and lets transactions end", "[front][stop]") {
    fleet_stage stage;
    line_caller inside(stage.caller_port(0));
    inside.start("alerts", "key-1");
    inside.query("BEGIN");
    REQUIRE(inside.query("WRITE a 1").error.empty());
    std::thread stopping([&] { stage.stop_host(0); });
    CHECK(eventually([&] { return stage.readiness(0) != 200; }));
    CHECK(inside.query("WRITE b 2").error.empty());
    CHECK(inside.query("COMMIT").error.empty());
    line_caller elsewhere(stage.caller_port(1));
    elsewhere.start("alerts", "key-1");
    CHECK(elsewhere.query("READ a").rows.at(0) == "1");
    stopping.join();
    CHECK(inside.query("READ a").closed);
}

TEST_CASE("Histories under deaths of primaries keep every promise", "[front][history]") {
    fleet_stage stage;
    std::atomic<bool> stop{false};
    std::atomic<std::size_t> acknowledged{0};
    std::atomic<std::size_t> stale{0};
    std::vector<std::map<std::string, std::string>> kept(4);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < kept.size(); ++i) {
        callers.emplace_back([&, i] {
            std::string const item = "c" + std::to_string(i);
            int number = 0;
            while (!stop) {
                line_caller caller(stage.caller_port(i % 2));
                if (caller.start("tallies", "key-1").state != "I") {
                    continue;
                }
                for (int k = 0; k < 10 && !stop; ++k) {
                    std::string const data = std::to_string(++number);
                    auto const written = caller.query("WRITE " + item + " " + data);
                    if (written.closed || !written.error.empty()) {
                        break;
                    }
                    kept[i][item] = data;
                    ++acknowledged;
                    auto const read = caller.query("READ " + item);
                    stale += read.error.empty() && !read.closed && read.rows.at(0) != data
                                 ? 1
                                 : 0;
                }
            }
        });
    }
    for (int round = 0; round < 3; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        std::string dead;
        stage.with_standins([&] {
            dead = stage.group->leader();
            stage.group->kill(dead);
        });
        CHECK(eventually([&] {
            bool moved = false;
            stage.with_standins([&] { moved = stage.group->leader() != dead; });
            return moved;
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        stage.with_standins([&] { stage.group->revive(dead); });
        stage.register_databases();
    }
    stop = true;
    for (std::thread& each : callers) {
        each.join();
    }
    CHECK(acknowledged > 50);
    CHECK(stale == 0);
    stage.with_standins([&] {
        for (auto const& each : kept) {
            for (auto const& [item, data] : each) {
                // A later write in doubt may have taken its place, an older one may not.
                CHECK(std::stoi(stage.group->data(item)) >= std::stoi(data));
                CHECK(stage.group->times_written(item, data) == 1);
            }
        }
    });
}

TEST_CASE(
    "A change is in force though the watch of the configuration fell silent",
    "[front][configuration]") {
    fleet_stage stage(1);
    // The host waits for changes by now.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    stage.with_standins([&] { stage.store->silence_watches(); });
    stage.configure({"key-1"}, 10000, true);
    CHECK(eventually([&] {
        return line_caller(stage.caller_port(0)).start("added", "key-1").error.empty();
    }));
}

TEST_CASE(
    "A configuration that a watch has brought is not read a second time",
    "[front][configuration]") {
    fleet_stage stage(1);
    auto const reads = [&stage] {
        std::size_t count = 0;
        stage.with_standins([&] { count = stage.store->reads_of("op"); });
        return count;
    };
    std::size_t const before = reads();
    stage.configure({"key-1"}, 10000, true);
    CHECK(eventually([&] {
        return line_caller(stage.caller_port(0)).start("added", "key-1").error.empty();
    }));
    stage.configure({"key-1", "key-2"}, 10000, true);
    CHECK(eventually([&] {
        return line_caller(stage.caller_port(0)).start("added", "key-2").error.empty();
    }));
    CHECK(reads() == before);
}

TEST_CASE(
    "A change is in force after the store came back from an older copy",
    "[front][configuration]") {
    fleet_stage stage;
    auto const accepts = [&stage](std::size_t host, std::string const& database) {
        return line_caller(stage.caller_port(host))
            .start(database, "key-1")
            .error.empty();
    };
    stage.with_standins([&] { stage.store->keep_copy(); });
    // The versions of the new era stay below these.
    for (int i = 0; i < 20; ++i) {
        stage.configure({"key-1"});
    }
    stage.configure({"key-1", "key-2"});
    CHECK(eventually([&] {
        return line_caller(stage.caller_port(1)).start("alerts", "key-2").error.empty();
    }));
    stage.with_standins([&] { stage.store->restore(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (std::size_t host : {0U, 1U}) {
        // What the copy says is older.
        CHECK(
            line_caller(stage.caller_port(host)).start("alerts", "key-2").error.empty());
    }
    stage.configure_again();
    stage.configure({"key-1"}, 10000, true);
    for (std::size_t host : {0U, 1U}) {
        CHECK(eventually([&] { return accepts(host, "added"); }));
    }
}
