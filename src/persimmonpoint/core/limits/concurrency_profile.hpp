#ifndef PERSIMMONPOINT_CORE_LIMITS_CONCURRENCY_PROFILE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_CONCURRENCY_PROFILE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Finds how many statements a database takes well at a time, from how its throughput
/// changes with the number that it is given.
///
/// Load it answers: a database that slows down before all of its slots are in use, or
/// refuses what it announced to take. Beyond some number more statements at a time get
/// no more done, and each of them takes longer.
///
/// Throughput at n statements is estimated by Little's law: n divided by their time, less
/// those that were refused. The limit is the smallest number at which it is no lower than
/// at any larger one. What was not seen lately counts as good: the limit rises again by
/// itself, and falls again if the database has not recovered.
class concurrency_profile {
public:
    /// Statements that may be given at a time at most.
    void set_most(std::uint32_t most) { this->most = most; }
    /// A statement was answered that was sent as one of `in_flight`.
    /// @param relative_time Its time compared with the usual one of its class.
    void completed(std::uint32_t in_flight, double relative_time, instant now);
    /// The database refused a statement that was sent as one of `in_flight`.
    void refused(std::uint32_t in_flight, instant now);
    /// From 1 to the most that may be given.
    std::uint32_t limit(instant now) const;

private:
    struct observation {
        std::uint32_t samples = 0;
        double relative_time = 0;
        double taken_share = 1; ///< Of the statements, those that were not refused.
        instant seen{};
    };

    observation& at(std::uint32_t in_flight, instant now);
    /// In statements per usual time; negative if it isn't known.
    double throughput(std::uint32_t in_flight, instant now) const;

    std::uint32_t most = 1;
    std::map<std::uint32_t, observation> observations; ///< By statements in flight.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_CONCURRENCY_PROFILE_HPP_INCLUDED
