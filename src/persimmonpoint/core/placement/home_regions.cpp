#include <persimmonpoint/core/placement/home_regions.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

bool names_or_is_empty(region_set const& regions, std::string_view region) {
    return regions.empty() || regions.find(region) != regions.end();
}

} // namespace

home_regions::home_regions(region_set of_route, region_set of_team)
    : of_route(std::move(of_route)), of_team(std::move(of_team)) {}

bool home_regions::allows(std::string_view region) const {
    return names_or_is_empty(this->of_route, region) &&
           names_or_is_empty(this->of_team, region);
}

bool home_regions::allows_zone(std::string_view zone, zone_regions const& regions) const {
    if (!this->is_bound()) {
        return true;
    }
    auto const found = regions.find(zone);
    return found != regions.end() && this->allows(found->second);
}

} // namespace persimmonpoint
