#include <catch2/catch.hpp>
#include <persimmonpoint/core/limits/connection_pace.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

} // namespace

TEST_CASE("A database without trouble is connected to at once", "[pace]") {
    connection_pace pace;
    for (int i = 0; i < 20; ++i) {
        REQUIRE(pace.may_attempt(start));
        pace.attempted(start);
    }
    CHECK_FALSE(pace.is_crowded(start));
}

TEST_CASE("The attempt behind a failed one waits", "[pace]") {
    connection_pace pace;
    pace.attempted(start);
    pace.failed(start);
    CHECK_FALSE(pace.may_attempt(start + milliseconds(20)));
    CHECK(pace.may_attempt(start + milliseconds(100)));
}

TEST_CASE("A crowded database is left alone for a while", "[pace]") {
    connection_pace pace;
    pace.crowded(start);
    CHECK(pace.is_crowded(start + milliseconds(500)));
    CHECK_FALSE(pace.is_crowded(start + seconds(1)));
}

// Guards against a storm of new connections after the answers on many were lost.
TEST_CASE("Connections that are given up are replaced one after the other", "[pace]") {
    CHECK(rc::check("attempts in any second of trouble are bounded", [] {
        connection_pace pace;
        std::vector<instant> attempts;
        instant now = start;
        // Each connection that was given up is replaced as soon as that is allowed.
        auto const steps =
            *rc::gen::container<std::vector<unsigned>>(200, rc::gen::inRange(0U, 50U));
        for (unsigned const step : steps) {
            pace.gave_up(now);
            if (pace.may_attempt(now)) {
                pace.attempted(now);
                attempts.push_back(now);
            }
            now += milliseconds(step);
        }
        RC_ASSERT(!attempts.empty());
        for (std::size_t i = 0; i + 1 < attempts.size(); ++i) {
            RC_ASSERT(attempts[i + 1] - attempts[i] >= milliseconds(50));
        }
    }));
}

TEST_CASE("Behind the trouble connections are opened at once again", "[pace]") {
    connection_pace pace;
    pace.gave_up(start);
    pace.attempted(start);
    CHECK_FALSE(pace.may_attempt(start + milliseconds(20)));
    instant const later = start + seconds(2);
    REQUIRE(pace.may_attempt(later));
    pace.attempted(later);
    CHECK(pace.may_attempt(later));
}
