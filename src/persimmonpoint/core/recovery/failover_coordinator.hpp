#ifndef PERSIMMONPOINT_CORE_RECOVERY_FAILOVER_COORDINATOR_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_FAILOVER_COORDINATOR_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <optional>
#include <persimmonpoint/chart/chart.hpp>
#include <persimmonpoint/core/routing/group_view.hpp>
#include <persimmonpoint/interfaces/random_source.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

struct failover_settings {
    duration poll_interval{std::chrono::milliseconds(100)};
    /// Interval between polls of a database while a pending request depends on them.
    duration urgent_poll_interval{std::chrono::microseconds(250)};
    /// A poll that is not answered within this time counts as failed.
    duration poll_timeout{std::chrono::milliseconds(250)};
    /// A replica suspects the primary once it has received nothing from it for this long.
    duration suspicion_time{std::chrono::milliseconds(300)};
    /// Upper bound of the random delay before an election, which makes it unlikely that
    /// several hosts start one at the same time.
    duration election_jitter{std::chrono::milliseconds(100)};
    /// An election that takes longer is abandoned.
    duration election_timeout{std::chrono::milliseconds(500)};
};

enum class failover_step {
    poll,       ///< Request a report from `database`.
    fence,      ///< Ask `database` to grant `term` to this host.
    promote,    ///< Ask `database` to become the primary of `term`.
    resolved,   ///< Request `id` has completed: see `confirmed` and `position`.
    log_message ///< Write `text` to the log.
};

struct failover_action {
    failover_step step = failover_step::log_message;
    std::size_t database = 0;
    std::uint64_t term = 0;
    std::uint64_t id = 0;
    bool confirmed = false;
    log_position position;
    std::string text;
};

/// Monitors one upstream group and fails over when its primary is unavailable. Tracks the
/// primary, the log position of each database, and whether a write has been replicated to
/// a majority. docs/design/0003 describes the design.
///
/// Performs no I/O: report each event through the functions below, then call tick() and
/// carry out the actions that it returns.
class failover_coordinator {
public:
    failover_coordinator(
        failover_settings settings,
        std::string candidate,
        group_view initial,
        std::shared_ptr<chart::chart const> rules,
        random_source& random);
    ~failover_coordinator();

    /// `sent`: when the poll was sent.
    void poll_answered(
        std::size_t database, instant sent, database_report const& report, instant now);
    void poll_failed(std::size_t database, instant now);
    void fence_answered(
        std::size_t database, std::uint64_t term, bool granted, database_report report);
    void promote_answered(std::size_t database, std::uint64_t term, bool granted);

    /// Checks that a majority holds the write that ends at `position`. Returns a request
    /// id; the action `resolved` with this id carries the result. The write is not
    /// confirmed if a higher term is seen or `deadline` passes first.
    std::uint64_t confirm_durable(log_position position, instant deadline);
    /// Reads the primary's end of log and checks that a majority confirms its term. The
    /// action `resolved` with the returned id carries the result: `position` is valid
    /// only if `confirmed`, and was then read at or after `now`.
    std::uint64_t confirm_position(instant now, instant deadline);

    std::vector<failover_action> tick(instant now);

    /// Time until the next tick is due if no event occurs before.
    duration next_tick() const;

    group_view const& view() const;
    std::string_view state_name() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_FAILOVER_COORDINATOR_HPP_INCLUDED
