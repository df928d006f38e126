#ifndef PERSIMMONPOINT_ENGINE_TRAFFIC_COUNTS_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_TRAFFIC_COUNTS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <persimmonpoint/core/routing/connection_counts.hpp>
#include <persimmonpoint/observe/latency_histogram.hpp>
#include <string>

namespace persimmonpoint::engine {

/// Counts of what callers got.
struct traffic_counts {
    std::uint64_t sessions_opened = 0;
    std::uint64_t statements = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t refused_quota = 0;
    std::uint64_t refused_busy = 0;
    std::uint64_t in_doubt = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t aborted = 0;
    std::uint64_t other_errors = 0;
    std::uint64_t retries = 0;
    std::uint64_t reads_on_replicas = 0;
    std::uint64_t reads_on_primaries = 0;
    std::map<std::string, observe::latency_histogram, std::less<>>
        latencies; ///< By route.
};

/// The figures of a host at one moment, beside its counts.
struct host_gauges {
    std::uint64_t configuration = 0;
    std::uint64_t directory = 0;
    std::uint64_t sessions = 0;
    std::uint64_t peers_connected = 0;
    connection_counts database_connections;
    std::uint64_t database_connections_opened = 0;
    std::uint64_t orders_open = 0;
    std::uint64_t leadership_changes = 0;
    std::uint64_t log_lines_dropped = 0;
    // Connections of callers that were closed for what they did.
    std::uint64_t callers_over_budget = 0;
    std::uint64_t callers_too_late = 0;
    std::uint64_t callers_over_connections = 0;
    std::uint64_t evacuated_zones = 0;
    std::uint64_t evacuated_databases = 0; ///< That this host has connections to.
    std::uint64_t cold_databases = 0;
};

/// All of it in the text format of Prometheus.
std::string format_metrics(traffic_counts const& counts, host_gauges const& gauges);

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_TRAFFIC_COUNTS_HPP_INCLUDED
