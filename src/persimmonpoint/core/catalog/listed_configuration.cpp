#include <persimmonpoint/core/catalog/listed_configuration.hpp>
#include <utility>

namespace persimmonpoint {

fleet_configuration index_configuration(listed_configuration listed) {
    fleet_configuration indexed;
    indexed.version = listed.version;
    indexed.transaction_idle = listed.transaction_idle;
    for (served_route& each : listed.routes) {
        indexed.routes.insert_or_assign(each.database, std::move(each));
    }
    for (served_group& each : listed.groups) {
        indexed.groups.insert_or_assign(each.name, std::move(each));
    }
    for (listed_team& each : listed.teams) {
        for (std::string& key : each.keys) {
            indexed.keys.insert_or_assign(std::move(key), each.team.name);
        }
        indexed.teams.insert_or_assign(each.team.name, std::move(each.team));
    }
    return indexed;
}

} // namespace persimmonpoint
