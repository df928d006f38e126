#ifndef PERSIMMONPOINT_CORE_DIGEST_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_DIGEST_HPP_INCLUDED

#include <string>
#include <string_view>

namespace persimmonpoint {

/// HMAC-SHA256 of the message, in lower-case hexadecimal.
std::string hmac_sha256(std::string_view secret, std::string_view message);

/// SHA-256 of the message, in lower-case hexadecimal.
std::string sha256(std::string_view message);

/// Short digest that tells texts apart in logs, where the texts themselves may not stand.
std::string log_digest(std::string_view text);

/// Compares two strings in a time that depends only on their lengths, to prevent timing
/// attacks on signatures. Strings of unequal length differ at once.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_DIGEST_HPP_INCLUDED
