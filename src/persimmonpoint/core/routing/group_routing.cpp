#include <algorithm>
#include <persimmonpoint/core/routing/group_routing.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

/// How long reads skip a database after it could not be reached.
constexpr duration unreachable_backoff = std::chrono::milliseconds(500);
/// Load reports older than this are ignored.
constexpr duration load_report_lifetime = std::chrono::milliseconds(150);
/// How long a replica that was behind the floor is assumed to be behind still.
constexpr duration position_report_lifetime = std::chrono::milliseconds(100);

// Costs are in waiting requests per slot.
/// Keeps reads off the primary, whose capacity is needed for writes and transactions.
constexpr double primary_cost = 0.6;
constexpr double other_zone_cost = 0.05;
/// Reads wait long elsewhere before they use a cold database.
constexpr double cold_cost = 10;
constexpr double behind_floor_cost = 1.5;
/// About what opening a connection takes of a database, compared with a statement.
constexpr double unfamiliar_team_cost = 0.35;

/// How long a replica whose log lacked a floor is left to catch up.
constexpr duration first_lag_backoff = std::chrono::milliseconds(30);
constexpr duration longest_lag_backoff = std::chrono::seconds(1);

} // namespace

void group_routing::set_databases(std::vector<registered_database> databases) {
    for (registered_database const& each : databases) {
        registered_database const* const previous = this->find(each.id);
        if (previous != nullptr && previous->started_ms != each.started_ms) {
            this->stats_by_id.erase(each.id);
            this->speeds.forget(each.id);
        }
    }
    this->members = std::move(databases);
    std::erase_if(this->stats_by_id, [this](auto const& each) {
        return this->find(each.first) == nullptr;
    });
    if (this->current_leader && this->find(this->current_leader->database) == nullptr) {
        this->current_leader.reset();
    }
    if (this->current_leader && this->current_leader->term > 0) {
        return;
    }
    for (registered_database const& each : this->members) {
        if (each.claims_primary) {
            this->current_leader = known_leader{each.id, 0};
        }
    }
}

std::span<registered_database const> group_routing::databases() const {
    return this->members;
}

registered_database const* group_routing::find(std::string_view id) const {
    auto const found = std::find_if(
        this->members.begin(), this->members.end(),
        [id](registered_database const& each) { return each.id == id; });
    return found == this->members.end() ? nullptr : &*found;
}

void group_routing::set_evacuated_zones(std::set<std::string, std::less<>> zones) {
    this->evacuated_zones = std::move(zones);
}

bool group_routing::is_evacuated(registered_database const& database) const {
    return this->evacuated_zones.find(database.availability_zone) !=
           this->evacuated_zones.end();
}

void group_routing::set_warm_times(std::map<std::string, instant, std::less<>> times) {
    this->warm_times = std::move(times);
}

bool group_routing::is_cold(std::string_view id, instant now) const {
    auto const found = this->warm_times.find(id);
    return found != this->warm_times.end() && now < found->second;
}

bool group_routing::can_lead_without(std::string_view id) const {
    return std::any_of(
        this->members.begin(), this->members.end(), [&](registered_database const& each) {
            return each.id != id && !each.leaving && !this->is_evacuated(each);
        });
}

bool group_routing::is_out_of_service() const {
    bool const any_evacuated = std::any_of(
        this->members.begin(), this->members.end(),
        [this](registered_database const& each) { return this->is_evacuated(each); });
    return any_evacuated && !this->can_lead_without({});
}

bool group_routing::confirm_leader(std::string_view id, std::uint64_t term) {
    if (this->current_leader && term < this->current_leader->term) {
        return false;
    }
    if (this->current_leader && this->current_leader->database == id) {
        this->current_leader->term = term;
        return false;
    }
    this->current_leader = known_leader{std::string(id), term};
    return true;
}

void group_routing::clear_leader(std::string_view id) {
    if (!this->current_leader || this->current_leader->database != id) {
        return;
    }
    this->current_leader.reset();
    for (registered_database const& each : this->members) {
        if (each.claims_primary && each.id != id) {
            this->current_leader = known_leader{each.id, 0};
        }
    }
}

double group_routing::cost(
    registered_database const& database,
    std::optional<log_position> floor,
    std::string_view availability_zone,
    instant now) const {
    double cost = database.availability_zone == availability_zone ? 0 : other_zone_cost;
    bool const leads = this->is_leader(database);
    if (leads) {
        cost += primary_cost;
    }
    if (this->is_cold(database.id, now)) {
        cost += cold_cost;
    }
    // A read takes longer at a slow database, though nothing else waits there.
    double const slowness = this->speeds.slowness(database.id, now);
    cost += (slowness - 1) / database.slots;
    auto const found = this->stats_by_id.find(database.id);
    if (found == this->stats_by_id.end()) {
        return cost;
    }
    database_stats const& stats = found->second;
    double load = stats.outstanding;
    if (now - stats.load_reported_at < load_report_lifetime) {
        load = std::max<double>(load, stats.reported_load);
    }
    cost += slowness * load / database.slots;
    bool const behind_floor = floor && stats.last_position &&
                              *stats.last_position < *floor &&
                              now - stats.position_reported_at < position_report_lifetime;
    return behind_floor && !leads ? cost + behind_floor_cost : cost;
}

bool group_routing::is_leader(registered_database const& database) const {
    return this->current_leader && this->current_leader->database == database.id;
}

bool group_routing::is_behind(
    registered_database const& database,
    std::optional<log_position> floor,
    instant now) const {
    auto const found = this->stats_by_id.find(database.id);
    if (!floor || found == this->stats_by_id.end() || this->is_leader(database)) {
        return false;
    }
    database_stats const& stats = found->second;
    bool const has_floor = stats.last_position && *stats.last_position >= *floor;
    return now < stats.lags_until && !has_floor;
}

registered_database const* group_routing::preferred_by(std::string_view team) const {
    if (!this->has_team_affinity || team.empty()) {
        return nullptr;
    }
    registered_database const* best = nullptr;
    std::uint64_t best_weight = 0;
    for (registered_database const& each : this->members) {
        if (each.leaving || this->is_leader(each) || this->is_evacuated(each)) {
            continue;
        }
        std::uint64_t const weight = rendezvous_weight(team, each.id);
        if (best == nullptr || weight > best_weight) {
            best = &each;
            best_weight = weight;
        }
    }
    return best;
}

std::optional<std::string> group_routing::choose_for_read(
    std::optional<log_position> floor,
    std::string_view availability_zone,
    std::span<std::string const> excluded,
    instant now,
    std::string_view team) const {
    registered_database const* const preferred = this->preferred_by(team);
    registered_database const* best = nullptr;
    double best_cost = 0;
    for (registered_database const& each : this->members) {
        bool const was_tried =
            std::find(excluded.begin(), excluded.end(), each.id) != excluded.end();
        auto const found = this->stats_by_id.find(each.id);
        bool const backing_off =
            found != this->stats_by_id.end() && now < found->second.backoff_until;
        if (was_tried || backing_off || each.leaving || this->is_evacuated(each)) {
            continue;
        }
        if (this->is_behind(each, floor, now)) {
            continue;
        }
        bool const is_unfamiliar = preferred != nullptr && preferred != &each;
        double const each_cost = this->cost(each, floor, availability_zone, now) +
                                 (is_unfamiliar ? unfamiliar_team_cost : 0);
        if (best == nullptr || each_cost < best_cost) {
            best = &each;
            best_cost = each_cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->id;
}

void group_routing::sent(std::string_view id) {
    ++this->stats_by_id[std::string(id)].outstanding;
}

void group_routing::answered(
    std::string_view id,
    std::optional<log_position> position,
    std::optional<std::uint32_t> load,
    instant now) {
    database_stats& stats = this->stats_by_id[std::string(id)];
    if (stats.outstanding > 0) {
        --stats.outstanding;
    }
    if (load) {
        stats.reported_load = *load;
        stats.load_reported_at = now;
    }
    if (position) {
        stats.last_position = position;
        stats.position_reported_at = now;
    }
}

void group_routing::lagged(std::string_view id, instant now) {
    database_stats& stats = this->stats_by_id[std::string(id)];
    stats.lag_backoff =
        std::clamp(stats.lag_backoff * 2, first_lag_backoff, longest_lag_backoff);
    stats.lags_until = now + stats.lag_backoff;
}

void group_routing::caught_up(std::string_view id) {
    database_stats& stats = this->stats_by_id[std::string(id)];
    stats.lag_backoff = duration(0);
    stats.lags_until = instant();
}

void group_routing::unreachable(std::string_view id, instant now) {
    this->stats_by_id[std::string(id)].backoff_until = now + unreachable_backoff;
}

} // namespace persimmonpoint
