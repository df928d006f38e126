#ifndef PERSIMMONPOINT_OBSERVE_EVENT_LOG_HPP_INCLUDED
#define PERSIMMONPOINT_OBSERVE_EVENT_LOG_HPP_INCLUDED

/// Structured logs: one JSON object a line on standard output. Lines are written by a
/// thread of their own from a bounded queue; a full queue drops them and counts them.
/// Neither keys nor values nor statement texts may be logged.

#include <cstdint>
#include <initializer_list>
#include <persimmonpoint/observe/log.hpp>
#include <string>
#include <string_view>
#include <variant>

namespace persimmonpoint::observe {

struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    log_field(std::string_view name, std::string_view text) : name(name), value(text) {}
    log_field(std::string_view name, std::string const& text)
        : name(name), value(std::string_view(text)) {}
    log_field(std::string_view name, char const* text)
        : name(name), value(std::string_view(text)) {}
    log_field(std::string_view name, bool flag) : name(name), value(flag) {}
    log_field(std::string_view name, double number) : name(name), value(number) {}
    template <class Number>
    requires std::is_integral_v<Number> log_field(std::string_view name, Number number)
        : name(name), value(static_cast<std::int64_t>(number)) {}
};

/// Starts the queue and its thread. Until then, and after `stop_event_log`, nothing is
/// written. `host` stands in every line.
void start_event_log(std::string_view host);
/// Writes what is queued, and ends the thread.
void stop_event_log();

void log_event(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields = {});

/// Lines dropped since the start, for a full queue or over the rate of lines.
std::uint64_t dropped_log_lines();

} // namespace persimmonpoint::observe

#endif // PERSIMMONPOINT_OBSERVE_EVENT_LOG_HPP_INCLUDED
