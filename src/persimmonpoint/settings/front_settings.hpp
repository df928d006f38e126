#ifndef PERSIMMONPOINT_SETTINGS_FRONT_SETTINGS_HPP_INCLUDED
#define PERSIMMONPOINT_SETTINGS_FRONT_SETTINGS_HPP_INCLUDED

/// Settings of one host on the users' platform.

#include <chrono>
#include <cstdint>
#include <persimmonpoint/core/limits/caller_limits.hpp>
#include <persimmonpoint/core/limits/quota_share.hpp>
#include <persimmonpoint/core/placement/database_evacuation.hpp>
#include <persimmonpoint/core/placement/home_regions.hpp>
#include <persimmonpoint/settings/finding.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::settings {

struct front_settings {
    std::string file; ///< Where they were read from; empty if they weren't.

    // [host]
    std::string name;
    std::string availability_zone;
    /// Processor time that the host has, in cores; 0 if it isn't known.
    double processor = 0;

    // [listen] Each is an IP number and a port.
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;

    // [callers]
    caller_limits callers_may;

    // [platform] Each is an IP number and a port.
    std::string store;
    std::string promotion;

    // [peers]
    std::vector<std::string> seeds; ///< Addresses of hosts to learn a configuration from.

    // [limits]
    quota_rules quotas;

    // [databases]
    /// How long a database serves from when it tells that it leaves.
    duration drain = std::chrono::seconds(7);
    /// From the operator's request to evacuate an availability zone on, the time within
    /// which its databases are sent their last statement.
    duration evacuation = default_evacuation_limit;
    /// Factor by which the rate of a cold database may be exceeded.
    double cold_overrun = 1;

    // [zones] The region of each availability zone.
    zone_regions regions;

    // [stop]
    std::chrono::milliseconds grace{6000}; ///< From the signal to the end.
    /// Until the platform sends no more callers to a host that is not ready.
    std::chrono::milliseconds rotation{2300};
};

struct loaded_front_settings {
    front_settings values;
    std::vector<finding> findings; ///< Empty if the settings may be used.
};

/// Reads and checks a whole file's text. Keys that aren't known are ignored.
loaded_front_settings load_front(std::string_view file, std::string_view text);

/// Reads the file first; a file that can't be read is a finding too.
loaded_front_settings load_front_file(std::string const& path);

} // namespace persimmonpoint::settings

#endif // PERSIMMONPOINT_SETTINGS_FRONT_SETTINGS_HPP_INCLUDED
