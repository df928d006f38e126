#ifndef PERSIMMONPOINT_CORE_CATALOG_CONFIGURATION_DIFFERENCES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_CONFIGURATION_DIFFERENCES_HPP_INCLUDED

#include <persimmonpoint/core/catalog/fleet_configuration.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// One entry that differs between two configurations.
struct configuration_difference {
    std::string place;  ///< For example "routes/reports".
    std::string change; ///< What differs.
    std::string effect; ///< What sessions that are open see of it.

    friend bool operator==(
        configuration_difference const&, configuration_difference const&) = default;
};

/// What changes for hosts that go from the one to the other. Keys are counted, never
/// named.
std::vector<configuration_difference> compare_configurations(
    fleet_configuration const& in_force, fleet_configuration const& wanted);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_CONFIGURATION_DIFFERENCES_HPP_INCLUDED
