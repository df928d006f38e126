#ifndef PERSIMMONPOINT_CORE_CATALOG_LISTED_CONFIGURATION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_LISTED_CONFIGURATION_HPP_INCLUDED

/// The operator's configuration as it is written: its lists in order, with entries that
/// others take the place of.

#include <cstdint>
#include <persimmonpoint/core/catalog/entry_rules.hpp>
#include <persimmonpoint/core/catalog/fleet_configuration.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

struct listed_team {
    served_team team;
    std::vector<std::string> keys;
};

struct listed_configuration {
    std::uint64_t version = 0;
    std::vector<served_route> routes;
    std::vector<served_group> groups;
    std::vector<listed_team> teams;
    duration transaction_idle{0};
    std::vector<entry_fault> left_out; ///< Entries that can't be used.
};

/// The form that hosts go by: of entries with the same name, the last one.
fleet_configuration index_configuration(listed_configuration listed);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_LISTED_CONFIGURATION_HPP_INCLUDED
