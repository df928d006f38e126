#ifndef PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_FAILURE_DETECTOR_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_FAILURE_DETECTOR_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/recovery/commit_progress.hpp>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// State of a primary as seen by one host.
enum class primary_health {
    healthy,
    silent,       ///< Doesn't answer this host; other hosts may still reach it.
    down,         ///< Its address refuses connections: the process has exited.
    cannot_commit ///< It answers, but no write or COMMIT in flight has ended, even by
                  ///< an error or a broken connection, for too long.
};

/// Failure detector for the primary of one group, run by the host that owns the
/// connections to it.
class primary_failure_detector {
public:
    explicit primary_failure_detector(instant now);

    /// The primary answered a request, which clears all earlier failures.
    void answered(instant now);
    /// The primary's address refused a connection.
    void refused(instant now);
    /// A request to the primary got no answer.
    void unanswered(instant now);

    primary_health judge(instant now, commit_progress const& commits) const;

private:
    instant last_answer;
    std::optional<instant> first_refusal; ///< After the last answer.
    std::optional<instant> first_timeout; ///< After the last answer.
    unsigned refusal_count = 0;           ///< Since the last answer.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_FAILURE_DETECTOR_HPP_INCLUDED
