#ifndef PERSIMMONPOINT_REPORT_REPORT_WRITER_HPP_INCLUDED
#define PERSIMMONPOINT_REPORT_REPORT_WRITER_HPP_INCLUDED

#include <iosfwd>
#include <memory>
#include <persimmonpoint/core/service_level/service_level_report.hpp>
#include <string_view>

namespace persimmonpoint::report {

/// Writes a report in one format.
class report_writer {
public:
    virtual ~report_writer() = default;
    virtual void write(service_level_report const& report, std::ostream& out) const = 0;
};

/// For a terminal.
std::unique_ptr<report_writer> make_text_writer();
/// One JSON object.
std::unique_ptr<report_writer> make_json_writer();
/// One page with its plots, that needs no other file.
std::unique_ptr<report_writer> make_html_writer();

/// The writer of "text", "json" or "html"; null for another name.
std::unique_ptr<report_writer> make_writer(std::string_view format);

} // namespace persimmonpoint::report

#endif // PERSIMMONPOINT_REPORT_REPORT_WRITER_HPP_INCLUDED
