#include <persimmonpoint/observe/one_line.hpp>

namespace persimmonpoint::observe {

namespace {

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

} // namespace

std::string one_line(std::string_view sentence) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string line;
    for (char const each : sentence) {
        auto const code = static_cast<unsigned char>(each);
        if (code >= first_printable && code != delete_character) {
            line.push_back(each);
            continue;
        }
        line += "\\x";
        line.push_back(digits[code / digits.size()]);
        line.push_back(digits[code % digits.size()]);
    }
    return line;
}

} // namespace persimmonpoint::observe
