#include <catch2/catch.hpp>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/membership/store_retry.hpp>
#include <support/fixed_random.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

/// Calls that a host makes in an outage that refuses each of them at once.
std::size_t calls_in(duration outage, std::size_t hosts) {
    tests::fixed_random random(0.5);
    duration const limit = pace_for(hosts).store_retry_limit;
    store_retry retry;
    std::size_t calls = 0;
    for (instant now = start; now < start + outage; ++calls) {
        now += retry.failed(now, limit, random);
    }
    return calls;
}

} // namespace

TEST_CASE("The longer the store refuses a call, the more rarely it is made", "[store]") {
    tests::fixed_random random(0);
    store_retry retry;
    CHECK(retry.failed(start, seconds(2), random) == milliseconds(300));
    CHECK(retry.failed(start + seconds(1), seconds(2), random) == milliseconds(500));
    CHECK(retry.failed(start + seconds(2), seconds(2), random) == seconds(1));
    CHECK(retry.failed(start + seconds(60), seconds(2), random) == seconds(2));
    retry.succeeded();
    CHECK(retry.failed(start + seconds(61), seconds(2), random) == milliseconds(300));
}

TEST_CASE("Hosts that failed together don't call again together", "[store]") {
    tests::fixed_random early(1);
    tests::fixed_random late(0);
    store_retry first;
    store_retry second;
    CHECK(
        first.failed(start, seconds(2), early) < second.failed(start, seconds(2), late));
}

TEST_CASE("A long outage costs a large fleet few calls a host", "[store][load]") {
    // A third of 195 hosts turned away for 12 s, three kinds of calls each.
    CHECK(calls_in(seconds(12), 195) <= 14);
    CHECK(calls_in(seconds(12), 690) <= 12);
    // A small fleet notices the store's return as fast as ever.
    CHECK(pace_for(8).store_retry_limit == milliseconds(300));
}
