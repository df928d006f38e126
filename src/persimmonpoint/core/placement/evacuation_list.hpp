#ifndef PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_LIST_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_LIST_HPP_INCLUDED

#include <persimmonpoint/core/catalog/store_version.hpp>
#include <set>
#include <string>

namespace persimmonpoint {

/// The availability zones that the operator has evacuated, as of one version of the
/// store: their databases are sent nothing.
struct evacuation_list {
    store_version version;
    std::set<std::string, std::less<>> zones;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_LIST_HPP_INCLUDED
