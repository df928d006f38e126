#include <algorithm>
#include <persimmonpoint/core/routing/connection_choice.hpp>

namespace persimmonpoint {

namespace {

/// A connection with more prepared statements, or more bytes of their shapes, than this
/// is reset before its next use outside a transaction, which drops them. Any one shape
/// fits.
constexpr std::size_t max_prepared_statements = 200;
constexpr std::size_t max_prepared_bytes = 1024 * 1024;
/// The same for a connection in a transaction, which can't be reset.
constexpr std::size_t max_transaction_statements = 1000;
constexpr std::size_t max_transaction_bytes = 4 * 1024 * 1024;

bool has_too_many(prepared_names const& prepared) {
    return prepared.size() > max_prepared_statements ||
           prepared.bytes() > max_prepared_bytes;
}

/// True if session values are set on the connection that the request doesn't set.
bool has_extra_values(session_values const& current, session_values const& wanted) {
    return std::any_of(current.begin(), current.end(), [&wanted](auto const& each) {
        return wanted.count(each.first) == 0;
    });
}

/// Ranks the session setup that a request needs on a connection; lower is better.
/// 0: none, 1: a prepare, 2: setting session values, 3: a reset.
int setup_cost(upstream_request const& order, pooled_connection const& connection) {
    if (has_extra_values(connection.values, order.values)) {
        return 3;
    }
    if (connection.values != order.values) {
        return 2;
    }
    return order.prepared && !connection.prepared.find(*order.prepared) ? 1 : 0;
}

} // namespace

connection_choice choose_connection(
    upstream_request const& order,
    std::span<pooled_connection const* const> pool,
    connection_limits const& limits) {
    pooled_connection const* best = nullptr;
    pooled_connection const* lru_other_team = nullptr;
    bool opening = false;
    std::uint32_t shared_by_team = 0;
    for (pooled_connection const* const connection : pool) {
        pooled_connection const& each = *connection;
        bool const same_team = each.team == order.team;
        opening =
            opening || (same_team && each.state == pooled_connection_state::opening);
        shared_by_team +=
            same_team && each.state != pooled_connection_state::in_transaction ? 1 : 0;
        if (each.state != pooled_connection_state::idle) {
            continue;
        }
        if (!same_team) {
            bool const older =
                lru_other_team == nullptr || each.last_used < lru_other_team->last_used;
            lru_other_team = older ? &each : lru_other_team;
            continue;
        }
        bool const better =
            best == nullptr || setup_cost(order, each) < setup_cost(order, *best);
        best = better ? &each : best;
    }
    if (best != nullptr) {
        return {connection_choice::step::use, best->id};
    }
    if (opening || shared_by_team >= limits.max_per_team) {
        return {};
    }
    if (pool.size() < limits.connections) {
        return {connection_choice::step::open, 0};
    }
    if (lru_other_team != nullptr) {
        return {connection_choice::step::evict, lru_other_team->id};
    }
    return {};
}

std::vector<std::uint64_t> surplus_connections(
    std::span<pooled_connection const* const> pool,
    connection_limits const& limits,
    instant now) {
    std::vector<pooled_connection const*> idle;
    for (pooled_connection const* const each : pool) {
        if (each->state == pooled_connection_state::idle) {
            idle.push_back(each);
        }
    }
    std::sort(
        idle.begin(), idle.end(),
        [](pooled_connection const* left, pooled_connection const* right) {
            return left->last_used < right->last_used;
        });
    std::size_t left = pool.size();
    std::vector<std::uint64_t> surplus;
    for (pooled_connection const* const each : idle) {
        bool const stale = limits.idle_timeout > duration(0) &&
                           now - each->last_used > limits.idle_timeout;
        bool const spare = left > limits.min_retained && stale;
        if (left <= limits.connections && !spare) {
            break;
        }
        --left;
        surplus.push_back(each->id);
    }
    return surplus;
}

bool fits_transaction(
    upstream_request const& order, pooled_connection const& connection) {
    prepared_names const& prepared = connection.prepared;
    if (!order.prepared || prepared.find(*order.prepared)) {
        return true;
    }
    return prepared.size() < max_transaction_statements &&
           prepared.bytes() + order.prepared->shape.size() <= max_transaction_bytes;
}

std::vector<setup_step>
plan_setup(upstream_request const& order, pooled_connection const& connection) {
    std::vector<setup_step> steps;
    bool const in_transaction =
        connection.state == pooled_connection_state::in_transaction;
    bool const drop_prepared = !in_transaction && has_too_many(connection.prepared);
    bool const reset = drop_prepared || has_extra_values(connection.values, order.values);
    if (reset) {
        steps.push_back({setup_kind::reset, {}, {}});
    }
    for (auto const& [name, value] : order.values) {
        auto const found = connection.values.find(name);
        if (reset || found == connection.values.end() || found->second != value) {
            steps.push_back({setup_kind::set, name, value});
        }
    }
    if (order.prepared && (reset || !connection.prepared.find(*order.prepared))) {
        steps.push_back({setup_kind::prepare, {}, {}});
    }
    return steps;
}

} // namespace persimmonpoint
