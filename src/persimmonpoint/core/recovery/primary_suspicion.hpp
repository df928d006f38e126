#ifndef PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_SUSPICION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_SUSPICION_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

enum class primary_verdict {
    healthy,
    silent,       ///< Not heard of by this host; other hosts may still reach it.
    gone,         ///< Its address refuses connections: the process has ended.
    cannot_commit ///< It answers reads, but no write has been acknowledged for long.
};

/// Evidence on one group's primary, gathered by the host that owns its connections.
class primary_suspicion {
public:
    explicit primary_suspicion(instant now);

    void answered(instant now);
    void commit_sent(instant now);
    /// A write or COMMIT came back, with whatever answer, or its connection broke.
    void commit_answered(instant now);
    void refused(instant now);
    void unanswered(instant now);

    primary_verdict judge(instant now) const;

private:
    instant last_answer;
    std::optional<instant> first_refusal; ///< Since the last answer.
    std::optional<instant> first_silence; ///< Since the last answer.
    unsigned refusals = 0;
    unsigned commits_open = 0;
    instant last_commit_progress;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_SUSPICION_HPP_INCLUDED
