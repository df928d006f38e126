#include <algorithm>
#include <ostream>
#include <persimmonpoint/report/report_format.hpp>
#include <persimmonpoint/report/report_writer.hpp>

namespace persimmonpoint::report {

namespace {

/// Gaps beyond these are only counted.
constexpr std::size_t most_gaps = 10;

class text_writer final : public report_writer {
public:
    void write(service_level_report const& report, std::ostream& out) const override {
        out << report.requests << " requests, " << report.over_rate
            << " over their team's rate, " << report.callers_errors
            << " errors of the caller\n";
        if (report.dropped_lines > 0) {
            out << "The logs dropped " << report.dropped_lines
                << " lines: their requests are not counted here.\n";
        }
        for (objective_finding const& each : report.objectives) {
            this->write_objective(each, out);
        }
        this->write_measures(report.measures, out);
    }

private:
    void write_objective(objective_finding const& objective, std::ostream& out) const {
        out << "\nObjective \"" << objective.name << "\", "
            << percent(objective.target, 2) << '\n'
            << "  " << objective.total.bad << " bad of " << objective.total.total()
            << ", " << percent(objective.budget_spent, 1) << " of the budget\n";
        for (burn_finding const& each : objective.burns) {
            this->write_burn(each, out);
        }
    }

    void write_burn(burn_finding const& burn, std::ostream& out) const {
        out << "  " << burn.rule.name << " burn: now " << number(burn.last, 1);
        if (burn.worst > 0) {
            out << ", worst " << number(burn.worst, 1) << " at "
                << time_text(burn.worst_at);
        }
        out << ", alert from " << number(burn.rule.threshold, 1) << '\n';
        for (burn_alert const& each : burn.alerts) {
            out << "    alert " << time_text(each.begin) << " to " << time_text(each.end)
                << '\n';
        }
    }

    void write_measures(measure_summary const& measures, std::ostream& out) const {
        out << "\nReads on replicas: "
            << (measures.replica_share ? percent(*measures.replica_share, 1) : "no reads")
            << '\n';
        out << "Refused within the rate: " << measures.wrongful_refusals << " of "
            << measures.within_rate << " (" << percent(measures.wrongful_share(), 3)
            << ")\n";
        if (measures.worst_team) {
            out << "Worst served team: \"" << measures.worst_team->team << "\", "
                << measures.worst_team->served << " of " << measures.worst_team->asked
                << " (" << percent(measures.worst_team->share(), 2) << ")\n";
        } else {
            out << "Worst served team: too few requests to tell\n";
        }
        this->write_gaps(measures.gaps, out);
    }

    void write_gaps(std::span<service_gap const> gaps, std::ostream& out) const {
        out << "Gaps in the service of writes: " << gaps.size() << '\n';
        for (service_gap const& each : gaps.first(std::min(gaps.size(), most_gaps))) {
            out << "  group \"" << each.group << "\", from "
                << time_text(std::chrono::floor<std::chrono::seconds>(each.begin)) << ", "
                << each.length.count() << " ms, " << each.unserved
                << (each.unserved == 1 ? " write" : " writes") << " not served"
                << (each.open ? ", until the record ends" : "") << '\n';
        }
    }
};

} // namespace

std::unique_ptr<report_writer> make_text_writer() {
    return std::make_unique<text_writer>();
}

} // namespace persimmonpoint::report
