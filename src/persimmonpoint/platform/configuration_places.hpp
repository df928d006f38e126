#ifndef PERSIMMONPOINT_PLATFORM_CONFIGURATION_PLACES_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_CONFIGURATION_PLACES_HPP_INCLUDED

#include <string>
#include <string_view>

namespace persimmonpoint::platform {

/// The place of an entry, such as "teams/audit", in the words of the platform's
/// configuration: "tenants/audit". Any other place stays as it is.
std::string place_in_document(std::string_view place);

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_CONFIGURATION_PLACES_HPP_INCLUDED
