#ifndef PERSIMMONPOINT_CORE_RECOVERY_GRACEFUL_SHUTDOWN_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_GRACEFUL_SHUTDOWN_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Work that a host still has to finish for its callers and for other hosts.
struct outstanding_work {
    std::size_t sessions = 0;          ///< Of callers connected to this host.
    std::size_t orders = 0;            ///< Queued or running on its database connections.
    std::size_t open_transactions = 0; ///< Idle between two statements, for callers of
                                       ///< this or another host.
};

/// What a host does at one moment of its shutdown.
struct shutdown_decision {
    bool accepts_sessions = true;
    bool closes_idle_sessions = false;
    bool exits = false;
};

/// Phases of a graceful shutdown, by the time since the termination signal.
///
/// The platform routes callers to a host until it notices that the host is not ready, so
/// the host accepts sessions at least until `rotation` has passed, and on until shortly
/// before the grace period ends. After `rotation` it closes idle sessions, and it exits
/// once no work is left or the grace period is nearly over.
class graceful_shutdown {
public:
    /// @param grace Time from the signal until the platform kills the process.
    /// @param rotation Time from the signal until the platform routes no more callers
    /// here.
    graceful_shutdown(duration grace, duration rotation)
        : grace(grace), rotation(rotation) {}

    /// @param elapsed Time since the signal.
    shutdown_decision decide(duration elapsed, outstanding_work const& work) const;

    void set_grace(duration value) { this->grace = value; }

private:
    duration grace;
    duration rotation;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_GRACEFUL_SHUTDOWN_HPP_INCLUDED
