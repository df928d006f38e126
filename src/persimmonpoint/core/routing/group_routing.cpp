#include <algorithm>
#include <persimmonpoint/core/routing/group_routing.hpp>

namespace persimmonpoint {

namespace {

/// How long a database is avoided after it could not be reached.
constexpr duration avoid_time = std::chrono::milliseconds(500);
/// A load report loses its weight in this time.
constexpr duration load_report_life = std::chrono::milliseconds(150);
/// How long a replica that lacked a position is taken to lack it still.
constexpr duration reached_life = std::chrono::milliseconds(100);

// Costs are in orders waiting per slot.
/// The primary is left to the work that must go there.
constexpr double primary_cost = 0.6;
constexpr double other_zone_cost = 0.05;
constexpr double lacks_floor_cost = 1.5;

} // namespace

void group_routing::set_databases(std::vector<registered_database> databases) {
    for (registered_database const& each : databases) {
        registered_database const* const before = this->find(each.id);
        if (before != nullptr && before->started_ms != each.started_ms) {
            this->known.erase(each.id);
        }
    }
    this->members = std::move(databases);
    std::erase_if(this->known, [this](auto const& each) {
        return this->find(each.first) == nullptr;
    });
    if (this->belief && this->find(this->belief->database) == nullptr) {
        this->belief.reset();
    }
    if (this->belief && this->belief->term > 0) {
        return;
    }
    for (registered_database const& each : this->members) {
        if (each.claims_primary) {
            this->belief = leader_belief{each.id, 0};
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

bool group_routing::leader_proved(std::string_view id, std::uint64_t term) {
    if (this->belief && term < this->belief->term) {
        return false;
    }
    if (this->belief && this->belief->database == id) {
        this->belief->term = term;
        return false;
    }
    this->belief = leader_belief{std::string(id), term};
    return true;
}

void group_routing::leader_denied(std::string_view id) {
    if (!this->belief || this->belief->database != id) {
        return;
    }
    this->belief.reset();
    for (registered_database const& each : this->members) {
        if (each.claims_primary && each.id != id) {
            this->belief = leader_belief{each.id, 0};
        }
    }
}

double group_routing::cost(
    registered_database const& database,
    std::optional<log_position> floor,
    std::string_view availability_zone,
    instant now) const {
    double cost = database.availability_zone == availability_zone ? 0 : other_zone_cost;
    bool const leads = this->belief && this->belief->database == database.id;
    if (leads) {
        cost += primary_cost;
    }
    auto const found = this->known.find(database.id);
    if (found == this->known.end()) {
        return cost;
    }
    knowledge const& facts = found->second;
    double load = facts.outstanding;
    if (now - facts.load_reported < load_report_life) {
        load = std::max<double>(load, facts.reported_load);
    }
    cost += load / database.slots;
    bool const lacked = floor && facts.reached && *facts.reached < *floor &&
                        now - facts.reached_at < reached_life;
    return lacked && !leads ? cost + lacks_floor_cost : cost;
}

std::optional<std::string> group_routing::choose_for_read(
    std::optional<log_position> floor,
    std::string_view availability_zone,
    std::span<std::string const> excluded,
    instant now) const {
    registered_database const* best = nullptr;
    double best_cost = 0;
    for (registered_database const& each : this->members) {
        bool const was_tried =
            std::find(excluded.begin(), excluded.end(), each.id) != excluded.end();
        auto const found = this->known.find(each.id);
        bool const avoided =
            found != this->known.end() && now < found->second.avoided_until;
        if (was_tried || avoided || each.leaving) {
            continue;
        }
        double const each_cost = this->cost(each, floor, availability_zone, now);
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
    ++this->known[std::string(id)].outstanding;
}

void group_routing::answered(
    std::string_view id,
    std::optional<log_position> position,
    std::optional<std::uint32_t> load,
    instant now) {
    knowledge& facts = this->known[std::string(id)];
    if (facts.outstanding > 0) {
        --facts.outstanding;
    }
    if (load) {
        facts.reported_load = *load;
        facts.load_reported = now;
    }
    if (position) {
        facts.reached = position;
        facts.reached_at = now;
    }
}

void group_routing::unreachable(std::string_view id, instant now) {
    this->known[std::string(id)].avoided_until = now + avoid_time;
}

} // namespace persimmonpoint
