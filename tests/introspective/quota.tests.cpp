#include <catch2/catch.hpp>
#include <map>
#include <persimmonpoint/core/limits/quota_lender.hpp>
#include <persimmonpoint/core/limits/quota_pacing.hpp>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/engine/fleet_view.hpp>
#include <rapidcheck.h>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Of an endorsement.
constexpr duration life = milliseconds(450);

instant const start{seconds(1000)};
constexpr duration window = seconds(5);

/// What the users allow in a window of five seconds.
double most_in_window(quota_part whole) {
    return (whole.rate * 5 + whole.burst) * 1.1 + 20;
}

/// A fleet that spends all it may: each host its own part, and one lender the rest.
struct greedy_fleet {
    greedy_fleet(quota_part whole, std::size_t hosts) {
        for (std::size_t i = 0; i < hosts; ++i) {
            this->own.emplace_back(0, start);
            this->own.back().set_part(split_quota(whole, hosts).fixed, start);
        }
        this->lender.set_host_count(hosts);
        this->lender.set_limit("team", whole, start);
    }

    void endorse(instant now) {
        for (std::size_t i = 0; i < this->own.size(); ++i) {
            this->lender.endorsed("host " + std::to_string(i), life, now);
        }
    }

    void spend(instant now) {
        this->endorse(now);
        for (std::size_t i = 0; i < this->own.size(); ++i) {
            while (this->own[i].take(now) <= duration(0)) {
                this->admitted.push_back(now);
            }
        }
        while (this->lender.borrow("team", now) <= duration(0)) {
            this->admitted.push_back(now);
        }
    }

    std::size_t most_admitted() const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->admitted.size(); ++last) {
            while (this->admitted[last] - this->admitted[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<quota_bucket> own;
    quota_lender lender;
    std::vector<instant> admitted;
};

} // namespace

TEST_CASE(
    "A fleet that spends all it may stays within the allowed window",
    "[quota][rapidcheck]") {
    CHECK(rc::check([] {
        quota_part const whole{
            static_cast<double>(*rc::gen::inRange(1, 400)),
            static_cast<double>(*rc::gen::inRange(1, 400))};
        greedy_fleet fleet(whole, *rc::gen::inRange<std::size_t>(1, 12));
        instant now = start;
        // It idles first, so that all buckets are full, and then asks without end.
        now += seconds(20);
        for (int step = 0; step < 400; ++step) {
            now += milliseconds(*rc::gen::inRange(5, 60));
            fleet.spend(now);
        }
        RC_ASSERT(static_cast<double>(fleet.most_admitted()) <= most_in_window(whole));
    }));
}

TEST_CASE("A fleet serves a team that stays at its rate", "[quota]") {
    quota_part const whole{100, 100};
    greedy_fleet fleet(whole, 8);
    std::size_t served = 0;
    for (int step = 1; step <= 2000; ++step) {
        instant const now = start + seconds(2) + milliseconds(step * 10);
        fleet.lender.endorsed("a", life, now);
        for (int host = 0; host < 8; ++host) {
            fleet.lender.endorsed(std::to_string(host), life, now);
        }
        // All callers are at one host.
        bool const own = fleet.own[0].take(now) <= duration(0);
        served += own || fleet.lender.borrow("team", now) <= duration(0) ? 1 : 0;
    }
    CHECK(served > 1300);
}

TEST_CASE("A lender that nobody endorses lends nothing", "[quota]") {
    quota_lender lender;
    lender.set_host_count(4);
    lender.set_limit("team", {1000, 1000}, start);
    instant const now = start + seconds(10);
    CHECK(lender.borrow("team", now) > duration(0));
    lender.endorsed("a", life, now);
    CHECK(lender.borrow("team", now + milliseconds(50)) == duration(0));
    CHECK(lender.borrow("team", now + life + milliseconds(1)) > duration(0));
}

TEST_CASE("A lender lends the share of those that endorse it", "[quota]") {
    quota_lender lender;
    lender.set_host_count(8);
    lender.set_limit("team", {100, 100}, start);
    int lent = 0;
    for (int step = 0; step < 1000; ++step) {
        instant const now = start + milliseconds(step * 10);
        for (char const* host : {"a", "b"}) {
            lender.endorsed(host, life, now);
        }
        lent += lender.borrow("team", now) <= duration(0) ? 1 : 0;
    }
    double const whole = split_quota({100, 100}, 8).lent.rate * 10;
    CHECK(lent <= whole * 2 / 8 + 12);
    CHECK(lent >= whole * 2 / 8 - 12);
}

TEST_CASE(
    "A fleet of any size that has saved up all it may keeps the window", "[quota]") {
    for (std::size_t const hosts : {2U, 8U, 16U, 62U, 79U, 300U, 690U}) {
        for (double const rate : {5.0, 20.0, 80.0, 320.0}) {
            CAPTURE(hosts, rate);
            quota_part const whole{rate, rate};
            greedy_fleet fleet(whole, hosts);
            // Nobody calls for a while, then everybody does.
            for (int i = 0; i < 50; ++i) {
                fleet.endorse(start + milliseconds(200) * i);
            }
            for (int i = 0; i < 150; ++i) {
                fleet.spend(start + seconds(10) + milliseconds(40) * i);
            }
            CHECK(static_cast<double>(fleet.most_admitted()) <= most_in_window(whole));
            // It is of use all the same.
            CHECK(static_cast<double>(fleet.most_admitted()) >= rate * 5 * 0.9);
        }
    }
}

TEST_CASE(
    "Lenders together lend no more than one would, however hosts change between them",
    "[quota][rapidcheck]") {
    CHECK(rc::check([] {
        constexpr std::size_t hosts = 6;
        quota_part const whole{
            static_cast<double>(*rc::gen::inRange(20, 300)),
            static_cast<double>(*rc::gen::inRange(20, 300))};
        std::map<std::string, quota_lender> lenders;
        for (char const* name : {"x", "y"}) {
            lenders[name].set_host_count(hosts);
            lenders[name].set_limit("team", whole, start);
        }
        std::vector<lender_choice> choices(hosts);
        std::vector<instant> lent;
        instant now = start + seconds(30);
        for (int step = 0; step < 300; ++step) {
            now += milliseconds(*rc::gen::inRange(10, 120));
            for (std::size_t i = 0; i < hosts; ++i) {
                std::string const wanted = *rc::gen::inRange(0, 4) == 0 ? "x" : "y";
                bool const reached = *rc::gen::inRange(0, 3) > 0;
                std::string const host = std::to_string(i);
                bool const linked = *rc::gen::inRange(0, 3) > 0;
                std::string const before = choices[i].current();
                auto const next =
                    choices[i].choose({wanted, linked}, false, reached, life, now);
                RC_ASSERT(
                    next != lender_choice::step::endorse || linked ||
                    choices[i].current() == before);
                std::string const lender = choices[i].current();
                if (next == lender_choice::step::endorse) {
                    lenders[lender].endorsed(host, life, now);
                } else if (next == lender_choice::step::withdraw && reached) {
                    lenders[lender].withdrawn(host, now);
                    choices[i].released();
                }
            }
            for (auto& each : lenders) {
                while (each.second.borrow("team", now) <= duration(0)) {
                    lent.push_back(now);
                }
            }
        }
        std::size_t first = 0;
        for (std::size_t last = 0; last < lent.size(); ++last) {
            while (lent[last] - lent[first] >= window) {
                ++first;
            }
            quota_part const part = split_quota(whole, hosts).lent;
            double const most = part.rate * to_seconds(window) + part.burst;
            // A bucket always holds one operation, and each lender has one.
            RC_ASSERT(static_cast<double>(last - first + 1) <= most * 1.02 + 4);
        }
    }));
}

TEST_CASE("A lender that is left lends only to those that still endorse it", "[quota]") {
    quota_lender lender;
    lender.set_host_count(4);
    lender.set_limit("team", {1000, 1000}, start);
    instant const now = start + seconds(1);
    for (char const* host : {"a", "b"}) {
        lender.endorsed(host, life, now);
    }
    CHECK(lender.share(now) == 0.5);
    lender.withdrawn("a", now);
    CHECK(lender.share(now) == 0.25);
    lender.withdrawn("b", now);
    CHECK(lender.share(now) == 0);
    CHECK(lender.borrow("team", now) > duration(0));
}

TEST_CASE("An operation waits a moment for its quota, few of a team do", "[quota]") {
    quota_pacing pacing;
    CHECK(pacing.may_wait("team", milliseconds(10)));
    CHECK_FALSE(pacing.may_wait("team", milliseconds(200)));
    pacing.add("team", 1, start + milliseconds(20));
    pacing.add("team", 2, start + milliseconds(10));
    CHECK_FALSE(pacing.may_wait("team", milliseconds(10)));
    CHECK(pacing.may_wait("other", milliseconds(10)));
    CHECK(*pacing.next_due() == start + milliseconds(10));
    CHECK(pacing.take_due(start).empty());
    CHECK(pacing.take_due(start + seconds(1)) == std::vector<std::uint64_t>{2, 1});
    CHECK(pacing.may_wait("team", milliseconds(10)));
    CHECK_FALSE(pacing.next_due());
}

TEST_CASE("A host never endorses two lenders at a time", "[quota]") {
    lender_choice choice;
    CHECK(
        choice.choose({"x", true}, false, true, life, start) ==
        lender_choice::step::endorse);
    SECTION("it withdraws first and waits for the confirmation") {
        CHECK(
            choice.choose({"y", true}, false, true, life, start) ==
            lender_choice::step::withdraw);
        CHECK(choice.current() == "x");
        CHECK_FALSE(choice.may_borrow());
        choice.released();
        CHECK(
            choice.choose({"y", true}, false, true, life, start) ==
            lender_choice::step::endorse);
        CHECK(choice.current() == "y");
    }
    SECTION("without a confirmation it waits until the endorsement is over") {
        CHECK(
            choice.choose({"y", true}, false, false, life, start + milliseconds(400)) ==
            lender_choice::step::withdraw);
        CHECK(
            choice.choose(
                {"y", true}, false, false, life, start + life + milliseconds(200)) ==
            lender_choice::step::endorse);
    }
    SECTION("a lender that has certainly stopped needs no confirmation") {
        CHECK(
            choice.choose({"y", true}, true, false, life, start) ==
            lender_choice::step::endorse);
        CHECK(choice.current() == "y");
    }
    SECTION("a lender that is silent is not endorsed further") {
        CHECK(
            choice.choose({"x", true}, false, false, life, start + milliseconds(100)) ==
            lender_choice::step::wait);
    }
}

TEST_CASE("Only a linked host becomes the lender", "[quota]") {
    constexpr duration life = milliseconds(450);
    lender_choice choice;
    CHECK(
        choice.choose({"x", false}, false, false, life, start) ==
        lender_choice::step::wait);
    CHECK(choice.current().empty());
    // The next one wanted needs no waiting: the first was never told.
    CHECK(
        choice.choose({"y", true}, false, true, life, start + milliseconds(10)) ==
        lender_choice::step::endorse);
    SECTION("and the present one is kept until the other is linked") {
        CHECK(
            choice.choose({"x", false}, false, true, life, start + milliseconds(20)) ==
            lender_choice::step::endorse);
        CHECK(choice.current() == "y");
        CHECK(choice.may_borrow());
        CHECK(
            choice.choose({"x", true}, false, true, life, start + milliseconds(30)) ==
            lender_choice::step::withdraw);
    }
    SECTION("and one that has stopped is left at once") {
        CHECK(
            choice.choose({"x", false}, true, false, life, start + milliseconds(20)) ==
            lender_choice::step::wait);
        CHECK_FALSE(choice.may_borrow());
    }
}

TEST_CASE(
    "A split fleet has a lender on each side soon, whatever its size", "[quota][load]") {
    auto const hosts = GENERATE(std::size_t(8), std::size_t(79), std::size_t(195));
    fleet_pace const pace = pace_for(hosts);
    // The old endorsement is over, and a link to the next one wanted has been tried.
    duration const without =
        pace.endorsement_life + pace.lender_search + pace.connect_limit;
    CHECK(without <= seconds(3));
}

TEST_CASE("A lower rate takes hold after a while, a higher one at once", "[quota]") {
    quota_bucket bucket(0, start);
    bucket.set_part({100, 10}, start);
    bucket.set_part({1, 1}, start);
    instant const soon = start + milliseconds(500);
    CHECK(bucket.take(soon) == duration(0));
    instant const later = start + seconds(4);
    while (bucket.take(later) <= duration(0)) {}
    CHECK(bucket.take(later + milliseconds(100)) > duration(0));
    bucket.set_part({1000, 10}, later);
    CHECK(bucket.take(later + milliseconds(100)) == duration(0));
}

TEST_CASE("A host's part shrinks at once when more hosts share the quota", "[quota]") {
    quota_part const whole{300, 300};
    quota_bucket own(0, start);
    // As it is behind a restart, before the others are known.
    engine::fleet_view const unknown;
    own.set_part(
        split_quota(whole, unknown.host_count()).fixed, start, lowering_of(whole, whole));
    own.set_part(split_quota(whole, 62).fixed, start, lowering_of(whole, whole));
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        taken += own.take(start + milliseconds(20) * i) <= duration(0) ? 1 : 0;
    }
    CHECK(taken <= split_quota(whole, 62).fixed.rate * 2 + 2);
    CHECK(lowering_of({300, 300}, {200, 300}) == quota_bucket::lowering::delayed);
}

TEST_CASE(
    "A lender that has just started lends the burst as hosts endorse it", "[quota]") {
    quota_lender lender;
    lender.set_host_count(4);
    lender.set_limit("team", {100, 100}, start);
    lender.set_young_until(start + seconds(3));
    auto const lent_now = [&lender](instant now) {
        int lent = 0;
        while (lender.borrow("team", now) <= duration(0)) {
            ++lent;
        }
        return lent;
    };
    double const burst = split_quota({100, 100}, 4).lent.burst;
    for (char const* host : {"a", "b", "c", "d"}) {
        lender.endorsed(host, life, start);
    }
    CHECK(lent_now(start) == Approx(burst).margin(1));
    SECTION("once for each host") {
        lender.withdrawn("a", start);
        lender.endorsed("a", life, start);
        CHECK(lent_now(start) == 0);
    }
}

TEST_CASE("A lender that has run for long lends no burst at first", "[quota]") {
    quota_lender lender;
    lender.set_host_count(1);
    lender.set_limit("team", {100, 100}, start);
    lender.set_young_until(start - seconds(1));
    lender.endorsed("a", life, start);
    CHECK(lender.borrow("team", start) > duration(0));
}

// Worked out in docs/design/0011-restarts.md.
TEST_CASE("A fleet that is restarted keeps the window", "[quota]") {
    quota_rules const rules;
    for (quota_part const whole : {quota_part{20, 20}, {400, 400}, {100, 500}}) {
        quota_split const split = split_quota(whole, 70, rules);
        double const allowed =
            (whole.rate * to_seconds(rules.window) + whole.burst) * (1 + rules.overrun) +
            rules.slack;
        // Saved up before, and given at the start; lent all the while but for the
        // restart.
        double const restart_time = 0.5;
        double const most = 2 * split.lent.burst +
                            split.lent.rate * (to_seconds(rules.window) - restart_time);
        CHECK(most <= allowed);
    }
}

TEST_CASE("Operations wait for a lender that is being found, for a time", "[quota]") {
    quota_pacing pacing;
    CHECK(pacing.may_wait_for_lender("team", milliseconds(0)));
    CHECK_FALSE(pacing.may_wait_for_lender("team", milliseconds(300)));
    for (std::uint64_t i = 0; i < 32; ++i) {
        pacing.add("team", i, start);
    }
    CHECK_FALSE(pacing.may_wait_for_lender("team", milliseconds(0)));
    CHECK(pacing.may_wait_for_lender("other", milliseconds(0)));
}
