#ifndef PERSIMMONPOINT_CORE_RECOVERY_LOST_RESPONSE_DETECTOR_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LOST_RESPONSE_DETECTOR_HPP_INCLUDED

#include <cstdint>
#include <optional>

namespace persimmonpoint {

enum class lost_response_verdict {
    response_received, ///< Data arrived after the probe was sent; the probe's result is
                       ///< obsolete.
    wait,              ///< Inconclusive; probe again later.
    give_up,           ///< The response was lost and will not arrive.
};

/// Detects that the response to a statement was lost, by probing the database over
/// another connection for whether the statement is still running.
///
/// The database may send the response just before it reports the connection as idle, and
/// the host may receive the two in either order. The response therefore counts as lost
/// only after two consecutive idle reports. Probes sent before the last reset() are
/// ignored.
class lost_response_detector {
public:
    /// Call when a statement is sent and when its response starts to arrive.
    void reset();
    /// Number of the current wait for a response. Read it when a probe is sent and pass
    /// it to answered() with the probe's result.
    std::uint64_t probe_epoch() const { return this->epoch; }
    /// Evaluates a probe. `active`: whether the statement is running, or empty if
    /// unknown.
    lost_response_verdict answered(std::uint64_t probe, std::optional<bool> active);

private:
    std::uint64_t epoch = 0;
    bool previously_idle = false;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LOST_RESPONSE_DETECTOR_HPP_INCLUDED
