#include <fstream>
#include <iterator>
#include <ostream>
#include <persimmonpoint/app/commands.hpp>
#include <persimmonpoint/app/configuration_report.hpp>
#include <persimmonpoint/app/options.hpp>
#include <persimmonpoint/platform/configuration_places.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <utility>

namespace persimmonpoint::app {

namespace {

/// The file's configuration; nothing, and a line in `err`, if it can't be read.
std::optional<listed_configuration>
load_configuration(std::string const& file, std::ostream& err) {
    std::ifstream input(file, std::ios::binary);
    std::string const body{
        std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    if (!input) {
        err << file << ": can't be read\n";
        return std::nullopt;
    }
    auto listed = platform::decode_listed_configuration(body);
    if (!listed) {
        err << file << ": " << listed.error().message << '\n';
        return std::nullopt;
    }
    return std::move(listed.value());
}

/// Has the report name places as the file does.
void name_as_written(configuration_report& report) {
    for (configuration_finding& each : report.findings) {
        each.place = platform::place_in_document(each.place);
    }
    if (report.differences) {
        for (configuration_difference& each : *report.differences) {
            each.place = platform::place_in_document(each.place);
        }
    }
}

class check_configuration_command final : public command {
public:
    std::string_view name() const override { return "check-configuration"; }
    std::string_view summary() const override {
        return "Check a configuration of routes, services and teams before it is sent";
    }

    exit_code
    run(std::span<std::string const> arguments,
        std::ostream& out,
        std::ostream& err) override {
        cxxopts::Options options = this->describe_options();
        auto const parsed = parse_options(options, arguments, out, err);
        if (!parsed.values) {
            return parsed.code;
        }
        cxxopts::ParseResult const& values = *parsed.values;
        auto const writer =
            make_configuration_report_writer(values["format"].as<std::string>());
        if (writer == nullptr || values.count("file") == 0) {
            err << "check-configuration: name a configuration, and a format of text or "
                   "json\n";
            return exit_code::usage;
        }
        auto listed = load_configuration(values["file"].as<std::string>(), err);
        if (!listed) {
            return exit_code::usage;
        }
        configuration_report report;
        report.findings = check_configuration(*listed);
        if (values.count("in-force") > 0) {
            auto before = load_configuration(values["in-force"].as<std::string>(), err);
            if (!before) {
                return exit_code::usage;
            }
            report.differences = compare_configurations(
                index_configuration(std::move(*before)),
                index_configuration(std::move(*listed)));
        }
        name_as_written(report);
        writer->write(report, out);
        return report.has_errors() ? exit_code::failure : exit_code::success;
    }

private:
    cxxopts::Options describe_options() const {
        cxxopts::Options options = make_options(*this);
        options.add_options()(
            "in-force", "The configuration to compare with",
            cxxopts::value<std::string>())(
            "format", "text or json",
            cxxopts::value<std::string>()->default_value("text"))(
            "file", "The configuration, as it lies in the store",
            cxxopts::value<std::string>());
        options.parse_positional("file");
        options.positional_help("FILE");
        return options;
    }
};

} // namespace

std::unique_ptr<command> make_check_configuration_command() {
    return std::make_unique<check_configuration_command>();
}

} // namespace persimmonpoint::app
