#include <algorithm>
#include <persimmonpoint/core/membership/drain_times.hpp>

namespace persimmonpoint {

namespace {

/// From the store's answer to the database until this host reads it, and for an order on
/// its way: the store is read each 0.8 s.
constexpr duration notice_delay = std::chrono::milliseconds(1200);
/// A row that lapses and returns is the same departure's. Later nobody asks for it.
constexpr duration memory = std::chrono::minutes(10);

} // namespace

drain_times::drain_times(duration served)
    : served(std::max(served - notice_delay, duration(0))) {}

void drain_times::update(databases const& present, instant now) {
    std::erase_if(this->notices, [&](auto const& each) {
        auto const found = present.find(each.first);
        if (found == present.end()) {
            return now - each.second.seen_at > memory;
        }
        return !found->second.leaving ||
               found->second.started_ms != each.second.started_ms;
    });
    for (auto const& [id, database] : present) {
        if (database.leaving) {
            this->notices.emplace(id, departure_notice{database.started_ms, now});
        }
    }
}

std::optional<instant> drain_times::work_ends_at(std::string_view id) const {
    auto const found = this->notices.find(id);
    return found == this->notices.end()
               ? std::nullopt
               : std::optional(found->second.seen_at + this->served);
}

} // namespace persimmonpoint
