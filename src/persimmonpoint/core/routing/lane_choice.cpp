#include <algorithm>
#include <persimmonpoint/core/routing/lane_choice.hpp>

namespace persimmonpoint {

namespace {

/// More prepared statements than this on a connection are dropped by a reset.
constexpr std::size_t most_prepared = 200;

bool has_foreign_values(session_values const& present, session_values const& wanted) {
    return std::any_of(present.begin(), present.end(), [&wanted](auto const& each) {
        return wanted.count(each.first) == 0;
    });
}

/// Lower is better.
int setup_cost(work_order const& order, lane_view const& lane) {
    if (has_foreign_values(lane.values, order.values)) {
        return 3;
    }
    if (lane.values != order.values) {
        return 2;
    }
    return order.prepared && lane.prepared.count(*order.prepared) == 0 ? 1 : 0;
}

} // namespace

lane_decision choose_lane(
    work_order const& order,
    std::span<lane_view const* const> lanes,
    lane_limits const& limits) {
    lane_view const* best = nullptr;
    lane_view const* oldest_foreign = nullptr;
    bool opening = false;
    std::uint32_t shared_by_team = 0;
    for (lane_view const* const lane : lanes) {
        lane_view const& each = *lane;
        bool const own = each.team == order.team;
        opening = opening || (own && each.state == lane_state::opening);
        shared_by_team += own && each.state != lane_state::in_transaction ? 1 : 0;
        if (each.state != lane_state::idle) {
            continue;
        }
        if (!own) {
            bool const older =
                oldest_foreign == nullptr || each.last_used < oldest_foreign->last_used;
            oldest_foreign = older ? &each : oldest_foreign;
            continue;
        }
        bool const better =
            best == nullptr || setup_cost(order, each) < setup_cost(order, *best);
        best = better ? &each : best;
    }
    if (best != nullptr) {
        return {lane_decision::step::use, best->id};
    }
    if (opening || shared_by_team >= limits.per_team) {
        return {};
    }
    if (lanes.size() < limits.connections) {
        return {lane_decision::step::open, 0};
    }
    if (oldest_foreign != nullptr) {
        return {lane_decision::step::evict, oldest_foreign->id};
    }
    return {};
}

std::vector<std::uint64_t> surplus_lanes(
    std::span<lane_view const* const> lanes, lane_limits const& limits, instant now) {
    std::vector<lane_view const*> idle;
    for (lane_view const* const each : lanes) {
        if (each->state == lane_state::idle) {
            idle.push_back(each);
        }
    }
    std::sort(
        idle.begin(), idle.end(), [](lane_view const* left, lane_view const* right) {
            return left->last_used < right->last_used;
        });
    std::size_t left = lanes.size();
    std::vector<std::uint64_t> surplus;
    for (lane_view const* const each : idle) {
        bool const stale =
            limits.idle_life > duration(0) && now - each->last_used > limits.idle_life;
        bool const spare = left > limits.lasting && stale;
        if (left <= limits.connections && !spare) {
            break;
        }
        --left;
        surplus.push_back(each->id);
    }
    return surplus;
}

std::vector<setup_step> plan_setup(work_order const& order, lane_view const& lane) {
    std::vector<setup_step> steps;
    bool const in_transaction = lane.state == lane_state::in_transaction;
    bool const drop_prepared = !in_transaction && lane.prepared.size() > most_prepared;
    bool const reset = drop_prepared || has_foreign_values(lane.values, order.values);
    if (reset) {
        steps.push_back({setup_kind::reset, {}, {}});
    }
    for (auto const& [name, value] : order.values) {
        auto const found = lane.values.find(name);
        if (reset || found == lane.values.end() || found->second != value) {
            steps.push_back({setup_kind::set, name, value});
        }
    }
    if (order.prepared && (reset || lane.prepared.count(*order.prepared) == 0)) {
        steps.push_back({setup_kind::prepare, {}, {}});
    }
    return steps;
}

} // namespace persimmonpoint
