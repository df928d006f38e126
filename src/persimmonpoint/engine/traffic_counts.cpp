#include <persimmonpoint/engine/traffic_counts.hpp>
#include <string_view>

namespace persimmonpoint::engine {

namespace {

void line(std::string& out, std::string_view name, std::uint64_t value) {
    out.append("persimmonpoint_").append(name).append(" ");
    out.append(std::to_string(value)).append("\n");
}

void outcome(std::string& out, std::string_view name, std::uint64_t value) {
    out.append("persimmonpoint_statements_total{outcome=\"").append(name).append("\"} ");
    out.append(std::to_string(value)).append("\n");
}

/// A label's value in the text format of Prometheus.
std::string label_value(std::string_view text) {
    std::string escaped;
    for (char const each : text) {
        if (each == '\n') {
            escaped += "\\n";
            continue;
        }
        if (each == '\\' || each == '"') {
            escaped += '\\';
        }
        escaped += each;
    }
    return escaped;
}

} // namespace

std::string format_metrics(traffic_counts const& counts, host_gauges const& gauges) {
    std::string out;
    line(out, "sessions_opened_total", counts.sessions_opened);
    line(out, "statements_received_total", counts.statements);
    outcome(out, "succeeded", counts.succeeded);
    outcome(out, "over_quota", counts.refused_quota);
    outcome(out, "busy", counts.refused_busy);
    outcome(out, "in_doubt", counts.in_doubt);
    outcome(out, "timeout", counts.timeouts);
    outcome(out, "aborted", counts.aborted);
    outcome(out, "other_error", counts.other_errors);
    line(out, "retries_total", counts.retries);
    line(out, "reads_total{on=\"replica\"}", counts.reads_on_replicas);
    line(out, "reads_total{on=\"primary\"}", counts.reads_on_primaries);
    line(out, "configuration_version", gauges.configuration);
    line(out, "directory_version", gauges.directory);
    line(out, "sessions", gauges.sessions);
    line(out, "peers_connected", gauges.peers_connected);
    connection_counts const& connections = gauges.database_connections;
    line(out, "database_connections", connections.all());
    line(out, "database_connections_now{state=\"opening\"}", connections.opening);
    line(out, "database_connections_now{state=\"idle\"}", connections.idle);
    line(out, "database_connections_now{state=\"busy\"}", connections.busy);
    line(out, "database_connections_now{state=\"ending\"}", connections.ending);
    line(
        out, "database_connections_now{state=\"in_transaction\"}",
        connections.in_transaction);
    line(out, "database_connections_opened_total", gauges.database_connections_opened);
    line(out, "orders_open", gauges.orders_open);
    line(out, "leadership_changes_total", gauges.leadership_changes);
    line(out, "log_lines_dropped_total", gauges.log_lines_dropped);
    line(out, "callers_closed_total{reason=\"budget\"}", gauges.callers_over_budget);
    line(out, "callers_closed_total{reason=\"late\"}", gauges.callers_too_late);
    line(
        out, "callers_closed_total{reason=\"connections\"}",
        gauges.callers_over_connections);
    line(out, "evacuated_zones", gauges.evacuated_zones);
    line(out, "evacuated_databases", gauges.evacuated_databases);
    line(out, "cold_databases", gauges.cold_databases);
    for (auto const& [route, histogram] : counts.latencies) {
        histogram.write(
            out, "persimmonpoint_statement_seconds",
            "route=\"" + label_value(route) + "\"");
    }
    return out;
}

} // namespace persimmonpoint::engine
