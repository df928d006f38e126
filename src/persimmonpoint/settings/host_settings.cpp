#include <algorithm>
#include <array>
#include <fstream>
#include <persimmonpoint/observe/log.hpp>
#include <persimmonpoint/settings/host_settings.hpp>
#include <persimmonpoint/settings/table_reader.hpp>
#include <sstream>

namespace persimmonpoint::settings {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * 1024;
constexpr std::size_t shortest_secret = 16;
constexpr double most_rate = 1e9;

/// Control keeps one connection to each database; traffic needs at least one more.
constexpr std::size_t least_share = 2;

class loader {
public:
    loader(std::string_view file, toml::table const& root) : file(file), root(root) {}

    loaded_settings run() {
        this->read_host();
        this->read_fleet();
        this->read_platform();
        this->read_sessions();
        this->read_upstream();
        this->read_log();
        this->read_standin();
        this->read_catalog();
        this->check_sections();
        this->check_references();
        return std::move(this->out);
    }

private:
    table_reader section(std::string_view name) {
        static toml::table const empty;
        toml::node const* node = this->root.get(name);
        toml::table const* table = node == nullptr ? nullptr : node->as_table();
        if (node != nullptr && table == nullptr) {
            this->report(*node, std::string(name), "takes a table");
        }
        return table_reader(
            table == nullptr ? empty : *table, std::string(name), this->file,
            this->out.findings);
    }

    void report(toml::node const& place, std::string key, std::string message) {
        this->out.findings.push_back(finding{
            this->file, place.source().begin.line, place.source().begin.column,
            std::move(key), std::move(message)});
    }

    void read_host() {
        host_settings& host = this->out.host;
        table_reader reader = this->section("host");
        constexpr std::int64_t most_threads = 256;
        reader.text("name", host.name);
        reader.address("address", host.address);
        reader.port("port", host.port);
        reader.text("availability_zone", host.availability_zone);
        reader.integer("traffic_threads", host.traffic_threads, 1, most_threads);
        reader.text("tls_certificate_file", host.tls_certificate_file);
        reader.text("tls_key_file", host.tls_key_file);
        reader.boolean("allow_clear_text_keys", host.allow_clear_text_keys);
        if (host.tls_certificate_file.empty() != host.tls_key_file.empty()) {
            reader.report(
                "tls_key_file",
                "goes together with tls_certificate_file; one is missing");
        }
        reader.finish();
    }

    void read_fleet() {
        constexpr std::int64_t most_hosts = 1000;
        table_reader reader = this->section("fleet");
        reader.integer("hosts_expected", this->out.host.hosts_expected, 1, most_hosts);
        reader.finish();
    }

    void read_platform() {
        host_settings& host = this->out.host;
        table_reader reader = this->section("platform");
        duration timeout = host.platform_timeout;
        reader.address("address", host.platform_address);
        reader.port("port", host.platform_port);
        reader.length_of_time("timeout", timeout, milliseconds(10), minutes(1));
        reader.length_of_time(
            "catalog_poll_interval", host.catalog_poll_interval, milliseconds(50),
            seconds(3));
        host.platform_timeout = std::chrono::duration_cast<milliseconds>(timeout);
        reader.finish();
    }

    void read_sessions() {
        host_settings& host = this->out.host;
        table_reader reader = this->section("sessions");
        reader.text("token_secret", host.token_secret);
        if (!host.token_secret.empty() && host.token_secret.size() < shortest_secret) {
            reader.report("token_secret", "takes at least 16 characters");
        }
        reader.size("max_frame", host.max_frame_bytes, 64 * kibibyte, 1024 * mebibyte);
        reader.length_of_time(
            "startup_timeout", host.startup_timeout, milliseconds(100), minutes(5));
        reader.length_of_time(
            "statement_timeout", host.statement_timeout, milliseconds(100), hours(24));
        reader.length_of_time(
            "silence_probe", host.silence_probe, milliseconds(50), minutes(1));
        reader.length_of_time(
            "idle_in_transaction", host.idle_in_transaction, milliseconds(100), hours(1));
        reader.finish();
    }

    void read_upstream() {
        host_settings& host = this->out.host;
        table_reader reader = this->section("upstream");
        reader.text("user", host.upstream_user);
        reader.text("password", host.upstream_password);
        reader.text("database", host.upstream_database);
        reader.text("ssl_mode", host.upstream_ssl_mode);
        constexpr std::array<std::string_view, 4> modes = {
            "disable", "require", "verify-ca", "verify-full"};
        if (std::ranges::find(modes, host.upstream_ssl_mode) == modes.end()) {
            reader.report("ssl_mode", "takes disable, require, verify-ca or verify-full");
        }
        reader.length_of_time(
            "poll_interval", host.poll_interval, milliseconds(10), seconds(5));
        reader.length_of_time(
            "suspicion_time", host.suspicion_time, milliseconds(100), seconds(30));
        reader.finish();
    }

    void read_log() {
        table_reader reader = this->section("log");
        observe::log_level ignored{};
        reader.text("level", this->out.host.log_level);
        if (!observe::parse_log_level(this->out.host.log_level, ignored)) {
            reader.report("level", "takes debug, info, warning or error");
        }
        reader.finish();
    }

    void read_standin() {
        standin_settings& standin = this->out.standin;
        table_reader reader = this->section("standin");
        reader.length_of_time(
            "connect_time", standin.connect_time, seconds(0), seconds(5));
        reader.length_of_time("round_trip", standin.round_trip, seconds(0), seconds(5));
        reader.length_of_time(
            "replication_lag", standin.replication_lag, seconds(0), hours(1));
        reader.finish();
    }

    /// Calls a reader for each table of an array such as [[catalog.team]].
    template <class Read>
    void each_of(toml::table const& catalog, std::string_view kind, Read read) {
        toml::node const* node = catalog.get(kind);
        if (node == nullptr) {
            return;
        }
        std::string const path = "catalog." + std::string(kind);
        toml::array const* entries = node->as_array();
        if (entries == nullptr) {
            this->report(*node, path, "takes an array of tables");
            return;
        }
        for (toml::node const& entry : *entries) {
            toml::table const* table = entry.as_table();
            if (table == nullptr) {
                this->report(entry, path, "takes a table");
                continue;
            }
            table_reader reader(*table, path, this->file, this->out.findings);
            read(reader);
            reader.finish();
        }
    }

    void read_catalog() {
        toml::node const* node = this->root.get("catalog");
        if (node == nullptr) {
            return;
        }
        toml::table const* catalog = node->as_table();
        if (catalog == nullptr) {
            this->report(*node, "catalog", "takes a table");
            return;
        }
        this->each_of(
            *catalog, "team", [this](table_reader& reader) { this->read_team(reader); });
        this->each_of(*catalog, "group", [this](table_reader& reader) {
            this->read_group(reader);
        });
        this->each_of(*catalog, "database", [this](table_reader& reader) {
            this->read_database(reader);
        });
        this->each_of(*catalog, "route", [this](table_reader& reader) {
            this->read_route(reader);
        });
        for (auto const& [key, entry] : *catalog) {
            constexpr std::array<std::string_view, 4> kinds = {
                "team", "group", "database", "route"};
            if (std::ranges::find(kinds, key.str()) == kinds.end()) {
                this->report(
                    entry, "catalog." + std::string(key.str()), "is not a known key");
            }
        }
    }

    void read_limit(table_reader& reader, rate_limit& limit) {
        reader.number("rate_per_second", limit.per_second, 0, most_rate);
        reader.number("burst", limit.burst, 0, most_rate);
    }

    void read_team(table_reader& reader) {
        team entry;
        reader.name("name", entry.name);
        reader.require("rate_per_second");
        reader.require("burst");
        this->read_limit(reader, entry.limit);
        reader.labels("labels", entry.labels);
        this->refuse_double(reader, this->out.seed.teams, entry.name);
        this->out.seed.teams.push_back(std::move(entry));
    }

    void read_group(table_reader& reader) {
        upstream_group entry;
        reader.name("name", entry.name);
        reader.labels("labels", entry.labels);
        this->refuse_double(reader, this->out.seed.groups, entry.name);
        this->out.seed.groups.push_back(std::move(entry));
    }

    void read_database(table_reader& reader) {
        constexpr std::int64_t most = 100'000;
        upstream_database entry;
        std::string group;
        entry.address = "127.0.0.1";
        reader.name("group", group);
        reader.name("name", entry.name);
        reader.address("address", entry.address);
        reader.port("port", entry.port);
        reader.text("availability_zone", entry.availability_zone);
        reader.integer("connections", entry.connections, 1, most);
        reader.integer("slots", entry.slots, 1, most);
        reader.labels("labels", entry.labels);
        std::size_t const share = entry.connections / this->out.host.hosts_expected;
        if (entry.connections > 0 && share < least_share) {
            reader.report(
                "connections", std::to_string(entry.connections) + " connections for " +
                                   std::to_string(this->out.host.hosts_expected) +
                                   " hosts leave fewer than 2 to each");
        }
        auto const owner =
            std::ranges::find(this->out.seed.groups, group, &upstream_group::name);
        if (owner == this->out.seed.groups.end()) {
            reader.report("group", "group \"" + group + "\" is not defined");
            return;
        }
        this->refuse_double(reader, owner->databases, entry.name);
        owner->databases.push_back(std::move(entry));
    }

    void read_route(table_reader& reader) {
        route entry;
        reader.name("name", entry.name);
        reader.name("group", entry.group);
        reader.boolean("open", entry.open);
        this->read_limit(reader, entry.open_limit);
        reader.labels("labels", entry.labels);
        bool const defined = std::ranges::find(
                                 this->out.seed.groups, entry.group,
                                 &upstream_group::name) != this->out.seed.groups.end();
        if (!entry.group.empty() && !defined) {
            reader.report("group", "group \"" + entry.group + "\" is not defined");
        }
        if (!entry.open && entry.open_limit.per_second > 0) {
            reader.report("rate_per_second", "a limit of its own is for an open route");
        }
        this->refuse_double(reader, this->out.seed.routes, entry.name);
        this->out.seed.routes.push_back(std::move(entry));
    }

    template <class Objects>
    void
    refuse_double(table_reader& reader, Objects const& objects, std::string const& name) {
        for (auto const& each : objects) {
            if (each.name == name && !name.empty()) {
                reader.report("name", "\"" + name + "\" is defined twice");
                return;
            }
        }
    }

    void check_sections() {
        constexpr std::array<std::string_view, 8> sections = {
            "host",     "fleet", "platform", "sessions",
            "upstream", "log",   "standin",  "catalog"};
        for (auto const& [key, node] : this->root) {
            if (std::ranges::find(sections, key.str()) == sections.end()) {
                this->report(node, std::string(key.str()), "is not a known section");
            }
        }
    }

    void check_references() {
        host_settings const& host = this->out.host;
        if (host.silence_probe >= host.statement_timeout) {
            this->out.findings.push_back(finding{
                this->file, 0, 0, "sessions.silence_probe",
                "must be shorter than sessions.statement_timeout"});
        }
        for (upstream_group const& group : this->out.seed.groups) {
            if (group.databases.empty()) {
                this->out.findings.push_back(finding{
                    this->file, 0, 0, "catalog.group",
                    "group \"" + group.name + "\" has no database"});
            }
        }
    }

    std::string file;
    toml::table const& root;
    loaded_settings out;
};

} // namespace

loaded_settings load(std::string_view file, std::string_view text) {
    try {
        toml::table const root = toml::parse(text);
        return loader(file, root).run();
    } catch (toml::parse_error const& failure) {
        loaded_settings out;
        toml::source_position const place = failure.source().begin;
        out.findings.push_back(finding{
            std::string(file), place.line, place.column, "",
            std::string(failure.description())});
        return out;
    }
}

loaded_settings load_file(std::string const& path) {
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input) {
        loaded_settings out;
        out.findings.push_back(finding{path, 0, 0, "", "can't be read"});
        return out;
    }
    return load(path, text.str());
}

} // namespace persimmonpoint::settings
