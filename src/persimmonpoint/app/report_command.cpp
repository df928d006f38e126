#include <fstream>
#include <iostream>
#include <persimmonpoint/app/commands.hpp>
#include <persimmonpoint/app/options.hpp>
#include <persimmonpoint/report/event_reader.hpp>
#include <persimmonpoint/report/report_writer.hpp>

namespace persimmonpoint::app {

namespace {

/// The input that stands for standard input.
constexpr std::string_view standard_input = "-";

bool is_share(double value) {
    return value > 0 && value < 1;
}

class report_command final : public command {
public:
    std::string_view name() const override { return "report"; }
    std::string_view summary() const override {
        return "Report service levels and their burn from hosts' logs";
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
        auto const writer = report::make_writer(values["format"].as<std::string>());
        double const served = values["served"].as<double>();
        double const timely = values["in-time"].as<double>();
        bool const usable = writer != nullptr && is_share(served) && is_share(timely);
        if (!usable || values.count("files") == 0) {
            err << "report: name at least one log, a format of text, json or html, and "
                   "shares between 0 and 1\n";
            return exit_code::usage;
        }
        std::vector<std::unique_ptr<objective>> objectives;
        objectives.push_back(make_served_objective(served));
        objectives.push_back(
            make_timely_objective(timely, values["aim-ms"].as<double>()));
        service_level_book book(std::move(objectives), usual_burn_rules());
        exit_code const code =
            this->read_files(values["files"].as<std::vector<std::string>>(), book, err);
        writer->write(book.report(), out);
        return code;
    }

private:
    cxxopts::Options describe_options() const {
        cxxopts::Options options = make_options(*this);
        options.add_options()(
            "format", "text, json or html",
            cxxopts::value<std::string>()->default_value("text"))(
            "served", "Promised share of requests that are served",
            cxxopts::value<double>()->default_value("0.999"))(
            "in-time", "Promised share of served requests that are in time",
            cxxopts::value<double>()->default_value("0.99"))(
            "aim-ms", "Milliseconds within which an answer is in time",
            cxxopts::value<double>()->default_value("200"))(
            "files", "Logs of hosts, - for standard input",
            cxxopts::value<std::vector<std::string>>());
        options.parse_positional("files");
        options.positional_help("FILE...");
        return options;
    }

    /// Reads on past what it can't read, and tells of it.
    exit_code read_files(
        std::span<std::string const> files,
        service_level_book& book,
        std::ostream& err) const {
        exit_code code = exit_code::success;
        for (std::string const& file : files) {
            std::ifstream from_file;
            if (file != standard_input) {
                from_file.open(file);
            }
            if (!from_file) {
                err << file << ": can't be read\n";
                code = exit_code::failure;
                continue;
            }
            std::istream& input = file == standard_input ? std::cin : from_file;
            auto const reading = report::read_events(input, file, book);
            for (finding const& each : reading.findings) {
                err << to_string(each) << '\n';
            }
            if (reading.unreadable_lines > 0) {
                err << file << ": " << reading.unreadable_lines << " unreadable lines\n";
                code = exit_code::failure;
            }
        }
        return code;
    }
};

} // namespace

std::unique_ptr<command> make_report_command() {
    return std::make_unique<report_command>();
}

} // namespace persimmonpoint::app
