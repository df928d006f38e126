#ifndef PERSIMMONPOINT_CORE_PLACEMENT_COLD_DATABASES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_PLACEMENT_COLD_DATABASES_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// When databases that have just started will be warm, by what they registered.
///
/// An entry tells how much longer its database is slow as of its writing, which may lie
/// some time back as it is read. The time is counted from the reading on, so that a
/// database is taken for cold too long rather than too short.
class cold_databases {
public:
    /// Takes the databases of the directory, at each change of it.
    void update(
        std::map<std::string, registered_database, std::less<>> const& databases,
        instant now);
    /// The clock's first instant for a database that never was cold.
    instant warm_at(std::string_view id) const;
    /// Databases that are cold.
    std::size_t count(instant now) const;

private:
    /// Told again in the same words, it means the same time as before.
    struct reading {
        std::uint64_t started_ms = 0;
        std::uint64_t told_ms = 0;
        instant warm_at{};
    };

    std::map<std::string, reading, std::less<>> readings;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_PLACEMENT_COLD_DATABASES_HPP_INCLUDED
