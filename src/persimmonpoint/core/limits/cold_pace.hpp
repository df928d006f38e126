#ifndef PERSIMMONPOINT_CORE_LIMITS_COLD_PACE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_COLD_PACE_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// What an owner may send a database while that is cold.
struct cold_allowance {
    /// Whether the operator bounds what cold databases are sent at all.
    bool is_bounded = false;
    double per_second = 0; ///< Commands; 0: none of callers.
    instant warm_at{};     ///< Cold until then.
};

/// Of the commands a second that all hosts together may send a cold database, the part
/// for the one host that owns its connections.
///
/// Hosts that don't see each other may take up to three of them for the owner: then all
/// of them keep to the bound together.
/// @param rate Commands a second, by the configuration.
/// @param overrun By how much the rate may be exceeded, as a factor, by the settings.
double cold_share(double rate, double overrun);

/// Spaces out the commands that an owner sends a cold database.
///
/// Load it answers: the requests of a whole group, as a database comes back that has
/// nothing in its memory yet. The first commands wait for as long as the bound counts,
/// since another host may have sent as many just before. Nothing is saved up.
class cold_pace {
public:
    /// A database that took no connection may be on its way back with nothing in its
    /// memory: it counts as cold for this long, unless it tells otherwise later.
    static constexpr duration suspicion = std::chrono::seconds(3);

    void set(cold_allowance allowance, instant now);
    /// The database took no connection.
    void refused(instant now);

    bool is_cold(instant now) const;
    /// True if nothing of callers may be sent for as long as the database is cold.
    bool is_closed(instant now) const;
    bool may_send(instant now) const;
    /// When commands could be sent behind so many others; `now` for a warm database.
    instant free_behind(std::size_t commands, instant now) const;
    void sent(std::size_t commands, instant now);

private:
    instant cold_until() const;
    void begin_unless(bool was_cold, instant now);
    duration spacing() const;

    cold_allowance allowance;
    instant suspected_until{};
    instant free_at{};
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_COLD_PACE_HPP_INCLUDED
