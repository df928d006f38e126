#include <persimmonpoint/core/service_level/service_level_report.hpp>
#include <utility>

namespace persimmonpoint {

service_level_book::service_level_book(
    std::vector<std::unique_ptr<objective>> objectives, std::vector<burn_rule> rules)
    : rules(std::move(rules)) {
    for (std::unique_ptr<objective>& each : objectives) {
        double const target = each->target();
        this->objectives.push_back({std::move(each), burn_rate(target)});
    }
}

void service_level_book::add(request_record const& request) {
    ++this->counts.requests;
    this->counts.over_rate += request.result == request_result::over_rate ? 1 : 0;
    this->counts.callers_errors +=
        request.result == request_result::callers_error ? 1 : 0;
    this->measures.add(request);
    auto const second = std::chrono::floor<std::chrono::seconds>(request.answered);
    for (tracked_objective& each : this->objectives) {
        verdict const judged = each.promise->judge(request);
        if (judged != verdict::not_counted) {
            each.burn.add(second, judged == verdict::good);
        }
    }
}

void service_level_book::add_dropped_lines(std::uint64_t count) {
    this->counts.dropped_lines += count;
}

service_level_report service_level_book::report() const {
    service_level_report out = this->counts;
    out.measures = this->measures.summary();
    for (tracked_objective const& each : this->objectives) {
        objective_finding finding;
        finding.name = each.promise->name();
        finding.target = each.promise->target();
        finding.total = each.burn.total();
        finding.budget_spent = each.burn.budget_spent();
        finding.by_second = each.burn.by_second();
        for (burn_rule const& rule : this->rules) {
            finding.burns.push_back(each.burn.find(rule));
        }
        out.objectives.push_back(std::move(finding));
    }
    return out;
}

} // namespace persimmonpoint
