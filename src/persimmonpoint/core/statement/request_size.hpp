#ifndef PERSIMMONPOINT_CORE_STATEMENT_REQUEST_SIZE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_STATEMENT_REQUEST_SIZE_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/statement/upstream_request.hpp>

namespace persimmonpoint {

/// Bytes of what a client's text and session make of a request; its fixed part isn't
/// counted.
std::size_t size_in_bytes(upstream_request const& order);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_STATEMENT_REQUEST_SIZE_HPP_INCLUDED
