#ifndef PERSIMMONPOINT_CORE_SERVICE_LEVEL_SERVICE_LEVEL_REPORT_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_SERVICE_LEVEL_SERVICE_LEVEL_REPORT_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <persimmonpoint/core/service_level/burn_rate.hpp>
#include <persimmonpoint/core/service_level/objective.hpp>
#include <persimmonpoint/core/service_level/service_measures.hpp>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

struct objective_finding {
    std::string name;
    double target = 0;
    request_tally total;
    double budget_spent = 0; ///< 1 is all of it.
    std::vector<burn_finding> burns;
    std::map<std::chrono::seconds, request_tally> by_second;
};

/// What a report says, however it is written.
struct service_level_report {
    std::uint64_t requests = 0;
    std::uint64_t over_rate = 0;
    std::uint64_t callers_errors = 0;
    /// Lines that the hosts' logs dropped: the report can't count their requests.
    std::uint64_t dropped_lines = 0;
    std::vector<objective_finding> objectives;
    measure_summary measures;
};

/// Collects requests into a report.
class service_level_book {
public:
    service_level_book(
        std::vector<std::unique_ptr<objective>> objectives, std::vector<burn_rule> rules);

    void add(request_record const& request);
    void add_dropped_lines(std::uint64_t count);
    service_level_report report() const;

private:
    struct tracked_objective {
        std::unique_ptr<objective> promise;
        burn_rate burn;
    };

    std::vector<tracked_objective> objectives;
    std::vector<burn_rule> rules;
    service_measures measures;
    service_level_report counts;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_SERVICE_LEVEL_SERVICE_LEVEL_REPORT_HPP_INCLUDED
