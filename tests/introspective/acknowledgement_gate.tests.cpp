#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <persimmonpoint/core/recovery/acknowledgement_gate.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};
constexpr std::uint64_t time_of_day_ms = 1'800'000'000'000;

registered_database
listed(std::string const& id, std::uint64_t started_ms = 1, bool leaving = false) {
    return {id, "g", {}, {}, 1, leaving, id == "p", started_ms};
}

database_state
state(std::uint64_t offset, std::uint64_t held_term = 0, std::uint64_t term = 3) {
    return {false, term, {term, offset}, held_term};
}

/// A group whose primary p and replicas r1 and r2 have run for long.
struct settled_group {
    settled_group() { this->list({listed("p"), listed("r1"), listed("r2")}); }

    void list(std::vector<registered_database> const& databases) {
        this->gate.set_databases(databases, this->now, time_of_day_ms);
    }
    void commit(std::uint64_t offset) {
        this->gate.add(
            ++this->last, {"p", log_position{3, offset}, this->now + seconds(2)});
    }
    void report(std::string const& id, std::optional<database_state> const& answer) {
        this->gate.reported(id, answer, this->now, this->now);
    }
    void report_all(std::map<std::string, std::optional<database_state>> const& answers) {
        for (auto const& each : answers) {
            this->report(each.first, each.second);
        }
    }
    /// Verdicts on what was decided; "r1" for a commit that r1 lets pass.
    std::vector<std::string> decide() {
        std::vector<std::string> out;
        for (gate_decision const& each : this->gate.decide(this->now)) {
            out.push_back(each.verdict == gate_verdict::pass ? each.replica : "in doubt");
        }
        return out;
    }

    instant now = start;
    acknowledgement_gate gate;
    std::uint64_t last = 0;
};

using verdicts = std::vector<std::string>;

} // namespace

TEST_CASE(
    "An acknowledgement passes once a replica that every host knows has the commit",
    "[acknowledgement-gate]") {
    settled_group group;
    group.commit(41);
    CHECK(group.decide().empty());

    SECTION("as soon as one shows it") {
        group.report("r1", state(40));
        CHECK(group.decide().empty());
        group.report("r2", state(41));
        CHECK(group.decide() == verdicts{"r2"});
        CHECK(group.gate.waiting() == 0);
    }
    SECTION("not because the primary shows it") {
        group.report("p", state(41));
        CHECK(group.decide().empty());
    }
    SECTION("not by a position of another term") {
        group.report("r1", state(50, 0, 2));
        CHECK(group.decide().empty());
    }
    SECTION("nor later than its caller must be answered") {
        group.now += seconds(2);
        CHECK(group.decide() == verdicts{"in doubt"});
    }
    SECTION("and is in doubt once another database was promoted") {
        group.report("r1", state(50, 0, 4));
        CHECK(group.decide() == verdicts{"in doubt"});
    }
}

TEST_CASE(
    "A commit whose position is unknown is in doubt at once", "[acknowledgement-gate]") {
    settled_group group;
    group.gate.add(1, {"p", std::nullopt, group.now + seconds(2)});
    CHECK(group.decide() == verdicts{"in doubt"});
}

TEST_CASE(
    "A replica that joined lately lets no acknowledgement pass: a host that promotes may "
    "not know it",
    "[acknowledgement-gate]") {
    settled_group group;
    group.now += seconds(60);
    group.list({listed("p"), listed("r1"), listed("r2"), listed("new")});
    instant const joined = group.now;
    group.commit(41);
    group.report("new", state(41));
    CHECK(group.decide().empty());

    auto const at_age = [&](duration age) {
        group.now = joined + age;
        group.gate.decide(group.now + seconds(60)); // What waited is over.
        group.commit(41);
    };

    SECTION("until it has been listed for some time") {
        at_age(settling_time - milliseconds(1));
        group.report_all({{"r1", state(40)}, {"r2", state(40)}, {"new", state(41)}});
        CHECK(group.decide().empty());
        at_age(settling_time);
        group.report_all({{"r1", state(40)}, {"r2", state(40)}, {"new", state(41)}});
        CHECK(group.decide() == verdicts{"new"});
    }
    SECTION("by what it showed before, either") {
        group.now = joined + settling_time;
        group.report_all({{"r1", state(40)}, {"r2", state(40)}});
        CHECK(group.decide() == verdicts{"in doubt"});
    }
    SECTION("and not while an older one is held, as a call may yet be carried out") {
        at_age(settling_time);
        group.report_all({{"r1", state(40, 7)}, {"r2", state(40)}, {"new", state(41)}});
        CHECK(group.decide().empty());
    }
    SECTION("nor while it is held itself") {
        at_age(settling_time);
        group.report_all({{"r1", state(40)}, {"r2", state(40)}, {"new", state(41, 7)}});
        CHECK(group.decide().empty());
    }
    SECTION("nor while an older one doesn't answer") {
        at_age(settling_time);
        group.report_all({{"r1", state(40)}, {"r2", std::nullopt}, {"new", state(41)}});
        CHECK(group.decide().empty());
    }
    SECTION("until no call of before can be carried out any more") {
        at_age(seconds(15));
        group.report("new", state(41, 7));
        CHECK(group.decide() == verdicts{"new"});
    }
    SECTION("and anew if its row was gone in between") {
        at_age(seconds(20));
        group.list({listed("p"), listed("r1"), listed("r2")});
        group.list({listed("p"), listed("r1"), listed("r2"), listed("new")});
        group.report_all({{"r1", state(40)}, {"r2", state(40)}, {"new", state(41)}});
        CHECK(group.decide().empty());
    }
    SECTION("and anew if it was started again, which ends a hold") {
        at_age(seconds(20));
        group.list({listed("p"), listed("r1"), listed("r2"), listed("new", 2)});
        group.report_all({{"r1", state(40)}, {"r2", state(40)}, {"new", state(41)}});
        CHECK(group.decide().empty());
    }
}

TEST_CASE(
    "Of replicas that came to be known together, one counts only while the others are "
    "free",
    "[acknowledgement-gate]") {
    settled_group group;
    group.now += seconds(60);
    group.list({listed("p"), listed("a"), listed("b")});
    group.now += settling_time;
    group.commit(41);
    group.report_all({{"a", state(40, 7)}, {"b", state(41)}});
    CHECK(group.decide().empty());
    group.report_all({{"a", state(40)}, {"b", state(41)}});
    CHECK(group.decide() == verdicts{"b"});
}

TEST_CASE(
    "A host that was started lately goes by how long a database has been running",
    "[acknowledgement-gate]") {
    acknowledgement_gate gate;
    std::vector<registered_database> const databases = {
        listed("p"), listed("old", time_of_day_ms - 60'000),
        listed("young", time_of_day_ms - 20'000), listed("new", time_of_day_ms - 12'000),
        listed("unknown", 0)};
    gate.set_databases(databases, start, time_of_day_ms);
    gate.add(1, {"p", log_position{3, 41}, start + seconds(2)});
    gate.reported("young", state(41), start, start);
    gate.reported("new", state(41), start, start);
    gate.reported("unknown", state(41), start, start);
    CHECK(gate.decide(start).empty());
    SECTION("one that runs for long counts") {
        gate.reported("old", state(41), start, start);
        CHECK(gate.decide(start).size() == 1);
    }
    SECTION("one that runs for some time counts while those before it are free") {
        gate.reported("old", state(40), start, start);
        auto const decisions = gate.decide(start);
        REQUIRE(decisions.size() == 1);
        CHECK(decisions.front().replica == "young");
    }
}

TEST_CASE(
    "A replica that leaves stops letting acknowledgements pass long before its log is "
    "gone",
    "[acknowledgement-gate]") {
    settled_group group;
    std::vector<registered_database> const leaving = {
        listed("p"), listed("r1"), listed("r2", 1, true)};
    group.list(leaving);
    group.commit(41);
    group.report("r2", state(41));
    CHECK(group.decide() == verdicts{"r2"});
    group.now += settling_time;
    group.list(leaving);
    group.commit(42);
    group.report("r2", state(42));
    CHECK(group.decide().empty());
    group.report("r1", state(42));
    CHECK(group.decide() == verdicts{"r1"});

    SECTION("and at once for a host that doesn't know since when it leaves") {
        acknowledgement_gate fresh;
        fresh.set_databases(leaving, start, time_of_day_ms);
        fresh.add(1, {"p", log_position{3, 41}, start + seconds(2)});
        fresh.reported("r2", state(41), start, start);
        CHECK(fresh.decide(start).empty());
    }
}

TEST_CASE(
    "A former primary lets no acknowledgement pass at first: a host may be about to "
    "replace it",
    "[acknowledgement-gate]") {
    settled_group group;
    registered_database former = listed("p");
    registered_database next = listed("r1");
    group.gate.add(1, {"r1", log_position{4, 50}, group.now + seconds(20)});
    group.report("p", state(50, 0, 4));
    CHECK(group.decide().empty());

    former.claims_primary = false;
    next.claims_primary = true;
    group.list({former, next, listed("r2")});
    CHECK(group.decide().empty());
    group.now += settling_time;
    group.report_all({{"p", state(50, 0, 4)}, {"r2", state(40, 0, 4)}});
    CHECK(group.decide() == verdicts{"p"});
}

TEST_CASE(
    "Replicas are asked while commits wait, and only one request at a time",
    "[acknowledgement-gate]") {
    using ids = std::vector<std::string>;
    settled_group group;
    CHECK(group.gate.replicas_to_ask(group.now).empty());
    group.commit(41);
    CHECK(group.gate.replicas_to_ask(group.now) == ids({"r1", "r2"}));
    CHECK(group.gate.replicas_to_ask(group.now).empty());

    SECTION("again behind an answer that didn't show it") {
        group.report("r1", state(40));
        CHECK(group.gate.replicas_to_ask(group.now).empty());
        group.now += milliseconds(5);
        CHECK(group.gate.replicas_to_ask(group.now) == ids{"r1"});
    }
    SECTION("again if no answer comes") {
        group.now += milliseconds(150);
        CHECK(group.gate.replicas_to_ask(group.now) == ids({"r1", "r2"}));
    }
    SECTION("not any more once it has passed") {
        group.report("r1", state(41));
        group.decide();
        group.now += seconds(1);
        CHECK(group.gate.replicas_to_ask(group.now).empty());
    }
}
