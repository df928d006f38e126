#include <ostream>
#include <persimmonpoint/app/commands.hpp>
#include <persimmonpoint/app/options.hpp>
#include <persimmonpoint/chart/chart.hpp>
#include <persimmonpoint/settings/host_settings.hpp>

namespace persimmonpoint::app {

namespace {

class check_command final : public command {
public:
    std::string_view name() const override { return "check"; }
    std::string_view summary() const override {
        return "Check settings files and the built-in state charts";
    }

    exit_code
    run(std::span<std::string const> arguments,
        std::ostream& out,
        std::ostream& err) override {
        cxxopts::Options options = make_options(*this);
        options.add_options()(
            "files", "Settings files", cxxopts::value<std::vector<std::string>>());
        options.parse_positional("files");
        options.positional_help("FILE...");
        auto const parsed = parse_options(options, arguments, out, err);
        if (!parsed.values) {
            return parsed.code;
        }
        if (parsed.values->count("files") == 0) {
            err << "check: name at least one settings file\n";
            return exit_code::usage;
        }
        std::vector<finding> findings = this->check_charts();
        for (auto const& file :
             (*parsed.values)["files"].as<std::vector<std::string>>()) {
            auto const loaded = settings::load_file(file);
            findings.insert(
                findings.end(), loaded.findings.begin(), loaded.findings.end());
        }
        for (finding const& each : findings) {
            err << to_string(each) << '\n';
        }
        if (!findings.empty()) {
            err << findings.size()
                << (findings.size() == 1 ? " finding\n" : " findings\n");
            return exit_code::usage;
        }
        out << "no findings\n";
        return exit_code::success;
    }

private:
    std::vector<finding> check_charts() const {
        std::vector<finding> findings;
        for (std::string_view const name : chart::embedded_names()) {
            auto const loaded = chart::load(name, *chart::embedded(name));
            findings.insert(
                findings.end(), loaded.findings.begin(), loaded.findings.end());
        }
        return findings;
    }
};

} // namespace

std::unique_ptr<command> make_check_command() {
    return std::make_unique<check_command>();
}

} // namespace persimmonpoint::app
