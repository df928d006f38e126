#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_DRAIN_TIMES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_DRAIN_TIMES_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// Until when databases that are leaving are given new work. One that has told for long
/// that it leaves ends at any moment, whatever it is working on.
class drain_times {
public:
    using databases = std::map<std::string, registered_database, std::less<>>;

    /// @param served How long a database serves from when it tells that it leaves.
    explicit drain_times(duration served);

    /// Takes the registered databases; one that was started anew is another one.
    void update(databases const& present, instant now);
    /// When new work ends; unset for a database that isn't leaving.
    std::optional<instant> work_ends_at(std::string_view id) const;

private:
    struct departure_notice {
        std::uint64_t started_ms = 0;
        instant seen_at{};
    };

    duration served;
    std::map<std::string, departure_notice, std::less<>> notices;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_DRAIN_TIMES_HPP_INCLUDED
