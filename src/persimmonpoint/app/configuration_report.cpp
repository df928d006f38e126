#include <algorithm>
#include <boost/json.hpp>
#include <ostream>
#include <persimmonpoint/app/configuration_report.hpp>

namespace persimmonpoint::app {

namespace json = boost::json;

namespace {

class text_writer final : public configuration_report_writer {
public:
    void write(configuration_report const& report, std::ostream& out) const override {
        for (configuration_finding const& each : report.findings) {
            out << to_string(each.weight) << ": " << each.place << ": " << each.text
                << " [" << each.rule << "]\n";
        }
        if (report.findings.empty()) {
            out << "no findings\n";
        }
        if (!report.differences) {
            return;
        }
        if (report.differences->empty()) {
            out << "no differences from the version in force\n";
        }
        for (configuration_difference const& each : *report.differences) {
            out << "change: " << each.place << ": " << each.change << "\n    "
                << each.effect << '\n';
        }
    }
};

class json_writer final : public configuration_report_writer {
public:
    void write(configuration_report const& report, std::ostream& out) const override {
        json::object root;
        json::array& findings = root["findings"].emplace_array();
        for (configuration_finding const& each : report.findings) {
            findings.push_back(
                {{"weight", std::string(to_string(each.weight))},
                 {"rule", each.rule},
                 {"place", each.place},
                 {"text", each.text}});
        }
        if (report.differences) {
            json::array& changes = root["changes"].emplace_array();
            for (configuration_difference const& each : *report.differences) {
                changes.push_back(
                    {{"place", each.place},
                     {"change", each.change},
                     {"effect", each.effect}});
            }
        }
        out << json::serialize(root) << '\n';
    }
};

} // namespace

bool configuration_report::has_errors() const {
    return std::any_of(
        this->findings.begin(), this->findings.end(),
        [](configuration_finding const& each) {
            return each.weight == finding_weight::error;
        });
}

std::unique_ptr<configuration_report_writer>
make_configuration_report_writer(std::string_view format) {
    if (format == "text") {
        return std::make_unique<text_writer>();
    }
    if (format == "json") {
        return std::make_unique<json_writer>();
    }
    return nullptr;
}

} // namespace persimmonpoint::app
