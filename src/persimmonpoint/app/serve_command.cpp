#include <ostream>
#include <persimmonpoint/app/commands.hpp>
#include <persimmonpoint/app/options.hpp>
#include <persimmonpoint/app/stop_signal.hpp>
#include <persimmonpoint/host/entry_host.hpp>
#include <persimmonpoint/observe/log.hpp>
#include <thread>

namespace persimmonpoint::app {

namespace {

class serve_command final : public command {
public:
    std::string_view name() const override { return "serve"; }
    std::string_view summary() const override { return "Run an entry host"; }

    exit_code
    run(std::span<std::string const> arguments,
        std::ostream& out,
        std::ostream& err) override {
        cxxopts::Options options = make_options(*this);
        options.add_options()(
            "s,settings", "Settings file", cxxopts::value<std::string>())(
            "name", "Overrides host.name", cxxopts::value<std::string>())(
            "port", "Overrides host.port", cxxopts::value<std::uint16_t>())(
            "drain-seconds", "Longest time for a planned stop",
            cxxopts::value<unsigned>()->default_value("30"));
        auto const parsed = parse_options(options, arguments, out, err);
        if (!parsed.values) {
            return parsed.code;
        }
        cxxopts::ParseResult const& values = *parsed.values;
        if (values.count("settings") == 0) {
            err << "serve: --settings FILE is missing\n";
            return exit_code::usage;
        }
        auto loaded = settings::load_file(values["settings"].as<std::string>());
        this->check_for_serving(loaded);
        if (!loaded.findings.empty()) {
            for (finding const& each : loaded.findings) {
                err << to_string(each) << '\n';
            }
            return exit_code::usage;
        }
        if (values.count("name") > 0) {
            loaded.host.name = values["name"].as<std::string>();
        }
        if (values.count("port") > 0) {
            loaded.host.port = values["port"].as<std::uint16_t>();
        }
        return this->serve(
            loaded.host, std::chrono::seconds(values["drain-seconds"].as<unsigned>()));
    }

private:
    /// What may be left out of a file for the demonstration, but not here.
    void check_for_serving(settings::loaded_settings& loaded) const {
        auto const need = [&](bool present, char const* key) {
            if (!present) {
                loaded.findings.push_back(finding{"", 0, 0, key, "is missing"});
            }
        };
        need(loaded.host.platform_port != 0, "platform.port");
        need(!loaded.host.token_secret.empty(), "sessions.token_secret");
    }

    exit_code serve(
        settings::host_settings const& settings, std::chrono::milliseconds drain_limit) {
        observe::log_level level{};
        observe::parse_log_level(settings.log_level, level);
        observe::set_log_level(level);
        stop_signal const stop;
        host::entry_host host(settings);
        host.start();
        stop.wait();
        observe::log(
            observe::log_level::info, observe::log_part::app,
            "Stops when its sessions have ended; a second signal hurries it.");
        std::thread hurry([&host, &stop] {
            stop.wait();
            host.hurry();
        });
        hurry.detach();
        host.drain(drain_limit);
        host.stop();
        observe::log(observe::log_level::info, observe::log_part::app, "Stopped.");
        return exit_code::success;
    }
};

} // namespace

std::unique_ptr<command> make_serve_command() {
    return std::make_unique<serve_command>();
}

} // namespace persimmonpoint::app
