#ifndef PERSIMMONPOINT_SETTINGS_FINDING_HPP_INCLUDED
#define PERSIMMONPOINT_SETTINGS_FINDING_HPP_INCLUDED

/// Findings of a check, with their place. All of a file's findings are reported together.

#include <cstdint>
#include <string>

namespace persimmonpoint {

struct finding {
    std::string file;
    std::uint32_t line = 0;   ///< From 1; 0 if the place is not known.
    std::uint32_t column = 0; ///< From 1.
    std::string key;          ///< Dotted path of the key.
    std::string message;

    friend bool operator==(finding const&, finding const&) = default;
};

/// `file:line:column: key: message`
std::string to_string(finding const& value);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_SETTINGS_FINDING_HPP_INCLUDED
