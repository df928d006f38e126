#ifndef PERSIMMONPOINT_OBSERVE_ONE_LINE_HPP_INCLUDED
#define PERSIMMONPOINT_OBSERVE_ONE_LINE_HPP_INCLUDED

#include <string>
#include <string_view>

namespace persimmonpoint::observe {

/// The sentence with every control character written as \xHH, so that a name from outside
/// can't end its line of the log and begin another.
std::string one_line(std::string_view sentence);

} // namespace persimmonpoint::observe

#endif // PERSIMMONPOINT_OBSERVE_ONE_LINE_HPP_INCLUDED
