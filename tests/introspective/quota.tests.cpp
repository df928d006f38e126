#include <catch2/catch.hpp>
#include <persimmonpoint/core/limits/quota_lender.hpp>
#include <rapidcheck.h>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

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
            this->own.back().set_part(fixed_part(whole, hosts), start);
        }
        this->lender.set_host_count(hosts);
        this->lender.set_limit("team", whole, start);
    }

    void spend(instant now) {
        for (std::size_t i = 0; i < this->own.size(); ++i) {
            this->lender.endorsed("host " + std::to_string(i), now);
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
    rc::check([] {
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
    });
}

TEST_CASE("A fleet serves a team that stays at its rate", "[quota]") {
    quota_part const whole{100, 100};
    greedy_fleet fleet(whole, 8);
    std::size_t served = 0;
    for (int step = 1; step <= 2000; ++step) {
        instant const now = start + seconds(2) + milliseconds(step * 10);
        fleet.lender.endorsed("a", now);
        for (int host = 0; host < 8; ++host) {
            fleet.lender.endorsed(std::to_string(host), now);
        }
        // All callers are at one host.
        bool const own = fleet.own[0].take(now) <= duration(0);
        served += own || fleet.lender.borrow("team", now) <= duration(0) ? 1 : 0;
    }
    CHECK(served > 1300);
}

TEST_CASE(
    "A lender without the endorsement of more than half of the hosts lends nothing",
    "[quota]") {
    quota_lender lender;
    lender.set_host_count(4);
    lender.set_limit("team", {1000, 1000}, start);
    instant const now = start + seconds(10);
    lender.endorsed("a", now);
    lender.endorsed("b", now);
    CHECK(lender.borrow("team", now) > duration(0));
    lender.endorsed("c", now);
    CHECK(lender.borrow("team", now) == duration(0));
    CHECK(lender.borrow("team", now + endorsement_life + milliseconds(1)) > duration(0));
}

TEST_CASE(
    "A new lender starts with little, since the one before has spent what was saved",
    "[quota]") {
    quota_lender lender;
    lender.set_host_count(1);
    lender.set_limit("team", {10, 100}, start);
    instant const now = start + seconds(60);
    lender.endorsed("a", now);
    int lent = 0;
    while (lender.borrow("team", now) <= duration(0)) {
        ++lent;
    }
    CHECK(lent < 10);
}

TEST_CASE("A lender that retires lends nothing", "[quota]") {
    quota_lender lender;
    lender.set_host_count(1);
    lender.set_limit("team", {1000, 1000}, start);
    lender.endorsed("a", start + seconds(1));
    lender.retire();
    CHECK(lender.borrow("team", start + seconds(1)) > duration(0));
}

TEST_CASE("A host never endorses two lenders at a time", "[quota]") {
    lender_choice choice;
    CHECK(choice.choose("x", false, true, start) == lender_choice::step::endorse);
    SECTION("it withdraws first and waits for the confirmation") {
        CHECK(choice.choose("y", false, true, start) == lender_choice::step::withdraw);
        CHECK(choice.current() == "x");
        CHECK_FALSE(choice.may_borrow());
        choice.released();
        CHECK(choice.choose("y", false, true, start) == lender_choice::step::endorse);
        CHECK(choice.current() == "y");
    }
    SECTION("without a confirmation it waits until the endorsement is over") {
        CHECK(
            choice.choose("y", false, false, start + milliseconds(400)) ==
            lender_choice::step::withdraw);
        CHECK(
            choice.choose(
                "y", false, false, start + endorsement_life + milliseconds(200)) ==
            lender_choice::step::endorse);
    }
    SECTION("a lender that has certainly stopped needs no confirmation") {
        CHECK(choice.choose("y", true, false, start) == lender_choice::step::endorse);
        CHECK(choice.current() == "y");
    }
    SECTION("a lender that is silent is not endorsed further") {
        CHECK(
            choice.choose("x", false, false, start + milliseconds(100)) ==
            lender_choice::step::wait);
    }
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
