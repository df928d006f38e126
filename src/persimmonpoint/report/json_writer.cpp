#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>
#include <persimmonpoint/report/report_writer.hpp>

namespace persimmonpoint::report {

namespace {

namespace json = boost::json;

json::value to_json(burn_finding const& burn) {
    json::array alerts;
    for (burn_alert const& each : burn.alerts) {
        alerts.push_back(
            json::object{{"begin_s", each.begin.count()}, {"end_s", each.end.count()}});
    }
    return json::object{
        {"rule", burn.rule.name},
        {"long_window_s", burn.rule.long_window.count()},
        {"short_window_s", burn.rule.short_window.count()},
        {"threshold", burn.rule.threshold},
        {"last", burn.last},
        {"worst", burn.worst},
        {"worst_at_s", burn.worst_at.count()},
        {"alerts", std::move(alerts)}};
}

json::value to_json(objective_finding const& objective) {
    json::array burns;
    for (burn_finding const& each : objective.burns) {
        burns.push_back(to_json(each));
    }
    return json::object{
        {"name", objective.name},
        {"target", objective.target},
        {"good", objective.total.good},
        {"bad", objective.total.bad},
        {"budget_spent", objective.budget_spent},
        {"burns", std::move(burns)}};
}

json::value to_json(service_gap const& gap) {
    return json::object{
        {"group", gap.group},
        {"begin_ms", gap.begin.count()},
        {"length_ms", gap.length.count()},
        {"unserved", gap.unserved},
        {"open", gap.open}};
}

json::value to_json(measure_summary const& measures) {
    json::object out{
        {"within_rate", measures.within_rate},
        {"wrongful_refusals", measures.wrongful_refusals}};
    out["replica_share"] =
        measures.replica_share ? json::value(*measures.replica_share) : json::value();
    out["worst_team"] = nullptr;
    if (measures.worst_team) {
        out["worst_team"] = json::object{
            {"team", measures.worst_team->team},
            {"asked", measures.worst_team->asked},
            {"served", measures.worst_team->served}};
    }
    json::array gaps;
    for (service_gap const& each : measures.gaps) {
        gaps.push_back(to_json(each));
    }
    out["gaps"] = std::move(gaps);
    return out;
}

class json_writer final : public report_writer {
public:
    void write(service_level_report const& report, std::ostream& out) const override {
        json::array objectives;
        for (objective_finding const& each : report.objectives) {
            objectives.push_back(to_json(each));
        }
        json::object const whole{
            {"requests", report.requests},
            {"over_rate", report.over_rate},
            {"callers_errors", report.callers_errors},
            {"dropped_lines", report.dropped_lines},
            {"objectives", std::move(objectives)},
            {"measures", to_json(report.measures)}};
        out << json::serialize(whole) << '\n';
    }
};

} // namespace

std::unique_ptr<report_writer> make_json_writer() {
    return std::make_unique<json_writer>();
}

} // namespace persimmonpoint::report
