#include <charconv>
#include <optional>
#include <persimmonpoint/core/digest.hpp>
#include <persimmonpoint/core/routing/session_token.hpp>

namespace persimmonpoint {

namespace {

constexpr std::string_view version_prefix = "v1.";

std::string token_mac(std::string_view secret, session_position const& value) {
    // Length prefixes keep the message unambiguous: different groups and teams never
    // produce the same one.
    std::string const message = std::to_string(value.group.size()) + ":" + value.group +
                                "," + std::to_string(value.team.size()) + ":" +
                                value.team + "," + std::to_string(value.position.term) +
                                "." + std::to_string(value.position.offset);
    return hmac_sha256(secret, message);
}

/// Parses a number followed by a dot and removes both from the front of the text.
std::optional<std::uint64_t> parse_number(std::string_view& text) {
    std::uint64_t number = 0;
    char const* const last = text.data() + text.size();
    auto const [end, failure] = std::from_chars(text.data(), last, number);
    if (failure != std::errc() || end == last || *end != '.') {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
    return number;
}

} // namespace

std::string sign_token(std::string_view secret, session_position const& value) {
    return std::string(version_prefix) + std::to_string(value.position.term) + "." +
           std::to_string(value.position.offset) + "." + token_mac(secret, value);
}

result<log_position> verify_token(
    std::string_view secret,
    std::string_view token,
    std::string_view group,
    std::string_view team) {
    error const invalid_token{
        "22023", "persimmonpoint.session is not a token of this team and route"};
    if (!token.starts_with(version_prefix)) {
        return invalid_token;
    }
    token.remove_prefix(version_prefix.size());
    auto const term = parse_number(token);
    auto const offset = term ? parse_number(token) : std::nullopt;
    if (!offset) {
        return invalid_token;
    }
    session_position const claimed{
        std::string(group), std::string(team), log_position{*term, *offset}};
    if (!equal_in_constant_time(token, token_mac(secret, claimed))) {
        return invalid_token;
    }
    return claimed.position;
}

} // namespace persimmonpoint
