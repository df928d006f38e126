#ifndef PERSIMMONPOINT_CORE_RECOVERY_ACKNOWLEDGED_COMMITS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_ACKNOWLEDGED_COMMITS_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <persimmonpoint/core/membership/directory_readings.hpp>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// A database whose row lapsed is waited for this long, if no other has what it
/// acknowledged: one that crashed comes back with its log.
inline constexpr duration lapsed_log_patience = std::chrono::seconds(30);

/// The log of `database` reached at least `position` when it acknowledged a commit.
struct acknowledged_commit {
    log_position position;
    std::string database; ///< Empty once its log is gone.
};

/// What one host knows of the commits that were acknowledged in one group: a database
/// that lacks the newest must not be promoted, whichever databases are known.
class acknowledged_commits {
public:
    void note(std::string_view database, log_position position);
    /// The database left its group, or started again with an empty log.
    void log_lost(std::string_view database);
    /// The database is no longer listed: it is silent, and may come back with its log. It
    /// may have the newest commit, whichever database acknowledged it.
    void lapsed(std::string_view database, instant now);
    /// It is listed again, with the log that it had.
    void came_back(std::string_view database);
    std::optional<acknowledged_commit> const& newest() const { return this->last; }
    /// The position that a database has to reach to be promoted. None if the log that
    /// had it is gone, or was waited for in vain, and, by `listing`, no unlisted database
    /// can have it.
    std::optional<log_position> required(directory_listing listing, instant now) const;
    /// True if the database that had the newest commit isn't there.
    bool is_holder_missing() const;
    /// True if its log is gone, or was waited for in vain.
    bool is_log_given_up(instant now) const;

private:
    std::optional<acknowledged_commit> last;
    /// Since when databases that may have it aren't listed, though they had not told that
    /// they leave.
    std::map<std::string, instant, std::less<>> missing;
};

/// A position that a commit's own reaches, known from its acknowledgement.
/// @param end_when_sent Log end that the database had told before the commit was sent.
/// @param end_after Log end told with the acknowledgement; it may lie beyond the commit.
std::optional<log_position> least_commit_position(
    std::optional<log_position> end_when_sent, std::optional<log_position> end_after);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_ACKNOWLEDGED_COMMITS_HPP_INCLUDED
