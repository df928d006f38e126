#ifndef PERSIMMONPOINT_CORE_RECOVERY_PLANNED_STOP_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_PLANNED_STOP_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// What a host still has to do for its callers and for other hosts.
struct stop_work {
    std::size_t sessions = 0; ///< Of its own callers.
    std::size_t orders = 0;   ///< At its database connections, waiting or running.
    std::size_t open_transactions = 0; ///< Between two statements, whoever the caller.
};

/// What a host does at one moment of its planned stop.
struct stop_step {
    bool takes_sessions = true;
    bool dismisses_idle_sessions = false;
    bool ends = false;
};

/// The course of a planned stop, by the time that has passed since the signal.
///
/// Callers are sent to a host until the platform has seen that it is not ready, so it
/// serves at first as before. Then idle sessions are dismissed, and it ends once nothing
/// is left to do, or when its grace is nearly over.
class planned_stop {
public:
    /// @param grace From the signal until the process is killed.
    /// @param rotation Until the platform sends no more callers.
    planned_stop(duration grace, duration rotation) : grace(grace), rotation(rotation) {}

    stop_step decide(duration passed, stop_work const& work) const;

    void set_grace(duration value) { this->grace = value; }

private:
    duration grace;
    duration rotation;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_PLANNED_STOP_HPP_INCLUDED
