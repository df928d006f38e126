#ifndef PERSIMMONPOINT_TRAFFIC_SESSION_PARAMETERS_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_SESSION_PARAMETERS_HPP_INCLUDED

#include <map>
#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonpoint::traffic {

/// What a caller has set on its session: the system's own parameters, and those of the
/// database, which are set again on each connection that serves the session.
class session_parameters {
public:
    /// Fails with 42704 if no parameter can have the name, and with 22023 if the value
    /// doesn't fit one of the system's own parameters.
    /// The session position is checked elsewhere, since it takes the secret.
    result<void> set(std::string_view name, std::string_view value);
    /// Back to the default; "all" resets everything but the position.
    void reset(std::string_view name);
    /// Nothing if the parameter is not one of the system's own.
    std::optional<std::string> show(std::string_view name) const;

    std::optional<duration> const& max_staleness() const { return this->staleness; }
    std::string const& request_id() const { return this->id; }
    bool repeatable() const { return this->may_repeat; }
    std::map<std::string, std::string> const& upstream() const { return this->others; }

private:
    std::optional<duration> staleness;
    std::string id;
    bool may_repeat = true;
    std::map<std::string, std::string> others;
};

inline constexpr std::string_view own_prefix = "persimmonpoint.";
inline constexpr std::string_view session_parameter = "persimmonpoint.session";

/// A duration as PostgreSQL writes it: a number with ms, s, min or h; bare numbers are
/// ms.
std::optional<duration> parse_duration(std::string_view text);

/// The `-c name=value` pairs of a startup message's options.
std::vector<std::pair<std::string, std::string>> parse_options(std::string_view options);

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_SESSION_PARAMETERS_HPP_INCLUDED
