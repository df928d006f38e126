#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_DIRECTORY_TRACKER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_DIRECTORY_TRACKER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>

namespace persimmonpoint {

/// Turns what the store says of the databases into what this host goes by.
///
/// Entries of live databases can vanish while the store is away and come back soon after
/// its return; so one that is missing is kept for a while. One of a database that was
/// leaving is dropped at once; but if it was a primary, only if the store was in reach
/// for long enough before.
class directory_tracker {
public:
    /// A reading of the store. True if what this host goes by has changed.
    /// @param was_in_reach The store's earlier readings show no absence that entries of
    /// live databases may be missing for.
    bool read(database_directory const& stored, instant now, bool was_in_reach);
    /// The store could not be read: what is missing after its return may come back.
    void reading_failed() { this->missing_since.clear(); }
    /// News from another host. True if it is newer and was taken.
    bool received(database_directory const& other);
    database_directory const& current() const { return this->directory; }

private:
    /// In a new era of the store its older copy may have a database as ready that has
    /// begun to leave; it doesn't come back before it has started anew.
    void note_era(std::uint64_t era);
    void keep_leaving(database_directory& next) const;

    database_directory directory;
    /// By id, the start (started_ms) of each database that was leaving.
    std::map<std::string, std::uint64_t, std::less<>> left_before_restore;
    std::map<std::string, instant, std::less<>> missing_since;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_DIRECTORY_TRACKER_HPP_INCLUDED
