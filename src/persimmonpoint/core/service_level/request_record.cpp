#include <persimmonpoint/core/service_level/request_record.hpp>

namespace persimmonpoint {

request_result to_request_result(statement_error code) {
    switch (code) {
    case statement_error::none:
        return request_result::served;
    case statement_error::busy:
    case statement_error::lagging:
    case statement_error::read_only:
    case statement_error::wrong_database:
    case statement_error::too_many_connections:
        return request_result::refused;
    case statement_error::failed:
    case statement_error::timeout:
    case statement_error::aborted:
        return request_result::failed;
    case statement_error::in_doubt:
        return request_result::in_doubt;
    case statement_error::unknown_statement:
    case statement_error::denied:
    case statement_error::no_database:
    case statement_error::too_large:
    case statement_error::malformed:
        return request_result::callers_error;
    }
    return request_result::failed;
}

} // namespace persimmonpoint
