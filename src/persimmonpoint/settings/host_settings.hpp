#ifndef PERSIMMONPOINT_SETTINGS_HOST_SETTINGS_HPP_INCLUDED
#define PERSIMMONPOINT_SETTINGS_HOST_SETTINGS_HPP_INCLUDED

/// Settings of one entry host, and the objects that a new deployment starts from.

#include <chrono>
#include <cstdint>
#include <persimmonpoint/core/catalog/catalog.hpp>
#include <persimmonpoint/core/time.hpp>
#include <persimmonpoint/settings/finding.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::settings {

/// Section names of the file are given with each part. docs/operate/settings.md explains
/// every key.
struct host_settings {
    // [host]
    std::string name = "host-1";
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free port.
    std::string availability_zone;
    std::size_t traffic_threads = 2;
    std::string tls_certificate_file;
    std::string tls_key_file;
    bool allow_clear_text_keys = false;

    // [fleet]
    std::size_t hosts_expected = 8;

    // [platform]
    std::string platform_address = "127.0.0.1";
    std::uint16_t platform_port = 0;
    std::chrono::milliseconds platform_timeout{2000};
    duration catalog_poll_interval{std::chrono::milliseconds(500)};

    // [sessions]
    std::string token_secret;
    std::size_t max_frame_bytes = 16 * 1024 * 1024;
    duration startup_timeout{std::chrono::seconds(10)};
    duration statement_timeout{std::chrono::seconds(30)};
    duration silence_probe{std::chrono::seconds(1)};
    duration idle_in_transaction{std::chrono::seconds(5)};

    // [upstream]
    std::string upstream_user = "persimmonpoint";
    std::string upstream_password;
    std::string upstream_database = "postgres";
    std::string upstream_ssl_mode = "disable";
    duration poll_interval{std::chrono::milliseconds(100)};
    duration suspicion_time{std::chrono::milliseconds(300)};

    // [log]
    std::string log_level = "info";
};

/// How the stand-ins of a demonstration behave. [standin]
struct standin_settings {
    duration connect_time{std::chrono::milliseconds(10)};
    duration round_trip{std::chrono::milliseconds(0)};
    duration replication_lag{std::chrono::milliseconds(1)};
};

/// Objects of a new deployment. [[catalog.team]] and so on
struct catalog_seed {
    std::vector<team> teams;
    std::vector<route> routes;
    std::vector<upstream_group> groups;
};

struct loaded_settings {
    host_settings host;
    standin_settings standin;
    catalog_seed seed;
    std::vector<finding> findings; ///< Empty if the settings may be used.
};

/// Reads and checks a whole file's text. All findings are collected.
loaded_settings load(std::string_view file, std::string_view text);

/// Reads the file first; a file that can't be read is a finding too.
loaded_settings load_file(std::string const& path);

} // namespace persimmonpoint::settings

#endif // PERSIMMONPOINT_SETTINGS_HOST_SETTINGS_HPP_INCLUDED
