#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <persimmonpoint/core/recovery/failover_chart.hpp>
#include <persimmonpoint/core/recovery/failover_coordinator.hpp>
#include <rapidcheck.h>
#include <set>
#include <support/fixed_random.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::shared_ptr<chart::chart const> rules() {
    static auto const loaded =
        chart::require("failover", failover_states, failover_events);
    return loaded;
}

group_view three_databases() {
    group_view view;
    view.name = "g";
    view.databases.resize(3);
    view.databases[0].name = "a";
    view.databases[1].name = "b";
    view.databases[2].name = "c";
    return view;
}

/// A database as the protocol between hosts and databases describes it, without SQL.
struct fake_database {
    bool alive = true;
    bool primary = false;
    std::uint64_t term = 1;
    std::string voted_for;
    /// Term and name of each entry.
    std::vector<std::pair<std::uint64_t, int>> log =
        std::vector<std::pair<std::uint64_t, int>>(10, {1, 0});
    instant heard;
    bool cut_from_peers = false;

    log_position end() const { return {this->log.back().first, this->log.size()}; }
    void append(int name) { this->log.emplace_back(this->term, name); }
    void append_many(std::size_t count) {
        this->log.insert(this->log.end(), count, {this->term, 0});
    }
};

/// The group's databases, and any number of hosts that watch them.
class fake_group {
public:
    explicit fake_group(std::size_t host_count, double random = 0.5) : random(random) {
        this->databases[0].primary = true;
        for (std::size_t i = 0; i < host_count; ++i) {
            this->hosts.push_back(std::make_unique<failover_coordinator>(
                failover_settings{}, "host-" + std::to_string(i), three_databases(),
                rules(), this->random));
        }
    }

    database_report report(std::size_t index) const {
        fake_database const& each = this->databases[index];
        database_report out;
        out.term = each.term;
        out.is_primary = each.primary;
        out.end_of_log = each.end();
        out.since_primary_contact =
            each.primary ? duration::zero() : this->now - each.heard;
        return out;
    }

    /// One millisecond of replication and of every host's work.
    void step() {
        this->now += milliseconds(1);
        this->replicate();
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            for (failover_action const& action : this->hosts[host]->tick(this->now)) {
                this->perform(host, action);
            }
        }
    }

    void run(milliseconds length) {
        for (auto end = this->now + length; this->now < end;) {
            this->step();
        }
    }

    std::optional<std::size_t> leader() const {
        std::optional<std::size_t> found;
        for (std::size_t i = 0; i < 3; ++i) {
            fake_database const& each = this->databases[i];
            bool const leads = each.alive && each.primary;
            if (leads && (!found || this->databases[*found].term < each.term)) {
                found = i;
            }
        }
        return found;
    }

    std::array<fake_database, 3> databases;
    std::vector<std::unique_ptr<failover_coordinator>> hosts;
    instant now{seconds(1000)};
    std::map<std::uint64_t, std::set<std::size_t>> leaders_by_term;
    /// By host and question.
    std::map<std::pair<std::size_t, std::uint64_t>, bool> resolved;
    std::map<std::pair<std::size_t, std::uint64_t>, log_position> positions;
    std::vector<std::string> notes;

private:
    void replicate() {
        for (std::size_t from = 0; from < 3; ++from) {
            fake_database const& source = this->databases[from];
            if (!source.alive || !source.primary || source.cut_from_peers) {
                continue;
            }
            this->leaders_by_term[source.term].insert(from);
            for (std::size_t to = 0; to < 3; ++to) {
                fake_database& target = this->databases[to];
                bool const reached = to != from && target.alive && !target.cut_from_peers;
                if (!reached || target.term > source.term) {
                    continue;
                }
                target.term = source.term;
                target.primary = false;
                target.log = source.log;
                target.heard = this->now;
            }
        }
    }

    void perform(std::size_t host, failover_action const& action) {
        failover_coordinator& watch = *this->hosts[host];
        fake_database& target = this->databases[action.database];
        switch (action.step) {
        case failover_step::poll:
            if (target.alive) {
                watch.poll_answered(
                    action.database, this->now, this->report(action.database), this->now);
            } else {
                watch.poll_failed(action.database, this->now);
            }
            return;
        case failover_step::fence:
            this->fence(watch, "host-" + std::to_string(host), action);
            return;
        case failover_step::promote:
            if (target.alive) {
                bool const granted = target.term == action.term &&
                                     target.voted_for == "host-" + std::to_string(host);
                target.primary = target.primary || granted;
                if (granted) {
                    target.append(0);
                }
                watch.promote_answered(action.database, action.term, granted);
            }
            return;
        case failover_step::resolved:
            this->resolved[{host, action.id}] = action.confirmed;
            this->positions[{host, action.id}] = action.position;
            return;
        case failover_step::log_message:
            this->notes.push_back(action.text);
            return;
        }
    }

    void fence(
        failover_coordinator& watch,
        std::string const& candidate,
        failover_action const& action) {
        fake_database& target = this->databases[action.database];
        if (!target.alive) {
            return;
        }
        bool granted = action.term == target.term && candidate == target.voted_for;
        if (action.term > target.term) {
            granted = true;
            target.term = action.term;
            target.voted_for = candidate;
            target.primary = false;
        }
        watch.fence_answered(
            action.database, action.term, granted, this->report(action.database));
    }

    tests::fixed_random random;
};

} // namespace

TEST_CASE("A healthy group is left alone", "[watch]") {
    fake_group group(3);
    group.run(seconds(5));
    CHECK(group.leader() == 0);
    CHECK(group.databases[0].term == 1);
    for (auto const& host : group.hosts) {
        CHECK(host->view().primary == 0);
        CHECK(host->state_name() == "following");
        CHECK_FALSE(host->view().observations.empty());
    }
}

TEST_CASE(
    "A dead primary is replaced by the most advanced replica", "[watch][failover]") {
    fake_group group(1);
    group.run(milliseconds(500));
    group.databases[0].alive = false;
    group.databases[1].append_many(10);
    group.databases[2].append_many(15);
    auto const died = group.now;
    while (group.leader() != 2 && group.now - died < seconds(10)) {
        group.step();
    }
    CHECK(group.leader() == 2);
    // The stated target is two seconds from the death to the first acknowledged write.
    CHECK(group.now - died < seconds(2));
    group.run(milliseconds(200));
    CHECK(group.hosts[0]->view().primary == 2);
}

TEST_CASE(
    "A primary that only this host can't reach is not replaced", "[watch][failover]") {
    // Holds the guard that the replicas must have heard nothing either.
    fake_group group(1);
    group.run(milliseconds(500));
    for (int i = 0; i < 3000; ++i) {
        group.step();
        group.hosts[0]->poll_failed(0, group.now);
    }
    CHECK(group.databases[0].primary);
    CHECK(group.databases[1].term == 1);
}

TEST_CASE(
    "A primary cut off from its replicas is fenced though it answers",
    "[watch][failover]") {
    fake_group group(2);
    group.run(milliseconds(500));
    group.databases[0].cut_from_peers = true;
    group.run(seconds(3));
    CHECK_FALSE(group.databases[0].primary);
    REQUIRE(group.leader());
    CHECK(group.leader() != 0);
}

TEST_CASE(
    "A host that suspects a primary leaves another host's election its time",
    "[watch][failover]") {
    // Holds the guard that a term just begun counts as led for a while. Without it this
    // host asked for a third term, and gave it to the primary that is cut off.
    fake_group group(1);
    group.run(milliseconds(500));
    group.databases[0].cut_from_peers = true;
    group.databases[0].append(7);
    while (group.notes.empty()) {
        group.step();
    }
    for (fake_database& each : group.databases) {
        each.term = 2;
        each.voted_for = "another host";
        each.primary = false;
    }

    SECTION("the other host promotes") {
        group.run(milliseconds(200));
        group.databases[1].primary = true;
        group.databases[1].append(0);
        group.run(seconds(2));
        CHECK(group.leader() == 1);
        CHECK(group.databases[1].term == 2);
    }
    SECTION("the other host dies before it promotes") {
        group.run(seconds(2));
        CHECK(group.leader().has_value());
        CHECK(group.databases[1].term > 2);
    }
}

TEST_CASE("With a minority of databases left nobody is promoted", "[watch][failover]") {
    fake_group group(2);
    group.run(milliseconds(500));
    group.databases[0].alive = false;
    group.databases[1].alive = false;
    group.run(seconds(5));
    CHECK_FALSE(group.leader().has_value());
    CHECK(group.databases[2].term == 1);
}

TEST_CASE(
    "A host that was paused starts no election from what it knew before",
    "[watch][pause]") {
    // Holds the guard check_gap(): the reports were taken before the pause.
    fake_group group(1);
    group.run(milliseconds(500));
    for (std::size_t i = 0; i < 3; ++i) {
        // What it last heard makes the primary look silent.
        database_report stale = group.report(i);
        stale.is_primary = false;
        stale.since_primary_contact = seconds(9);
        group.hosts[0]->poll_answered(i, group.now, stale, group.now);
    }
    group.now += seconds(30);
    auto const actions = group.hosts[0]->tick(group.now);
    for (failover_action const& action : actions) {
        CHECK(action.step != failover_step::fence);
    }
    CHECK(group.hosts[0]->state_name() == "following");
}

TEST_CASE("A write is proven by a second database in the same term", "[watch][proof]") {
    fake_group group(1);
    group.run(milliseconds(500));
    failover_coordinator& watch = *group.hosts[0];
    auto const deadline = group.now + seconds(1);

    SECTION("as soon as one holds it") {
        group.databases[0].append(1);
        auto const id = watch.confirm_durable({1, 11}, deadline);
        group.run(milliseconds(20));
        CHECK(group.resolved[{0, id}]);
    }
    SECTION("not while none holds it") {
        group.databases[0].cut_from_peers = true;
        auto const id = watch.confirm_durable({1, 11}, deadline);
        group.run(milliseconds(100));
        CHECK_FALSE(group.resolved.contains({0, id}));
    }
    SECTION("refused as soon as a higher term is seen") {
        group.databases[0].cut_from_peers = true;
        group.databases[1].term = 2;
        auto const id = watch.confirm_durable({1, 11}, deadline);
        group.run(milliseconds(300));
        REQUIRE(group.resolved.contains({0, id}));
        CHECK_FALSE(group.resolved[{0, id}]);
    }
    SECTION("refused at its deadline") {
        group.databases[0].cut_from_peers = true;
        auto const id = watch.confirm_durable({1, 11}, group.now + milliseconds(50));
        group.run(milliseconds(60));
        REQUIRE(group.resolved.contains({0, id}));
        CHECK_FALSE(group.resolved[{0, id}]);
    }
}

TEST_CASE("A position is taken after it was asked for, and confirmed", "[watch][proof]") {
    fake_group group(1);
    group.run(milliseconds(500));
    failover_coordinator& watch = *group.hosts[0];

    SECTION("it is the primary's at that time") {
        group.databases[0].append_many(67);
        auto const id = watch.confirm_position(group.now, group.now + seconds(1));
        group.run(milliseconds(20));
        REQUIRE(group.resolved[{0, id}]);
        CHECK(group.positions[{0, id}] == log_position{1, 77});
    }
    SECTION("a primary without a majority behind it gives none") {
        // Holds the guard confirmed_since(): such a primary may have been superseded.
        group.databases[1].alive = false;
        group.databases[2].alive = false;
        auto const id = watch.confirm_position(group.now, group.now + milliseconds(100));
        group.run(milliseconds(200));
        REQUIRE(group.resolved.contains({0, id}));
        CHECK_FALSE(group.resolved[{0, id}]);
    }
}

TEST_CASE(
    "No term ever has two primaries, and no proven write is lost", "[watch][property]") {
    bool const holds = rc::check("random faults over three hosts", [] {
        fake_group group(3, *rc::gen::inRange(0, 100) / 100.0);
        group.run(milliseconds(200));
        std::map<std::pair<std::size_t, std::uint64_t>, int> asked;
        int const faults = *rc::gen::inRange(1, 12);
        for (int i = 1; i <= faults; ++i) {
            auto const index = *rc::gen::inRange<std::size_t>(0, 3);
            fake_database& target = group.databases[index];
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                target.alive = false;
                break;
            case 1:
                target.alive = true;
                target.cut_from_peers = false;
                break;
            case 2:
                target.cut_from_peers = true;
                break;
            default:
                // Any primary takes writes, also one that has been superseded.
                for (std::size_t k = 0; k < 3; ++k) {
                    fake_database& primary = group.databases[k];
                    if (primary.alive && primary.primary) {
                        int const name = i * 10 + static_cast<int>(k);
                        primary.append(name);
                        auto const id = group.hosts[index]->confirm_durable(
                            log_position{primary.term, primary.log.size()},
                            group.now + milliseconds(300));
                        asked[{index, id}] = name;
                    }
                }
                break;
            }
            group.run(milliseconds(*rc::gen::inRange(1, 900)));
        }
        for (std::size_t i = 0; i < 3; ++i) {
            group.databases[i].alive = true;
            group.databases[i].cut_from_peers = false;
        }
        group.run(seconds(4));
        for (auto const& [term, leaders] : group.leaders_by_term) {
            RC_ASSERT(leaders.size() <= 1U);
        }
        RC_ASSERT(group.leader().has_value());
        auto const& log = group.databases[*group.leader()].log;
        for (auto const& [question, name] : asked) {
            bool const kept = std::any_of(log.begin(), log.end(), [&](auto const& each) {
                return each.second == name;
            });
            RC_ASSERT(kept || !group.resolved[question]);
        }
    });
    CHECK(holds);
}
