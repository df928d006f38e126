#include <array>
#include <persimmonpoint/platform/configuration_places.hpp>
#include <utility>

namespace persimmonpoint::platform {

namespace {

constexpr std::array<std::pair<std::string_view, std::string_view>, 2> list_names = {
    {{"teams/", "tenants/"}, {"groups/", "services/"}}};

} // namespace

std::string place_in_document(std::string_view place) {
    for (auto const& [own, platform] : list_names) {
        if (place.starts_with(own)) {
            return std::string(platform).append(place.substr(own.size()));
        }
    }
    return std::string(place);
}

} // namespace persimmonpoint::platform
