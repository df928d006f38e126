#ifndef PERSIMMONPOINT_CORE_PLACEMENT_DATABASE_EVACUATION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_PLACEMENT_DATABASE_EVACUATION_HPP_INCLUDED

#include <persimmonpoint/core/placement/evacuation_chart.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string_view>

namespace persimmonpoint {

/// Time within which an evacuated database is sent its last statement, unless the
/// settings say otherwise.
inline constexpr duration default_evacuation_limit = std::chrono::seconds(5);

/// How the owner of a database's connections takes work off it once its availability
/// zone is evacuated.
///
/// Load it answers: a primary that serves under full load as its zone is evacuated. It is
/// given work until another database leads, so that nobody is refused for the time of a
/// promotion; but no longer than leaves open transactions time to end before the limit.
class database_evacuation {
public:
    /// @param limit From the request on, the time within which the database is sent its
    /// last statement.
    explicit database_evacuation(duration limit);

    /// Takes the present state. True if a state was entered.
    /// @param requested The database's zone is to be evacuated.
    /// @param leads The database is its group's primary.
    bool update(bool requested, bool leads, instant now);
    /// True while statements that belong to no open transaction may be sent.
    bool takes_new_work() const;
    /// True while statements of open transactions may be sent.
    bool takes_transactions() const;
    std::string_view state_name() const { return this->machine.state_name(); }

private:
    evacuation_machine machine;
    duration limit;
    instant requested_at{};
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_PLACEMENT_DATABASE_EVACUATION_HPP_INCLUDED
