#ifndef PERSIMMONPOINT_REPORT_REPORT_FORMAT_HPP_INCLUDED
#define PERSIMMONPOINT_REPORT_REPORT_FORMAT_HPP_INCLUDED

/// Numbers and times as a person reads them.

#include <chrono>
#include <string>

namespace persimmonpoint::report {

/// "99.9 %". `digits` stand behind the point.
std::string percent(double share, int digits);

std::string number(double value, int digits);

/// Time of day in UTC, "2026-12-04 11:08:09".
std::string time_text(std::chrono::seconds since_1970);

} // namespace persimmonpoint::report

#endif // PERSIMMONPOINT_REPORT_REPORT_FORMAT_HPP_INCLUDED
