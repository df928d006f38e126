#ifndef PERSIMMONPOINT_CORE_SERVICE_LEVEL_REQUEST_RECORD_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_SERVICE_LEVEL_REQUEST_RECORD_HPP_INCLUDED

/// One request as a report on service levels looks at it.

#include <chrono>
#include <persimmonpoint/core/statement/statement.hpp>
#include <string>

namespace persimmonpoint {

enum class request_kind { read, write, commit };

enum class request_result {
    served,        ///< It ran, and its caller has the answer.
    callers_error, ///< Answered truly: the caller asked for what can't be done.
    over_rate,     ///< Refused, for the team was over the rate it is promised.
    refused,       ///< Refused although the team was within its rate.
    failed,        ///< Not answered in time, or its transaction was lost.
    in_doubt       ///< The caller was told that the outcome is unknown.
};

struct request_record {
    std::chrono::milliseconds answered{0}; ///< Time of day, since 1970.
    double took_ms = 0;
    request_kind kind = request_kind::read;
    request_result result = request_result::served;
    bool on_primary = false; ///< A primary ran it. Says nothing if none did.
    std::string team;
    std::string route;
    std::string group; ///< Empty if it was refused before a group was chosen.
};

/// What an answered statement's error says of the service.
request_result to_request_result(statement_error code);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_SERVICE_LEVEL_REQUEST_RECORD_HPP_INCLUDED
