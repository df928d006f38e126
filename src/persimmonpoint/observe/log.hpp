#ifndef PERSIMMONPOINT_OBSERVE_LOG_HPP_INCLUDED
#define PERSIMMONPOINT_OBSERVE_LOG_HPP_INCLUDED

/// Logs: short sentences, each behind the prefix of the part that writes it.
/// Neither keys nor parameter values nor statement texts may be logged.

#include <string_view>

namespace persimmonpoint::observe {

enum class log_level { debug, info, warning, error };

/// The parts of the system, one fixed prefix each.
enum class log_part { app, catalog, control, group, platform, session, traffic };

/// Nothing if the name is not debug, info, warning or error.
bool parse_log_level(std::string_view name, log_level& level);

/// Sets the least severe level that is written. May be called again.
void set_log_level(log_level level);

void log(log_level level, log_part part, std::string_view sentence);

} // namespace persimmonpoint::observe

#endif // PERSIMMONPOINT_OBSERVE_LOG_HPP_INCLUDED
