#ifndef PERSIMMONPOINT_APP_CONFIGURATION_REPORT_HPP_INCLUDED
#define PERSIMMONPOINT_APP_CONFIGURATION_REPORT_HPP_INCLUDED

#include <iosfwd>
#include <memory>
#include <optional>
#include <persimmonpoint/core/catalog/configuration_check.hpp>
#include <persimmonpoint/core/catalog/configuration_differences.hpp>
#include <string_view>
#include <vector>

namespace persimmonpoint::app {

/// What a check of a configuration found.
struct configuration_report {
    std::vector<configuration_finding> findings;
    /// Unset if there was nothing to compare with.
    std::optional<std::vector<configuration_difference>> differences;

    bool has_errors() const;
};

/// Writes a report in one form.
class configuration_report_writer {
public:
    virtual ~configuration_report_writer() = default;
    virtual void write(configuration_report const& report, std::ostream& out) const = 0;
};

/// `format`: "text" or "json"; null for any other.
std::unique_ptr<configuration_report_writer>
make_configuration_report_writer(std::string_view format);

} // namespace persimmonpoint::app

#endif // PERSIMMONPOINT_APP_CONFIGURATION_REPORT_HPP_INCLUDED
