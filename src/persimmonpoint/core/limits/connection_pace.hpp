#ifndef PERSIMMONPOINT_CORE_LIMITS_CONNECTION_PACE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_CONNECTION_PACE_HPP_INCLUDED

#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Spaces out attempts to connect to a database that shows signs of trouble.
///
/// Connections that are given up are given up together, as their answers were lost
/// together, and a new one takes a slot of the database. They are replaced one after the
/// other. A database without trouble is connected to at once.
class connection_pace {
public:
    void attempted(instant now);
    void failed(instant now);
    /// The database has as many connections as it takes.
    void crowded(instant now);
    /// A connection was closed that the database had not answered on.
    void gave_up(instant now);

    bool may_attempt(instant now) const;
    /// True if none beyond the connections at hand is to be tried.
    bool is_crowded(instant now) const;

private:
    instant next_attempt{};
    instant crowded_until{};
    instant cautious_until{};
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_CONNECTION_PACE_HPP_INCLUDED
