#ifndef PERSIMMONPOINT_CORE_CATALOG_ENTRY_RULES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_ENTRY_RULES_HPP_INCLUDED

/// What entries of configuration, databases and hosts may hold, whoever wrote them. An
/// entry outside these bounds is left out; the others hold.

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// Inclusive bounds of a whole number.
struct number_range {
    std::uint64_t least = 0;
    std::uint64_t most = std::numeric_limits<std::uint64_t>::max();

    bool contains(std::uint64_t value) const {
        return this->least <= value && value <= this->most;
    }
};

/// Statements that a database runs at a time.
inline constexpr number_range slots_range{0, 10'000};
/// Connections to one database, over all hosts.
inline constexpr number_range connections_range{0, 1'000'000};
inline constexpr number_range sync_replicas_range{0, 100};
/// Processor time of a host, in thousandths of a core; 0 if it isn't told.
inline constexpr number_range processor_range{0, 1'000'000};
inline constexpr number_range priority_range{
    0, std::numeric_limits<std::uint32_t>::max()};
/// Longest timeout, objective or staleness bound of a route.
inline constexpr duration max_route_time = std::chrono::hours(24);
/// Milliseconds that a database is slow after its start.
inline constexpr number_range cold_time_range{0, 86'400'000};
inline constexpr double max_cold_seconds = 86'400;
/// Statements a second that a cold database takes.
inline constexpr double max_cold_rate = 1e9;
/// Rate (operations a second) and burst (operations) of a team.
inline constexpr double max_team_rate = 1e9;
/// Bytes of a name or an address.
inline constexpr std::size_t max_name_bytes = 200;

/// A field that can't be used, and why.
struct field_fault {
    std::string field;
    std::string reason;

    friend bool operator==(field_fault const&, field_fault const&) = default;
};

/// An entry that was left out of a list, and its first fault.
struct entry_fault {
    std::string list;
    std::string entry; ///< Name of the entry; empty if it has none that can be read.
    field_fault fault;
};

/// True for a name that the line protocol can carry as one word: not empty, not too long,
/// and without blanks and control characters.
bool is_plain_word(std::string_view name);

/// First field of the entry that can't be used. The address is only checked for its
/// length: whether it can be connected to is for the network to say.
std::optional<field_fault> find_fault(registered_database const& entry);
std::optional<field_fault> find_fault(registered_host const& entry);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_ENTRY_RULES_HPP_INCLUDED
