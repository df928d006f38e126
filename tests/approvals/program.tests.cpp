#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <persimmonpoint/app/command.hpp>
#include <sstream>
#include <vector>

using namespace persimmonpoint;

namespace {

/// What the program prints and how it ends, as one text.
std::string transcript(std::vector<std::string> const& arguments) {
    std::ostringstream out;
    std::ostringstream err;
    app::exit_code const code = app::run_program(arguments, out, err);
    std::ostringstream text;
    text << "exit " << static_cast<int>(code) << "\n--- out\n"
         << out.str() << "--- err\n"
         << err.str();
    return text.str();
}

std::string approved(std::string const& name) {
    std::ifstream input(PERSIMMONPOINT_TEST_DATA "/approvals/expected/" + name + ".txt");
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

/// The directory of the test data differs from machine to machine.
std::string without_path(std::string text) {
    std::string const path = PERSIMMONPOINT_TEST_DATA "/approvals/input/";
    for (auto at = text.find(path); at != std::string::npos; at = text.find(path)) {
        text.erase(at, path.size());
    }
    return text;
}

} // namespace

TEST_CASE("The program prints what was approved", "[approvals]") {
    auto const [name, arguments] = GENERATE(table<std::string, std::vector<std::string>>({
        {"no_command", {}},
        {"help", {"--help"}},
        {"unknown_command", {"severe"}},
        {"version", {"version"}},
        {"check_help", {"check", "--help"}},
        {"serve_help", {"serve", "--help"}},
        {"demo_help", {"demo", "--help"}},
        {"report_help", {"report", "--help"}},
        {"report_without_file", {"report"}},
        {"report_unknown_format", {"report", "--format", "pdf", "host.log"}},
        {"report_missing_file", {"report", "no-such.log"}},
        {"report_text", {"report", PERSIMMONPOINT_TEST_DATA "/approvals/input/host.log"}},
        {"report_json",
         {"report", "--format", "json",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/host.log"}},
        {"report_html",
         {"report", "--format", "html",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/host.log"}},
        {"report_broken_lines",
         {"report", PERSIMMONPOINT_TEST_DATA "/approvals/input/broken.log"}},
        {"front_help", {"front", "--help"}},
        {"front_without_settings", {"front"}},
        {"serve_without_settings", {"serve"}},
        {"check_without_file", {"check"}},
        {"check_missing_file", {"check", "no-such-file.toml"}},
        {"check_unknown_option", {"check", "--colour"}},
        {"check_findings",
         {"check", PERSIMMONPOINT_TEST_DATA "/approvals/input/many_findings.toml"}},
        {"check_configuration_help", {"check-configuration", "--help"}},
        {"check_configuration_without_file", {"check-configuration"}},
        {"check_configuration_missing_file", {"check-configuration", "no-such.json"}},
        {"check_configuration_no_configuration",
         {"check-configuration", PERSIMMONPOINT_TEST_DATA "/approvals/input/host.log"}},
        {"check_configuration_clean",
         {"check-configuration",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/configuration_in_force.json"}},
        {"check_configuration_findings",
         {"check-configuration",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/configuration_broken.json"}},
        {"check_configuration_findings_json",
         {"check-configuration", "--format", "json",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/configuration_broken.json"}},
        {"check_configuration_differences",
         {"check-configuration", "--in-force",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/configuration_in_force.json",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/configuration_wanted.json"}},
        {"check_configuration_differences_json",
         {"check-configuration", "--format", "json", "--in-force",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/configuration_in_force.json",
          PERSIMMONPOINT_TEST_DATA "/approvals/input/configuration_wanted.json"}},
        {"check_clean",
         {"check", PERSIMMONPOINT_SETTINGS "/fisheries.toml",
          PERSIMMONPOINT_SETTINGS "/almanac.toml"}},
    }));
    INFO(name);
    CHECK(without_path(transcript(arguments)) == approved(name));
}
