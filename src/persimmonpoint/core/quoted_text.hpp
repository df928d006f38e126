#ifndef PERSIMMONPOINT_CORE_QUOTED_TEXT_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_QUOTED_TEXT_HPP_INCLUDED

#include <cstddef>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// Bytes of a client's text that an error text repeats.
inline constexpr std::size_t max_quoted_bytes = 100;

/// The text, or its start with three dots behind it if it has more than `most` bytes.
inline std::string
quoted_start(std::string_view text, std::size_t most = max_quoted_bytes) {
    if (text.size() <= most) {
        return std::string(text);
    }
    return std::string(text.substr(0, most)) + "...";
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_QUOTED_TEXT_HPP_INCLUDED
