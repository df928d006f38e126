#include <algorithm>
#include <persimmonpoint/postgres/sql_text.hpp>

namespace persimmonpoint::postgres {

namespace {

/// A backslash in octal. Two backslashes would not do: where the client's encoding is
/// SJIS or the like, the first may be the second byte of a character, and the other one
/// would then escape what follows.
constexpr std::string_view escaped_backslash = "\\134";

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_word_start(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

bool is_word(std::string_view text) {
    return !text.empty() && is_word_start(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char each) {
               return is_word_start(each) || is_digit(each);
           });
}

/// Each word in quotes, as some are keywords of SQL.
std::string quoted_name(std::string_view name) {
    std::string quoted = "\"";
    for (char const each : name) {
        if (each == '.') {
            quoted += R"(".")";
        } else {
            quoted.push_back(each);
        }
    }
    return quoted + "\"";
}

} // namespace

bool is_parameter_name(std::string_view name) {
    std::string_view rest = name;
    std::size_t dot = rest.find('.');
    while (dot != std::string_view::npos && is_word(rest.substr(0, dot))) {
        rest.remove_prefix(dot + 1);
        dot = rest.find('.');
    }
    return is_word(rest);
}

std::string sql_literal(std::string_view text) {
    bool const has_backslash = text.find('\\') != std::string_view::npos;
    std::string literal = has_backslash ? "E'" : "'";
    for (char const each : text) {
        if (each == '\\') {
            literal += escaped_backslash;
        } else if (each == '\'') {
            literal += "''";
        } else {
            literal.push_back(each);
        }
    }
    return literal + "'";
}

std::string set_command(std::string_view name, std::string_view value) {
    return "SET " + quoted_name(name) + " = " + sql_literal(value);
}

} // namespace persimmonpoint::postgres
