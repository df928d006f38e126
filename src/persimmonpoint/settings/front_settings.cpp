#include <charconv>
#include <fstream>
#include <map>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/settings/front_settings.hpp>
#include <persimmonpoint/settings/table_reader.hpp>
#include <sstream>

namespace persimmonpoint::settings {

namespace {

constexpr duration least_grace = std::chrono::milliseconds(500);
constexpr duration most_grace = std::chrono::minutes(10);
constexpr duration default_in_force = std::chrono::seconds(3);
constexpr duration least_in_force = std::chrono::seconds(1);
/// A lower quota holds everywhere by then.
constexpr duration in_force_margin = std::chrono::milliseconds(500);
constexpr duration least_window = std::chrono::milliseconds(500);
constexpr duration least_drain = std::chrono::seconds(1);
constexpr duration most_drain = std::chrono::minutes(10);
constexpr duration least_evacuation = std::chrono::seconds(1);
constexpr duration most_evacuation = std::chrono::minutes(10);
constexpr double most_processor = 1000; ///< Cores.
constexpr duration least_message_time = std::chrono::milliseconds(100);
constexpr double least_held_bytes = 1024 * 1024;
constexpr double least_connections = 1;
constexpr double most_count = 1e12;
constexpr double most_overrun = 1;
constexpr double least_cold_overrun = 1;
constexpr double most_cold_overrun = 1000;
constexpr double most_slack = 1000000; ///< Operations.

/// Reads one table; an absent one is read as empty.
class section {
public:
    section(
        toml::table const& root,
        std::string_view name,
        std::string_view file,
        std::vector<finding>& findings)
        : table(root[name].is_table() ? *root[name].as_table() : toml::table()),
          reader(this->table, std::string(name), std::string(file), findings) {}

    void required_address(std::string_view key, std::string& value) {
        this->reader.require(key);
        this->address(key, value);
    }

    void address(std::string_view key, std::string& value) {
        this->reader.text(key, value);
        if (!value.empty() && !net::parse_endpoint(value)) {
            this->reader.report(key, "takes an IP number and a port");
        }
    }

    /// The platform leaves a text empty where it has no value; the default stays then.
    void
    length_of_time(std::string_view key, duration& value, duration least, duration most) {
        std::string text;
        this->reader.text(key, text);
        bool const has_digits = text.find_first_of("0123456789") != std::string::npos;
        if (has_digits) {
            this->reader.length_of_time(key, value, least, most);
        }
    }

    void number(std::string_view key, double& value, double least, double most) {
        std::string text;
        this->reader.text(key, text);
        if (text.empty()) {
            return;
        }
        double read = 0;
        auto const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data(), end, read);
        if (parsed.ec != std::errc() || parsed.ptr != end || read < least ||
            read > most) {
            this->reader.report(key, "takes a number as text, within its limits");
            return;
        }
        value = read;
    }

    void count(std::string_view key, std::size_t& value, double least) {
        double read = static_cast<double>(value);
        this->number(key, read, least, most_count);
        value = static_cast<std::size_t>(read);
    }

    void milliseconds(std::string_view key, std::chrono::milliseconds& value) {
        duration read = value;
        this->length_of_time(key, read, least_message_time, most_grace);
        value = std::chrono::duration_cast<std::chrono::milliseconds>(read);
    }

    /// All keys with a text.
    std::map<std::string, std::string, std::less<>> texts() const {
        std::map<std::string, std::string, std::less<>> all;
        for (auto const& [key, value] : this->table) {
            if (auto const text = value.value<std::string>()) {
                all.emplace(key.str(), *text);
            }
        }
        return all;
    }

    toml::table table;
    table_reader reader;
};

/// A comma stands between addresses.
std::vector<std::string> split_addresses(std::string const& text) {
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string each; std::getline(in, each, ',');) {
        if (net::parse_endpoint(each)) {
            out.push_back(each);
        }
    }
    return out;
}

} // namespace

loaded_front_settings load_front(std::string_view file, std::string_view text) {
    loaded_front_settings out;
    toml::table root;
    try {
        root = toml::parse(text, file);
    } catch (toml::parse_error const& failure) {
        out.findings.push_back(finding{
            std::string(file), failure.source().begin.line, failure.source().begin.column,
            "", std::string(failure.description())});
        return out;
    }
    front_settings& values = out.values;
    section host(root, "host", file, out.findings);
    host.reader.require("name");
    host.reader.text("name", values.name);
    host.reader.text("availability_zone", values.availability_zone);
    host.number("processor", values.processor, 0, most_processor);
    section listen(root, "listen", file, out.findings);
    listen.required_address("callers", values.callers);
    listen.required_address("readiness", values.readiness);
    listen.required_address("peers", values.peers);
    listen.address("metrics", values.metrics);
    section callers(root, "callers", file, out.findings);
    callers.count("held_bytes", values.callers_may.held_bytes, least_held_bytes);
    std::size_t descriptors = 0;
    callers.count("descriptors", descriptors, least_connections);
    if (descriptors > 0) {
        values.callers_may.connections = connections_within(descriptors);
    }
    callers.count("connections", values.callers_may.connections, least_connections);
    callers.milliseconds("start_time", values.callers_may.start_time);
    callers.milliseconds("message_time", values.callers_may.message_time);
    section platform(root, "platform", file, out.findings);
    platform.required_address("store", values.store);
    platform.required_address("promotion", values.promotion);
    section peers(root, "peers", file, out.findings);
    std::string seeds;
    peers.reader.text("seeds", seeds);
    values.seeds = split_addresses(seeds);
    section limits(root, "limits", file, out.findings);
    duration in_force = default_in_force;
    limits.length_of_time("in_force_within", in_force, least_in_force, most_grace);
    values.quotas.lower_delay = in_force - in_force_margin;
    limits.length_of_time("quota_window", values.quotas.window, least_window, most_grace);
    limits.number("quota_overrun", values.quotas.overrun, 0, most_overrun);
    limits.number("quota_slack", values.quotas.slack, 0, most_slack);
    section databases(root, "databases", file, out.findings);
    databases.length_of_time("drain", values.drain, least_drain, most_drain);
    databases.length_of_time(
        "evacuation", values.evacuation, least_evacuation, most_evacuation);
    databases.number(
        "cold_overrun", values.cold_overrun, least_cold_overrun, most_cold_overrun);
    section zones(root, "zones", file, out.findings);
    values.regions = zones.texts();
    section stop(root, "stop", file, out.findings);
    duration grace = values.grace;
    stop.reader.length_of_time("grace", grace, least_grace, most_grace);
    values.grace = std::chrono::duration_cast<std::chrono::milliseconds>(grace);
    duration rotation = values.rotation;
    stop.reader.length_of_time("rotation", rotation, duration(0), most_grace);
    values.rotation = std::chrono::duration_cast<std::chrono::milliseconds>(rotation);
    return out;
}

loaded_front_settings load_front_file(std::string const& path) {
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input) {
        loaded_front_settings out;
        out.findings.push_back(finding{path, 0, 0, "", "can't be read"});
        return out;
    }
    loaded_front_settings out = load_front(path, text.str());
    out.values.file = path;
    return out;
}

} // namespace persimmonpoint::settings
