#ifndef PERSIMMONPOINT_CORE_CATALOG_DATABASE_DIRECTORY_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_DATABASE_DIRECTORY_HPP_INCLUDED

/// The databases that registered themselves, and the hosts of this system.

#include <cstdint>
#include <map>
#include <persimmonpoint/core/catalog/store_version.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

struct registered_database {
    std::string id;
    std::string group;
    std::string address; ///< IP number and port.
    std::string availability_zone;
    std::uint32_t slots = 1; ///< Statements it runs at a time.
    bool leaving = false;
    bool claims_primary = false;
    std::uint64_t started_ms = 0; ///< Unix time of its start.
    /// How much longer it is slow after its start, as it told itself.
    std::uint64_t cold_remaining_ms = 0;

    friend bool
    operator==(registered_database const&, registered_database const&) = default;
};

/// All registered databases as of one version of the store, by id.
struct database_directory {
    store_version version;
    std::map<std::string, registered_database, std::less<>> databases;
};

struct registered_host {
    std::string name;
    std::string address; ///< Where it takes links from other hosts: IP number and port.
    std::string availability_zone;
    /// Processor time that it has, in thousandths of a core; 0 if it doesn't tell.
    std::uint32_t processor_millicores = 0;

    friend bool operator==(registered_host const&, registered_host const&) = default;
};

using host_directory = std::vector<registered_host>;

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_DATABASE_DIRECTORY_HPP_INCLUDED
