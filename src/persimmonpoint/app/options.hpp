#ifndef PERSIMMONPOINT_APP_OPTIONS_HPP_INCLUDED
#define PERSIMMONPOINT_APP_OPTIONS_HPP_INCLUDED

#include <cxxopts.hpp>
#include <optional>
#include <ostream>
#include <persimmonpoint/app/command.hpp>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint::app {

/// Options of a subcommand, with --help.
inline cxxopts::Options make_options(command const& owner) {
    cxxopts::Options options(
        "persimmonpoint " + std::string(owner.name()), std::string(owner.summary()));
    options.add_options()("h,help", "Print this help");
    return options;
}

/// Parsed options; or the code to exit with, after help or a complaint was printed.
struct parsed_options {
    std::optional<cxxopts::ParseResult> values;
    exit_code code = exit_code::success;
};

inline parsed_options parse_options(
    cxxopts::Options& options,
    std::span<std::string const> arguments,
    std::ostream& out,
    std::ostream& err) {
    std::vector<char const*> raw{"persimmonpoint"};
    for (std::string const& each : arguments) {
        raw.push_back(each.c_str());
    }
    parsed_options parsed;
    try {
        auto values = options.parse(static_cast<int>(raw.size()), raw.data());
        if (values.count("help") > 0) {
            out << options.help();
            return parsed;
        }
        if (!values.unmatched().empty()) {
            err << "unexpected argument \"" << values.unmatched().front() << "\"\n";
            parsed.code = exit_code::usage;
            return parsed;
        }
        parsed.values = std::move(values);
    } catch (cxxopts::exceptions::exception const& failure) {
        err << failure.what() << '\n';
        parsed.code = exit_code::usage;
    }
    return parsed;
}

} // namespace persimmonpoint::app

#endif // PERSIMMONPOINT_APP_OPTIONS_HPP_INCLUDED
