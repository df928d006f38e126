#ifndef PERSIMMONPOINT_CORE_ROUTING_POSITION_HISTORY_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_POSITION_HISTORY_HPP_INCLUDED

#include <deque>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// History of log positions reported by the primary of one group, for reads with bounded
/// staleness.
///
/// A response that proves the database to be primary carries a position which covers
/// every commit acknowledged before the request was sent. A read with a maximum staleness
/// can use the oldest position requested within that time, since replicas reach that one
/// first.
class position_history {
public:
    /// Adds a position from the primary. `requested_at` is when the request was sent.
    void observe(instant requested_at, log_position position);

    /// Lowest known position that covers all commits acknowledged more than `age` before
    /// `now`, or nothing if no position is recent enough.
    std::optional<log_position> min_position_for(duration age, instant now) const;

    /// Time since the newest position was requested, if there is one.
    std::optional<duration> age_of_newest(instant now) const;

private:
    struct observation {
        instant requested_at;
        log_position position;
    };
    std::deque<observation> observations; ///< Sorted by `requested_at`.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_POSITION_HISTORY_HPP_INCLUDED
