#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_DIRECTORY_READINGS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_DIRECTORY_READINGS_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// A database that lives and reaches the store is listed there within this time of its
/// start: it registers each 1.2 s.
inline constexpr duration registration_time = std::chrono::milliseconds(1500);
/// The same of the store's return, or until all hosts know of it: a few of them read the
/// store each 0.8 s, and hosts tell one another.
inline constexpr duration registration_delay = std::chrono::seconds(4);

/// Whether the directory lists each database that can have received commits.
enum class directory_listing {
    complete,
    pending, ///< A reading that would tell is awaited.
    incomplete
};

/// The readings of the directory that this host has made of the store. While the store
/// is out of reach, and for a while after, live databases may be missing in it.
class directory_readings {
public:
    /// A reading begins.
    void began(instant now);
    /// A reading that began at `began_at` succeeded, in the given era of the store.
    void succeeded(instant began_at, std::uint64_t era);
    void failed(instant now);

    /// Of databases that joined before `since`.
    directory_listing judge(instant since, instant now) const;
    /// True if another reading would help to know.
    bool needs_reading(instant since, instant now) const;
    /// True if the store has been read without a gap for so long that no database is
    /// missing for an absence of the store.
    bool is_steady(instant now) const;
    /// True if a reading failed, or did so shortly before one succeeded.
    bool is_in_doubt(instant now) const;

    std::optional<instant> last() const { return this->last_began; }
    /// Since when the store has been in reach, of what successful readings show.
    std::optional<instant> in_reach_since() const { return this->reached_since; }

private:
    std::optional<instant> reached_since;
    std::optional<instant> last_began; ///< Of the last successful reading.
    std::optional<instant> begun;      ///< The last one, whatever becomes of it.
    std::optional<instant> last_failed;
    std::uint64_t last_era = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_DIRECTORY_READINGS_HPP_INCLUDED
