#ifndef PERSIMMONPOINT_APP_EMBEDDED_SETTINGS_HPP_INCLUDED
#define PERSIMMONPOINT_APP_EMBEDDED_SETTINGS_HPP_INCLUDED

#include <string_view>

namespace persimmonpoint::app {

/// The text of settings/fisheries.toml, which the demonstration uses unless told
/// otherwise.
std::string_view embedded_settings();

} // namespace persimmonpoint::app

#endif // PERSIMMONPOINT_APP_EMBEDDED_SETTINGS_HPP_INCLUDED
