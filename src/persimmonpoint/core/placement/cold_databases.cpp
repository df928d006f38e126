#include <algorithm>
#include <persimmonpoint/core/placement/cold_databases.hpp>

namespace persimmonpoint {

void cold_databases::update(
    std::map<std::string, registered_database, std::less<>> const& databases,
    instant now) {
    std::erase_if(this->readings, [&databases](auto const& each) {
        return databases.find(each.first) == databases.end();
    });
    for (auto const& [id, entry] : databases) {
        auto const found = this->readings.find(id);
        bool const is_same = found != this->readings.end() &&
                             found->second.started_ms == entry.started_ms &&
                             found->second.told_ms == entry.cold_remaining_ms;
        if (is_same) {
            continue;
        }
        std::chrono::milliseconds const remaining(entry.cold_remaining_ms);
        instant const warm_at = remaining.count() > 0 ? now + remaining : instant();
        this->readings.insert_or_assign(
            id, reading{entry.started_ms, entry.cold_remaining_ms, warm_at});
    }
}

std::size_t cold_databases::count(instant now) const {
    return static_cast<std::size_t>(std::count_if(
        this->readings.begin(), this->readings.end(),
        [now](auto const& each) { return now < each.second.warm_at; }));
}

instant cold_databases::warm_at(std::string_view id) const {
    auto const found = this->readings.find(id);
    return found == this->readings.end() ? instant() : found->second.warm_at;
}

} // namespace persimmonpoint
