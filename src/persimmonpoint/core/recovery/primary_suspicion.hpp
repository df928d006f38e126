#ifndef PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_SUSPICION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_SUSPICION_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/recovery/commit_progress.hpp>
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
    void refused(instant now);
    void unanswered(instant now);

    primary_verdict judge(instant now, commit_progress const& commits) const;

private:
    instant last_answer;
    std::optional<instant> first_refusal; ///< Since the last answer.
    std::optional<instant> first_silence; ///< Since the last answer.
    unsigned refusals = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_PRIMARY_SUSPICION_HPP_INCLUDED
