#ifndef PERSIMMONPOINT_CORE_PLACEMENT_HOME_REGIONS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_PLACEMENT_HOME_REGIONS_HPP_INCLUDED

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// Names of regions; empty where none is named.
using region_set = std::set<std::string, std::less<>>;

/// The region of each availability zone, by the settings of a host.
using zone_regions = std::map<std::string, std::string, std::less<>>;

/// Where a request may be brought to: to the regions that its route and its team both
/// allow. A route or team that names none allows all.
class home_regions {
public:
    home_regions() = default;
    home_regions(region_set of_route, region_set of_team);

    /// False if the request may be brought anywhere.
    bool is_bound() const { return !this->of_route.empty() || !this->of_team.empty(); }
    bool allows(std::string_view region) const;
    /// False for a zone of no known region, unless the request may be brought anywhere.
    bool allows_zone(std::string_view zone, zone_regions const& regions) const;

private:
    region_set of_route;
    region_set of_team;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_PLACEMENT_HOME_REGIONS_HPP_INCLUDED
