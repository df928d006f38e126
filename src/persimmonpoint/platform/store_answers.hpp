#ifndef PERSIMMONPOINT_PLATFORM_STORE_ANSWERS_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_STORE_ANSWERS_HPP_INCLUDED

/// Answers of the platform's store, decoded and checked.

#include <cstdint>
#include <persimmonpoint/core/catalog/row_list.hpp>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/platform/http_client.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::platform {

/// The era in the answer's header; 0 if the store names none. Fails if it is no number.
result<std::uint64_t> read_era(http_reply const& reply);

/// Rows of `rows-get` or `rows-feed`; `call` names it in errors. Fails unless the answer
/// has status 200 and each of its own fields is as published. A value that is not base64
/// is no fault of the answer: it reads as empty.
result<row_page> read_page(std::string_view call, http_reply const& reply);

/// Status that a call can't go on with.
error unexpected_status(std::string_view call, unsigned status);

/// Target of a call that lists the rows of a part from the key `from` on.
std::string
list_target(std::string_view table, std::string_view part, std::string_view from);

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_STORE_ANSWERS_HPP_INCLUDED
