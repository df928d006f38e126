#ifndef PERSIMMONPOINT_CORE_RECOVERY_DEPARTURE_MEMORY_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_DEPARTURE_MEMORY_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Whether a replica may have left its group with commits that no other replica has. One
/// has them all again once a commit is acknowledged that was sent later.
enum class departure {
    none,
    possible, ///< The host was started lately and saw no commit acknowledged yet.
    seen
};

/// What one host remembers of the replicas that left one group.
class departure_memory {
public:
    /// @param known_since When the host first read which databases the group has.
    explicit departure_memory(instant known_since) : known_since(known_since) {}

    void replica_left(instant now) { this->left_at = now; }
    /// Returns true if this settles an earlier departure, or a possible one.
    bool commit_acknowledged(instant sent_at);
    departure judge(instant now) const;

private:
    instant known_since;
    std::optional<instant> left_at; ///< Unset once a later commit is acknowledged.
    bool commit_seen = false;       ///< One that was sent since `known_since`.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_DEPARTURE_MEMORY_HPP_INCLUDED
