#ifndef PERSIMMONPOINT_CORE_STATEMENT_FIELD_RULES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_STATEMENT_FIELD_RULES_HPP_INCLUDED

/// What the fields of a statement may hold, wherever they come from, so that none becomes
/// several fields or several messages.

#include <string_view>

namespace persimmonpoint {

/// True for a text that can be the last field of a message: without CR, LF and NUL.
inline bool is_last_field(std::string_view text) {
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

/// True for a text that an answer can carry to a caller as it is: a line ends with CR LF.
inline bool is_one_line(std::string_view text) {
    return text.find("\r\n") == std::string_view::npos;
}

/// True for a text that can stand before another field: not empty, and without blanks.
inline bool is_inner_field(std::string_view text) {
    return !text.empty() && is_last_field(text) &&
           text.find(' ') == std::string_view::npos;
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_STATEMENT_FIELD_RULES_HPP_INCLUDED
