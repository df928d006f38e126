#include <persimmonpoint/traffic/worker_context.hpp>

namespace persimmonpoint::traffic {

group_view const& worker_context::view_of(std::string_view group) const {
    static group_view const unknown;
    if (!this->snapshot) {
        return unknown;
    }
    auto const found = this->snapshot->groups.find(group);
    return found == this->snapshot->groups.end() ? unknown : *found->second;
}

std::vector<database_load> worker_context::loads_of(std::string_view group) const {
    std::vector<database_load> loads;
    auto const found = this->pools.find(group);
    if (found != this->pools.end()) {
        for (auto const& pool : found->second) {
            loads.push_back(pool->load());
        }
    }
    loads.resize(this->view_of(group).databases.size());
    return loads;
}

} // namespace persimmonpoint::traffic
