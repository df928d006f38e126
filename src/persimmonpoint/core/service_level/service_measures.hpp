#ifndef PERSIMMONPOINT_CORE_SERVICE_LEVEL_SERVICE_MEASURES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_SERVICE_LEVEL_SERVICE_MEASURES_HPP_INCLUDED

/// The four measures of docs/SERVICE_LEVELS.md: reads on replicas, gaps in service, the
/// worst-served team, refusals of requests that were within their team's rate.

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/service_level/request_record.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// A stretch between two served writes of a group in which writes were asked for in vain.
struct service_gap {
    std::string group;
    std::chrono::milliseconds begin{0}; ///< The last served write before; since 1970.
    std::chrono::milliseconds length{0};
    std::uint64_t unserved = 0; ///< Writes.
    bool open = false;          ///< The record ends before a write is served again.
};

struct team_service {
    std::string team;
    std::uint64_t asked = 0; ///< Within the team's rate.
    std::uint64_t served = 0;

    double share() const;
};

struct measure_summary {
    /// Of the served reads; empty if there were none.
    std::optional<double> replica_share;
    /// Longest first.
    std::vector<service_gap> gaps;
    /// Empty if no team asked often enough to tell.
    std::optional<team_service> worst_team;
    std::uint64_t within_rate = 0; ///< Requests that no rate forbade.
    std::uint64_t wrongful_refusals = 0;

    double wrongful_share() const;
};

/// Takes requests in any order.
class service_measures {
public:
    void add(request_record const& request);
    measure_summary summary() const;

private:
    struct write_result {
        std::chrono::milliseconds when{0};
        bool served = false;
    };

    static std::vector<service_gap>
    find_gaps(std::string const& group, std::vector<write_result> writes);

    std::uint64_t replica_reads = 0;
    std::uint64_t primary_reads = 0;
    std::uint64_t wrongful_refusals = 0;
    std::map<std::string, team_service> teams;
    std::map<std::string, std::vector<write_result>> writes;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_SERVICE_LEVEL_SERVICE_MEASURES_HPP_INCLUDED
