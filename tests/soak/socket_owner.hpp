#ifndef PERSIMMONPOINT_TESTS_SOAK_SOCKET_OWNER_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SOAK_SOCKET_OWNER_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <sys/types.h>

namespace persimmonpoint::tests {

/// Number by which the kernel knows the end of a loopback connection that has the local
/// port `near` and the remote port `far`; nothing if there is no such connection. Throws
/// std::runtime_error if the kernel can't be asked.
std::optional<std::uint32_t> find_socket(std::uint16_t near, std::uint16_t far);

/// Whether a process has a socket open, by the number from `find_socket`.
bool has_socket(pid_t process, std::uint32_t socket);

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SOAK_SOCKET_OWNER_HPP_INCLUDED
