#include <persimmonpoint/core/statement/statement.hpp>

namespace persimmonpoint {

char const* to_string(statement_error code) {
    switch (code) {
    case statement_error::none:
        return "none";
    case statement_error::busy:
        return "busy";
    case statement_error::lagging:
        return "lagging";
    case statement_error::read_only:
        return "read_only";
    case statement_error::wrong_database:
        return "wrong_database";
    case statement_error::too_many_connections:
        return "too_many_connections";
    case statement_error::failed:
        return "failed";
    case statement_error::unknown_statement:
        return "unknown_statement";
    case statement_error::timeout:
        return "timeout";
    case statement_error::denied:
        return "denied";
    case statement_error::no_database:
        return "no_database";
    case statement_error::too_large:
        return "too_large";
    case statement_error::malformed:
        return "malformed";
    case statement_error::aborted:
        return "aborted";
    default:
        return "in_doubt";
    }
}

std::optional<statement_error> parse_statement_error(std::string_view name) {
    for (int i = 0; i <= static_cast<int>(statement_error::in_doubt); ++i) {
        auto const code = static_cast<statement_error>(i);
        if (name == to_string(code)) {
            return code;
        }
    }
    return std::nullopt;
}

} // namespace persimmonpoint
