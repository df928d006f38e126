#ifndef PERSIMMONPOINT_TESTS_SUPPORT_FREE_PORT_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_FREE_PORT_HPP_INCLUDED

#include <cstdint>

namespace persimmonpoint::tests {

/// A port that nobody listens on at present; another one with each call, and none that
/// the kernel lends to a connection. Throws std::runtime_error if there is none.
std::uint16_t free_port();

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_FREE_PORT_HPP_INCLUDED
