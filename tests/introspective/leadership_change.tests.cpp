#include <catch2/catch.hpp>
#include <map>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <persimmonpoint/core/recovery/lease_policy.hpp>
#include <persimmonpoint/core/recovery/primary_failure_detector.hpp>
#include <rapidcheck.h>
#include <set>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};
constexpr std::uint64_t first_term = 3;

/// A group of databases that acknowledge a commit once one copy has it, and a platform
/// that may answer late or not at all.
struct modelled_group {
    struct copy {
        std::uint64_t received = 0;
        std::uint64_t held = 0;
        bool alive = true;
    };

    explicit modelled_group(std::size_t replicas) {
        for (std::size_t i = 0; i < replicas; ++i) {
            this->copies["r" + std::to_string(i)];
        }
    }

    std::vector<group_replica> present() const {
        std::vector<group_replica> out;
        for (auto const& each : this->copies) {
            out.push_back({each.first, false});
        }
        return out;
    }

    /// The primary writes; some copies receive it, and it is acknowledged if one did.
    void write(std::set<std::string> const& receivers) {
        if (!this->primary_alive) {
            return;
        }
        ++this->written;
        for (std::string const& each : receivers) {
            copy& one = this->copies[each];
            if (one.held == 0 && one.alive) {
                one.received = this->written;
                this->acknowledged = this->written;
            }
        }
    }

    database_state state_of(std::string const& id) const {
        copy const& one = this->copies.at(id);
        bool const leads = this->leader == id;
        // A position has the term in which its entry was written.
        log_position const received{leads ? this->term : first_term, one.received};
        return database_state{leads, this->term, received, one.held};
    }

    void promote(std::string const& id) {
        this->leader = id;
        ++this->term;
        this->lost_commit =
            this->lost_commit || this->copies[id].received < this->acknowledged;
        this->copies[id].held = 0;
        this->primary_alive = false;
    }

    std::map<std::string, copy> copies;
    std::uint64_t written = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t term = first_term;
    std::uint64_t highest_token = 0;
    std::string leader;
    bool primary_alive = true;
    bool lost_commit = false;
};

/// Carries out a change's actions on the model. Answers may be dropped.
struct driver {
    driver(modelled_group& group, change_reason reason, std::size_t replicas)
        : group(group), change("p", group.present(), 3, reason, start) {
        (void)replicas;
    }

    template <class Drop>
    void step(instant now, Drop drop) {
        for (change_action const& each : this->change.step(now)) {
            this->carry_out(each, now, drop);
        }
    }

    template <class Drop>
    void carry_out(change_action const& action, instant now, Drop drop) {
        switch (action.kind) {
        case change_action_kind::request_token:
            this->token = ++*this->tokens;
            this->change.token_granted(this->token);
            return;
        case change_action_kind::hold:
            this->group.copies[action.database].held = action.term;
            break;
        case change_action_kind::resume:
            this->group.copies[action.database].held = 0;
            break;
        case change_action_kind::promote:
            if (drop()) {
                this->late.push_back(action.database);
                this->change.promotion_answered(promotion_result::unanswered, now);
            } else if (action.token < this->group.highest_token) {
                this->change.promotion_answered(promotion_result::conflict, now);
            } else {
                this->group.highest_token = action.token;
                this->group.promote(action.database);
                this->change.promotion_answered(promotion_result::accepted, now);
            }
            return;
        case change_action_kind::finished:
        case change_action_kind::abandoned:
            this->over = true;
            return;
        default:
            break;
        }
        if (drop()) {
            this->change.reported(action.database, std::nullopt, now);
        } else {
            this->change.reported(
                action.database, this->group.state_of(action.database), now);
        }
    }

    modelled_group& group;
    leadership_change change;
    std::uint64_t own_tokens = 0;
    std::uint64_t* tokens = &this->own_tokens; ///< The platform's last; may be shared.
    std::uint64_t token = 0;
    std::vector<std::string> late; ///< Promotions that are still to be carried out.
    bool over = false;
};

bool never() {
    return false;
}

} // namespace

TEST_CASE(
    "Two hosts that change the same group leave no acknowledged commit behind",
    "[leadership][rapidcheck]") {
    CHECK(rc::check([] {
        modelled_group group(*rc::gen::inRange<std::size_t>(2, 4));
        std::uint64_t token = 0;
        auto const any_reason =
            rc::gen::element(change_reason::primary_lost, change_reason::commits_stalled);
        std::vector<std::unique_ptr<driver>> hosts;
        for (int i = 0; i < 2; ++i) {
            hosts.push_back(
                std::make_unique<driver>(group, *any_reason, group.copies.size()));
            hosts.back()->tokens = &token;
        }
        instant now = start;
        for (int i = 0; i < 600 && !(hosts[0]->over && hosts[1]->over); ++i) {
            now += milliseconds(*rc::gen::inRange(5, 60));
            std::set<std::string> receivers;
            for (auto const& each : group.copies) {
                if (*rc::gen::inRange(0, 2) == 0) {
                    receivers.insert(each.first);
                }
            }
            group.write(receivers);
            driver& next = *hosts[*rc::gen::inRange<std::size_t>(0, 2)];
            if (next.over) {
                continue;
            }
            if (*rc::gen::inRange(0, 12) == 0) {
                next.change.primary_seen();
            }
            next.step(now, never);
            RC_ASSERT(!group.lost_commit);
        }
    }));
}

TEST_CASE("What another host holds is not resumed by a false alarm", "[leadership]") {
    modelled_group group(2);
    std::uint64_t token = 0;
    driver first(group, change_reason::primary_lost, 2);
    first.tokens = &token;
    driver second(group, change_reason::primary_lost, 2);
    second.tokens = &token;
    first.carry_out({change_action_kind::request_token, {}}, start, never);
    first.carry_out(
        {change_action_kind::hold, "r1", std::uint64_t(1) << 20U}, start, never);
    instant now = start;
    second.step(now += milliseconds(20), never);
    second.step(now += milliseconds(20), never);
    second.change.primary_seen();
    for (int i = 0; i < 20; ++i) {
        second.step(now += milliseconds(20), never);
    }
    CHECK(group.copies["r1"].held > 0);
}

TEST_CASE("A dead primary is replaced by the copy that has most", "[leadership]") {
    modelled_group group(2);
    group.write({"r0"});
    group.write({"r1"});
    group.primary_alive = false;
    driver run(group, change_reason::primary_lost, 2);
    instant now = start;
    while (!run.over && now < start + seconds(5)) {
        now += milliseconds(20);
        run.step(now, never);
    }
    CHECK(run.over);
    CHECK(group.leader == "r1");
    CHECK_FALSE(group.lost_commit);
    CHECK(group.copies["r0"].held == 0);
}

TEST_CASE(
    "A primary that leaves goes on acknowledging while it is replaced", "[leadership]") {
    modelled_group group(2);
    driver run(group, change_reason::primary_leaving, 2);
    instant now = start;
    while (!run.over && now < start + seconds(5)) {
        now += milliseconds(20);
        group.write({"r0", "r1"});
        run.step(now, never);
    }
    CHECK(run.over);
    CHECK_FALSE(group.leader.empty());
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "No acknowledged commit is left behind, whatever answers are lost",
    "[leadership][rapidcheck]") {
    CHECK(rc::check([] {
        modelled_group group(*rc::gen::inRange<std::size_t>(1, 4));
        auto const reason = *rc::gen::element(
            change_reason::primary_lost, change_reason::primary_leaving,
            change_reason::commits_stalled);
        driver run(group, reason, group.copies.size());
        auto const drop = [] { return *rc::gen::inRange(0, 4) == 0; };
        instant now = start;
        for (int i = 0; i < 400 && !run.over; ++i) {
            now += milliseconds(*rc::gen::inRange(5, 80));
            std::set<std::string> receivers;
            for (auto const& each : group.copies) {
                if (*rc::gen::inRange(0, 2) == 0) {
                    receivers.insert(each.first);
                }
            }
            group.write(receivers);
            run.step(now, drop);
            // A call that was not answered may be carried out at any later time.
            if (!run.late.empty() && *rc::gen::inRange(0, 6) == 0) {
                group.promote(run.late.front());
                run.late.clear();
            }
            RC_ASSERT(!group.lost_commit);
        }
    }));
}

TEST_CASE("A false alarm ends a change that has held no copy", "[leadership]") {
    modelled_group group(2);
    driver run(group, change_reason::primary_lost, 2);
    run.step(start, never);
    run.change.primary_seen();
    for (instant now = start; !run.over && now < start + seconds(2);) {
        now += milliseconds(20);
        run.step(now, never);
    }
    CHECK(run.over);
    CHECK(group.leader.empty());
    for (auto const& each : group.copies) {
        CHECK(each.second.held == 0);
    }
}

TEST_CASE(
    "A false alarm resumes no copy: another host may rely on it by now", "[leadership]") {
    modelled_group group(2);
    driver run(group, change_reason::primary_lost, 2);
    instant now = start;
    auto const is_held = [&group] {
        return group.copies["r0"].held > 0 || group.copies["r1"].held > 0;
    };
    while (!is_held()) {
        run.step(now += milliseconds(20), never);
    }
    run.change.primary_seen();
    bool promoted = false;
    while (!run.over && now < start + seconds(8)) {
        now += milliseconds(20);
        for (change_action const& each : run.change.step(now)) {
            promoted = promoted || each.kind == change_action_kind::promote;
            CHECK((promoted || each.kind != change_action_kind::resume));
            run.carry_out(each, now, never);
        }
    }
    CHECK(run.over);
    CHECK_FALSE(group.leader.empty());
    CHECK_FALSE(is_held());
}

TEST_CASE("Nothing is promoted while a copy has not answered", "[leadership]") {
    modelled_group group(2);
    driver run(group, change_reason::primary_lost, 2);
    instant now = start;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(50);
        for (change_action const& each : run.change.step(now)) {
            bool const silent = each.database == "r1";
            run.carry_out(each, now, [silent] { return silent; });
        }
    }
    CHECK(group.leader.empty());
    SECTION("once it is gone for good, the change goes on") {
        run.change.set_databases(std::vector<group_replica>{{"r0", false}});
        group.copies.erase("r1");
        while (!run.over && now < start + seconds(20)) {
            now += milliseconds(50);
            run.step(now, never);
        }
        CHECK(group.leader == "r0");
    }
}

TEST_CASE("A primary is lost once its address refuses twice", "[suspicion]") {
    commit_progress const none;
    primary_failure_detector suspicion(start);
    suspicion.refused(start);
    CHECK(suspicion.judge(start, none) == primary_health::healthy);
    suspicion.refused(start + milliseconds(60));
    CHECK(suspicion.judge(start + milliseconds(60), none) == primary_health::down);
    suspicion.answered(start + milliseconds(70));
    CHECK(suspicion.judge(start + milliseconds(70), none) == primary_health::healthy);
}

TEST_CASE("A silent primary is suspected, an idle one is not", "[suspicion]") {
    commit_progress const none;
    primary_failure_detector suspicion(start);
    CHECK(suspicion.judge(start + seconds(60), none) == primary_health::healthy);
    suspicion.unanswered(start + seconds(60));
    CHECK(suspicion.judge(start + seconds(60), none) == primary_health::silent);
}

TEST_CASE("A primary that acknowledges no commit can't commit", "[suspicion]") {
    primary_failure_detector suspicion(start);
    commit_progress commits;
    commits.sent(start);
    suspicion.answered(start + milliseconds(800));
    CHECK(
        suspicion.judge(start + milliseconds(800), commits) ==
        primary_health::cannot_commit);
    commits.ended(start + milliseconds(801));
    CHECK(commits.open() == 0);
    CHECK(suspicion.judge(start + milliseconds(801), commits) == primary_health::healthy);
}

TEST_CASE("A commit counts that stalled before its primary was watched", "[suspicion]") {
    commit_progress commits;
    commits.sent(start);
    primary_failure_detector const suspicion(start + milliseconds(500));
    CHECK(
        suspicion.judge(start + milliseconds(800), commits) ==
        primary_health::cannot_commit);
}

TEST_CASE("A lease is taken from a holder that lives only after its time", "[lease]") {
    leadership_lease lease{"other", 7, 10000, 55, 11000};
    CHECK_FALSE(may_acquire_lease(lease, "me", true));
    CHECK(may_acquire_lease(lease, "me", false));
    CHECK(may_acquire_lease(lease, "other", true));
    lease.store_now_ms = 10000 + lease_duration_ms;
    CHECK(may_acquire_lease(lease, "me", true));
    CHECK(next_lease(lease, "me").token == 8);
}

TEST_CASE(
    "A token that an older copy of the store lacks is not given out again", "[lease]") {
    leadership_lease read{"other", 7, 10000, 0, 20000, 1};
    std::uint64_t const before = next_lease(read, "me").token;
    // The copy has the row of before; more tokens were given out since.
    read.era = 2;
    std::uint64_t const after = next_lease(read, "me").token;
    CHECK(after > before + 100000);
    read.token = after;
    CHECK(next_lease(read, "you").token == after + 1);
}
