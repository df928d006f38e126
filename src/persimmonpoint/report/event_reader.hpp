#ifndef PERSIMMONPOINT_REPORT_EVENT_READER_HPP_INCLUDED
#define PERSIMMONPOINT_REPORT_EVENT_READER_HPP_INCLUDED

/// Reads the hosts' structured logs back into requests. docs/OPERATIONS.md lists the
/// events.

#include <iosfwd>
#include <persimmonpoint/core/service_level/service_level_report.hpp>
#include <persimmonpoint/settings/finding.hpp>
#include <string_view>
#include <vector>

namespace persimmonpoint::report {

/// What a reader found wrong with its input.
struct reading {
    /// The first of them, with their place.
    std::vector<finding> findings;
    std::uint64_t unreadable_lines = 0;
};

/// Adds each request of the log to `book`. Events that tell of no request are passed
/// over. `file` names the input in findings.
reading read_events(std::istream& input, std::string_view file, service_level_book& book);

} // namespace persimmonpoint::report

#endif // PERSIMMONPOINT_REPORT_EVENT_READER_HPP_INCLUDED
