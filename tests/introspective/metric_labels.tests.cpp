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
