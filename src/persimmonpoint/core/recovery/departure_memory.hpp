#ifndef PERSIMMONPOINT_CORE_RECOVERY_DEPARTURE_MEMORY_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_DEPARTURE_MEMORY_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Whether a replica may have left its group with commits that no other replica has.
enum class departure {
    none,
    possible, ///< The host was started lately and saw no commit acknowledged yet.
    seen
};

/// What one host remembers of the replicas that left one group.
///
/// A replica that receives has all commits, those of the departed too. One does if a
/// commit is acknowledged that was sent after the departure; it may have joined so lately
/// that the host doesn't know of it yet. Only when that can't be any more is the
/// departure settled, unless another replica has left by then.
class departure_memory {
public:
    /// @param known_since When the host first read which databases the group has.
    explicit departure_memory(instant known_since) : known_since(known_since) {}

    void replica_left(instant now);
    void commit_acknowledged(instant sent_at, instant now);
    /// What to reckon with at `now` in a change that began at `change_began`.
    /// @param directory_in_doubt The store is out of reach, or was lately, so that no
    /// time shows that a database is known.
    departure
    judge(instant now, instant change_began, bool directory_in_doubt = false) const;

private:
    instant known_since;
    std::optional<instant> left_at;
    /// When a commit was first acknowledged that was sent since the last departure.
    std::optional<instant> received_at;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_DEPARTURE_MEMORY_HPP_INCLUDED
