#include <algorithm>
#include <persimmonpoint/core/routing/read_router.hpp>

namespace persimmonpoint {

namespace {

// Score weights, in microseconds of expected delay.
constexpr double queued_request_cost = 1000;
constexpr double no_connection_cost = 2000;
constexpr double other_zone_cost = 200;
/// Log entries. A replica further behind the floor has probably not caught up.
constexpr std::uint64_t max_candidate_lag = 64;
constexpr double cost_per_missing_entry = 100;
/// Range of the random tie-breaker, which keeps hosts from all choosing the same replica.
constexpr double tie_breaker_range = 100;

bool is_excluded(read_request const& request, std::size_t index) {
    return index < request.excluded.size() && request.excluded[index] != 0;
}

/// Log entries that the replica was behind the floor at its last report. Nothing if it is
/// in an older term or too far behind to have caught up.
std::optional<std::uint64_t>
lag_behind(database_view const& replica, log_position floor) {
    log_position const end = replica.report.end_of_log;
    if (covers(end, floor)) {
        return 0;
    }
    if (end.term < floor.term || floor.offset - end.offset > max_candidate_lag) {
        return std::nullopt;
    }
    return floor.offset - end.offset;
}

/// Expected delay of a read at the replica; lower is better.
double score(
    database_view const& replica,
    database_load const& load,
    std::uint64_t lag,
    read_request const& request) {
    double total = std::chrono::duration<double, std::micro>(replica.round_trip).count();
    total += queued_request_cost * static_cast<double>(load.waiting);
    total += load.free_connections == 0 ? no_connection_cost : 0;
    total += replica.availability_zone == request.availability_zone ? 0 : other_zone_cost;
    total += cost_per_missing_entry * static_cast<double>(lag);
    return total;
}

} // namespace

std::optional<std::size_t> choose_for_read(
    group_view const& view,
    std::span<database_load const> loads,
    read_request const& request) {
    std::optional<std::size_t> best;
    double best_score = 0;
    for (std::size_t i = 0; i < view.databases.size(); ++i) {
        database_view const& each = view.databases[i];
        bool const candidate = i != view.primary && each.reachable && !each.leaving &&
                               !each.report.is_primary && !is_excluded(request, i);
        auto const lag = candidate ? lag_behind(each, request.floor) : std::nullopt;
        if (!lag) {
            continue;
        }
        // Low values of the tie-breaker favour even indexes, high values odd ones.
        double const tie = tie_breaker_range *
                           (i % 2 == 0 ? request.tie_breaker : 1 - request.tie_breaker);
        double const total = score(each, loads[i], *lag, request) + tie;
        if (!best || total < best_score) {
            best = i;
            best_score = total;
        }
    }
    if (!best && view.primary && !is_excluded(request, *view.primary)) {
        return view.primary;
    }
    return best;
}

} // namespace persimmonpoint
