#include <catch2/catch.hpp>
#include <persimmonpoint/core/limits/caller_limits.hpp>
#include <persimmonpoint/core/limits/intake_budget.hpp>
#include <rapidcheck.h>

using namespace persimmonpoint;

namespace {

constexpr std::size_t kib = 1024;

} // namespace

TEST_CASE("Ordinary messages don't count against the budget", "[intake]") {
    intake_budget budget(10 * kib);
    for (int i = 0; i < 1000; ++i) {
        CHECK(budget.hold(budget.join(), uncounted_caller_bytes, true).empty());
    }
    CHECK(budget.used() == 0);
}

TEST_CASE("The connection that holds the most is closed first", "[intake]") {
    intake_budget budget(100 * kib);
    auto const small = budget.join();
    auto const large = budget.join();
    CHECK(budget.hold(small, 40 * kib, false).empty());
    CHECK(budget.hold(large, 60 * kib, false).empty());
    CHECK(budget.hold(small, 50 * kib, false) == std::vector<std::uint64_t>{large});
    SECTION("and counts no more") {
        CHECK(budget.hold(large, 90 * kib, false).empty());
        CHECK(budget.hold(small, 100 * kib, false).empty());
    }
}

TEST_CASE("A connection whose request runs is closed last", "[intake]") {
    intake_budget budget(100 * kib);
    auto const running = budget.join();
    auto const waiting = budget.join();
    budget.hold(running, 80 * kib, true);
    CHECK(budget.hold(waiting, 40 * kib, false) == std::vector<std::uint64_t>{waiting});
    CHECK(budget.hold(running, 110 * kib, true) == std::vector<std::uint64_t>{running});
}

TEST_CASE("What is held never exceeds the budget", "[intake][rapidcheck]") {
    CHECK(rc::check([] {
        intake_budget budget(64 * kib);
        std::vector<intake_budget::holder> open;
        for (int step = 0; step < 200; ++step) {
            if (open.empty() || *rc::gen::inRange(0, 4) == 0) {
                open.push_back(budget.join());
            }
            auto const index = *rc::gen::inRange<std::size_t>(0, open.size());
            budget.hold(
                open[index], *rc::gen::inRange<std::size_t>(0, 100 * kib),
                *rc::gen::arbitrary<bool>());
            RC_ASSERT(budget.used() <= 64 * kib);
        }
        for (auto const each : open) {
            budget.leave(each);
        }
        RC_ASSERT(budget.used() == 0U);
    }));
}

TEST_CASE("Callers leave descriptors for links and databases", "[intake]") {
    CHECK(connections_within(4300) < 4000);
    CHECK(connections_within(4300) > 3800);
    CHECK(connections_within(100) == 50);
}
