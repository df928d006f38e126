#include <catch2/catch.hpp>
#include <persimmonpoint/core/service_level/service_level_report.hpp>
#include <rapidcheck.h>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

request_record request(request_result result, request_kind kind = request_kind::read) {
    request_record out;
    out.answered = seconds(1000);
    out.result = result;
    out.kind = kind;
    out.team = "weir";
    out.group = "passcount-db";
    return out;
}

request_record write_at(int ms, bool served) {
    request_record out = request(
        served ? request_result::served : request_result::refused, request_kind::write);
    out.answered = milliseconds(ms);
    return out;
}

burn_rule rule(int long_window, int short_window, double threshold) {
    return {"rule", seconds(long_window), seconds(short_window), threshold};
}

void fill(burn_rate& burn, int from, int to, int good, int bad) {
    for (int second = from; second < to; ++second) {
        for (int i = 0; i < good + bad; ++i) {
            burn.add(seconds(second), i < good);
        }
    }
}

/// The rate as its definition says, second by second.
double naive_rate(burn_rate const& burn, seconds end, seconds length, double target) {
    request_tally sum;
    for (auto const& [when, tally] : burn.by_second()) {
        if (when <= end && when > end - length) {
            sum.good += tally.good;
            sum.bad += tally.bad;
        }
    }
    if (sum.total() == 0) {
        return 0;
    }
    return static_cast<double>(sum.bad) / static_cast<double>(sum.total()) / (1 - target);
}

} // namespace

TEST_CASE("A budget spent exactly burns at a rate of one", "[service-level]") {
    burn_rate burn(0.9);
    fill(burn, 0, 100, 9, 1);
    CHECK(burn.budget_spent() == Approx(1));
    burn_finding const found = burn.find(rule(60, 5, 2));
    CHECK(found.last == Approx(1));
    CHECK(found.worst == Approx(1));
    CHECK(found.alerts.empty());
}

TEST_CASE("Without a request nothing burns", "[service-level]") {
    burn_rate const burn(0.999);
    CHECK(burn.budget_spent() == 0);
    burn_finding const found = burn.find(rule(60, 5, 2));
    CHECK(found.worst == 0);
    CHECK(found.alerts.empty());
}

TEST_CASE("An alert needs both windows", "[service-level]") {
    burn_rate burn(0.9);
    fill(burn, 0, 100, 10, 0);

    SECTION("a short outburst is too little for the long window") {
        fill(burn, 100, 102, 0, 10);
        fill(burn, 102, 200, 10, 0);
        CHECK(burn.find(rule(60, 2, 5)).alerts.empty());
    }
    SECTION("an outage alerts while it lasts, and ends with the short window") {
        fill(burn, 100, 160, 0, 10);
        fill(burn, 160, 300, 10, 0);
        auto const alerts = burn.find(rule(60, 2, 5)).alerts;
        REQUIRE(alerts.size() == 1);
        // 30 of 60 seconds are bad: a rate of 5.
        CHECK(alerts[0].begin == seconds(129));
        // A rate of 5 in the short window: one of its two seconds is bad.
        CHECK(alerts[0].end == seconds(160));
    }
    SECTION("two outages alert twice") {
        fill(burn, 100, 160, 0, 10);
        fill(burn, 160, 300, 10, 0);
        fill(burn, 300, 360, 0, 10);
        CHECK(burn.find(rule(60, 2, 5)).alerts.size() == 2);
    }
}

TEST_CASE("The sliding windows agree with the definition", "[service-level][property]") {
    bool const holds = rc::check("any requests in any order", [] {
        double const target = 0.95;
        burn_rate burn(target);
        auto const requests = *rc::gen::container<std::vector<std::pair<int, bool>>>(
            rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::arbitrary<bool>()));
        for (auto const& [second, good] : requests) {
            burn.add(seconds(second), good);
        }
        burn_rule const windows = rule(*rc::gen::inRange(1, 50), 1, 1000);
        double worst = 0;
        double last = 0;
        for (auto const& each : burn.by_second()) {
            last = naive_rate(burn, each.first, windows.long_window, target);
            worst = std::max(worst, last);
        }
        burn_finding const found = burn.find(windows);
        RC_ASSERT(found.last == last);
        RC_ASSERT(found.worst == worst);
    });
    CHECK(holds);
}

TEST_CASE("Objectives count what they promise something about", "[service-level]") {
    auto const [result, served, in_time] =
        GENERATE(table<request_result, verdict, verdict>({
            {request_result::served, verdict::good, verdict::good},
            {request_result::callers_error, verdict::not_counted, verdict::not_counted},
            {request_result::over_rate, verdict::not_counted, verdict::not_counted},
            {request_result::refused, verdict::bad, verdict::not_counted},
            {request_result::failed, verdict::bad, verdict::not_counted},
            {request_result::in_doubt, verdict::bad, verdict::not_counted},
        }));
    request_record asked = request(result);
    asked.took_ms = 200;
    CHECK(make_served_objective(0.999)->judge(asked) == served);
    CHECK(make_timely_objective(0.99, 200)->judge(asked) == in_time);
}

TEST_CASE("A served request past its aim is not in time", "[service-level]") {
    request_record late = request(request_result::served);
    late.took_ms = 200.5;
    CHECK(make_served_objective(0.999)->judge(late) == verdict::good);
    CHECK(make_timely_objective(0.99, 200)->judge(late) == verdict::bad);
}

TEST_CASE("The replicas' share is of the served reads", "[service-level]") {
    service_measures measures;
    CHECK_FALSE(measures.summary().replica_share.has_value());
    for (int i = 0; i < 3; ++i) {
        measures.add(request(request_result::served));
    }
    request_record on_primary = request(request_result::served);
    on_primary.on_primary = true;
    measures.add(on_primary);
    measures.add(request(request_result::refused));
    on_primary.kind = request_kind::write;
    measures.add(on_primary);
    CHECK(measures.summary().replica_share == 0.75);
}

TEST_CASE("A gap lies between two served writes", "[service-level]") {
    service_measures measures;

    SECTION("whatever the order of the logs") {
        for (int const ms : {900, 1000, 3500, 3600}) {
            measures.add(write_at(ms, true));
        }
        measures.add(write_at(2000, false));
        measures.add(write_at(1500, false));
        auto const gaps = measures.summary().gaps;
        REQUIRE(gaps.size() == 1);
        CHECK(gaps[0].begin == milliseconds(1000));
        CHECK(gaps[0].length == milliseconds(2500));
        CHECK(gaps[0].unserved == 2);
        CHECK_FALSE(gaps[0].open);
    }
    SECTION("a quiet time in which nobody wrote is none") {
        measures.add(write_at(1000, true));
        measures.add(write_at(9000, true));
        CHECK(measures.summary().gaps.empty());
    }
    SECTION("what ends unserved is open") {
        measures.add(write_at(1000, true));
        measures.add(write_at(1200, false));
        auto const gaps = measures.summary().gaps;
        REQUIRE(gaps.size() == 1);
        CHECK(gaps[0].open);
        CHECK(gaps[0].length == milliseconds(200));
    }
    SECTION("groups have gaps of their own, the longest comes first") {
        for (std::string const group : {"short", "long"}) {
            for (int const ms : {1000, group == "long" ? 5000 : 2000}) {
                request_record write = write_at(ms, true);
                write.group = group;
                measures.add(write);
            }
            request_record lost = write_at(1500, false);
            lost.group = group;
            measures.add(lost);
        }
        auto const gaps = measures.summary().gaps;
        REQUIRE(gaps.size() == 2);
        CHECK(gaps[0].group == "long");
        CHECK(gaps[1].length == milliseconds(1000));
    }
}

TEST_CASE("The worst served team asked often enough to tell", "[service-level]") {
    service_measures measures;
    measures.add(request(request_result::refused));
    CHECK_FALSE(measures.summary().worst_team.has_value());
    for (int i = 0; i < 99; ++i) {
        measures.add(request(request_result::served));
        request_record other = request(request_result::served);
        other.team = "shrine";
        measures.add(other);
    }
    auto const summary = measures.summary();
    REQUIRE(summary.worst_team.has_value());
    CHECK(summary.worst_team->team == "weir");
    CHECK(summary.worst_team->share() == Approx(0.99));
    CHECK(summary.wrongful_refusals == 1);
    CHECK(summary.within_rate == 199);
}

TEST_CASE("A team over its rate is neither wronged nor badly served", "[service-level]") {
    service_measures measures;
    for (int i = 0; i < 50; ++i) {
        measures.add(request(request_result::served));
        measures.add(request(request_result::over_rate));
        measures.add(request(request_result::callers_error));
    }
    auto const summary = measures.summary();
    CHECK(summary.worst_team->share() == 1);
    CHECK(summary.wrongful_share() == 0);
    CHECK(summary.within_rate == 50);
}

TEST_CASE("Each error that a caller can get has a name and a result", "[service-level]") {
    for (int i = 0; i <= static_cast<int>(statement_error::in_doubt); ++i) {
        auto const code = static_cast<statement_error>(i);
        CHECK(parse_statement_error(to_string(code)) == code);
    }
    CHECK_FALSE(parse_statement_error("nonsense").has_value());
    CHECK(to_request_result(statement_error::none) == request_result::served);
    CHECK(to_request_result(statement_error::in_doubt) == request_result::in_doubt);
}
