#ifndef PERSIMMONPOINT_CORE_ROUTING_SESSION_TOKEN_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_SESSION_TOKEN_HPP_INCLUDED

/// Signed token with a session's last known log position, which a client can pass to
/// another host to read its own writes there.

#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// Content of a token, which is valid only for this team and group.
struct session_position {
    std::string group;
    std::string team;
    log_position position;
};

/// Creates a token `v1.<term>.<offset>.<mac>`. The MAC also covers group and team, so
/// that a token cannot be forged or reused for another group or team.
std::string sign_token(std::string_view secret, session_position const& value);

/// Verifies a token and returns its position. Fails with SQLSTATE 22023 if the token was
/// not signed with the secret for this group and team.
result<log_position> verify_token(
    std::string_view secret,
    std::string_view token,
    std::string_view group,
    std::string_view team);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_SESSION_TOKEN_HPP_INCLUDED
