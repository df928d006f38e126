#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <persimmonpoint/engine/traffic_counts.hpp>
#include <string>

using namespace persimmonpoint;

TEST_CASE("A route's name is no more than a label's value in the metrics", "[metrics]") {
    engine::traffic_counts counts;
    counts.latencies["a\"} 1\nforged{x=\""].add(std::chrono::milliseconds(1));
    std::string const text = engine::format_metrics(counts, {});
    CHECK(text.find("\nforged") == std::string::npos);
    CHECK(text.find(R"(route="a\"} 1\nforged{x=\"")") != std::string::npos);
}

TEST_CASE(
    "The metrics tell what connections to databases are doing", "[metrics][owner]") {
    engine::host_gauges gauges;
    gauges.database_connections.add(pooled_connection_state::idle);
    gauges.database_connections.add(pooled_connection_state::ending);
    gauges.database_connections.add(pooled_connection_state::ending);
    std::string const text = engine::format_metrics({}, gauges);
    auto const has = [&text](std::string const& line) {
        return text.find("persimmonpoint_database_connections" + line + "\n") !=
               std::string::npos;
    };
    CHECK(has(" 3"));
    CHECK(has("_now{state=\"idle\"} 1"));
    CHECK(has("_now{state=\"ending\"} 2"));
    CHECK(has("_now{state=\"busy\"} 0"));
}
