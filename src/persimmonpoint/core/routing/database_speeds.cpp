#include <algorithm>
#include <optional>
#include <persimmonpoint/core/routing/database_speeds.hpp>

namespace persimmonpoint {

namespace {

/// A report this old says nothing any more: the database is tried again.
constexpr duration memory = std::chrono::seconds(10);
/// Smaller differences come from what the statements ask for.
constexpr double least_slowness = 1.8;
constexpr double most_slowness = 16;
/// Smaller shares of failures are left to retries.
constexpr double least_failing = 0.15;
constexpr double most_failing = 0.9;

} // namespace

void database_speeds::reported(
    std::string_view database, speed_report const& report, instant now) {
    auto found = this->speeds.find(database);
    if (found == this->speeds.end()) {
        found = this->speeds.emplace(std::string(database), known_speed()).first;
    }
    known_speed& known = found->second;
    if (report.time > duration(0)) {
        known.times[report.kind] = {report.time, now};
    }
    known.failing = report.failing;
    known.seen = now;
}

void database_speeds::forget(std::string_view database) {
    auto const found = this->speeds.find(database);
    if (found != this->speeds.end()) {
        this->speeds.erase(found);
    }
}

double database_speeds::slowness(std::string_view database, instant now) const {
    auto const found = this->speeds.find(database);
    if (found == this->speeds.end() || now - found->second.seen > memory) {
        return 1;
    }
    double slowest = 1;
    for (auto const& [kind, own] : found->second.times) {
        std::optional<duration> fastest;
        for (auto const& each : this->speeds) {
            auto const other = each.second.times.find(kind);
            bool const is_known =
                other != each.second.times.end() && now - other->second.seen <= memory;
            if (is_known) {
                fastest =
                    std::min(fastest.value_or(other->second.time), other->second.time);
            }
        }
        if (fastest && now - own.seen <= memory) {
            slowest = std::max(slowest, to_seconds(own.time) / to_seconds(*fastest));
        }
    }
    double const failing = found->second.failing;
    double const attempts =
        failing < least_failing ? 1 : 1 / (1 - std::min(failing, most_failing));
    double const ratio = slowest < least_slowness ? 1 : slowest;
    return std::min(ratio * attempts, most_slowness);
}

} // namespace persimmonpoint
