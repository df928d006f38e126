#include <persimmonpoint/core/catalog/fleet_configuration.hpp>

namespace persimmonpoint {

served_route const* fleet_configuration::find_route(std::string_view database) const {
    auto const found = this->routes.find(database);
    return found == this->routes.end() ? nullptr : &found->second;
}

served_team const* fleet_configuration::find_team(std::string_view name) const {
    auto const found = this->teams.find(name);
    return found == this->teams.end() ? nullptr : &found->second;
}

std::string_view fleet_configuration::team_of(std::string_view key) const {
    auto const found = this->keys.find(key);
    return found == this->keys.end() ? std::string_view() : found->second;
}

} // namespace persimmonpoint
