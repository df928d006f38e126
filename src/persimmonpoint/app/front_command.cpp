#include <csignal>
#include <cstdlib>
#include <exception>
#include <malloc.h>
#include <ostream>
#include <persimmonpoint/app/commands.hpp>
#include <persimmonpoint/app/options.hpp>
#include <persimmonpoint/host/front_host.hpp>
#include <persimmonpoint/observe/event_log.hpp>

namespace persimmonpoint::app {

namespace {

/// Names the settings file where the command line doesn't.
constexpr char const* settings_variable = "PERSIMMONPOINT_CONFIG";
/// Larger blocks go back to the system as they are freed. By itself the allocator raises
/// the size with each such block, and then keeps what a crowd of callers made it take.
constexpr int most_kept_block_bytes = 128 * 1024;

class front_command final : public command {
public:
    std::string_view name() const override { return "front"; }
    std::string_view summary() const override {
        return "Run a host on the users' platform";
    }

    exit_code
    run(std::span<std::string const> arguments,
        std::ostream& out,
        std::ostream& err) override {
        // The settings are read below: a change told until the host looks for signals is
        // none, and must not end the process.
        std::signal(SIGHUP, SIG_IGN);
        cxxopts::Options options = make_options(*this);
        options.add_options()(
            "s,settings", "Settings file; else the file that PERSIMMONPOINT_CONFIG names",
            cxxopts::value<std::string>())("check", "Only check the settings");
        auto const parsed = parse_options(options, arguments, out, err);
        if (!parsed.values) {
            return parsed.code;
        }
        std::string const path = this->settings_path(*parsed.values);
        if (path.empty()) {
            err << "front: neither --settings nor " << settings_variable
                << " names a settings file\n";
            return exit_code::usage;
        }
        auto const loaded = settings::load_front_file(path);
        if (!loaded.findings.empty()) {
            for (finding const& each : loaded.findings) {
                err << to_string(each) << '\n';
            }
            return exit_code::usage;
        }
        if (parsed.values->count("check") > 0) {
            out << path << ": no findings\n";
            return exit_code::success;
        }
        return this->serve(loaded.values, err);
    }

private:
    std::string settings_path(cxxopts::ParseResult const& values) const {
        if (values.count("settings") > 0) {
            return values["settings"].as<std::string>();
        }
        char const* const named = std::getenv(settings_variable);
        return named == nullptr ? "" : named;
    }

    exit_code serve(settings::front_settings const& settings, std::ostream& err) {
        ::mallopt(M_MMAP_THRESHOLD, most_kept_block_bytes);
        observe::start_event_log(settings.name);
        exit_code code = exit_code::success;
        try {
            host::front_host host(settings);
            host.run();
        } catch (std::exception const& failure) {
            err << "front: " << failure.what() << '\n';
            observe::log_event(
                observe::log_level::error, "failed", {{"reason", failure.what()}});
            code = exit_code::failure;
        }
        observe::stop_event_log();
        return code;
    }
};

} // namespace

std::unique_ptr<command> make_front_command() {
    return std::make_unique<front_command>();
}

} // namespace persimmonpoint::app
