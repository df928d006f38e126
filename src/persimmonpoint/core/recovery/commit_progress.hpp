#ifndef PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Counts the writes and COMMITs in flight on one database and detects that they stall.
///
/// Kept for every database, not only for watched primaries: a commit may stall before the
/// host that sent it learns that it has to watch the primary.
class commit_progress {
public:
    void sent(instant now);
    /// A write or COMMIT was answered, successfully or not, or its connection broke.
    void ended(instant now);

    /// Number of writes and COMMITs in flight.
    std::uint32_t open() const { return this->in_flight; }
    /// Time since the last one ended, or since the first was sent if none was in flight
    /// before; zero if none is in flight.
    duration stalled_for(instant now) const;

private:
    std::uint32_t in_flight = 0;
    instant last_progress{};
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED
