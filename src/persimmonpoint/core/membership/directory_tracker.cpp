#include <persimmonpoint/core/membership/directory_tracker.hpp>

namespace persimmonpoint {

namespace {

/// Databases are back in the store within about two seconds of its return.
constexpr duration missing_limit = std::chrono::milliseconds(2500);

} // namespace

bool directory_tracker::read(
    database_directory const& stored, instant now, bool was_in_reach) {
    if (stored.version < this->directory.version) {
        return false;
    }
    this->note_era(stored.version.era);
    database_directory next;
    next.databases = stored.databases;
    this->keep_leaving(next);
    for (auto const& [id, entry] : this->directory.databases) {
        if (stored.databases.count(id) > 0) {
            this->missing_since.erase(id);
            continue;
        }
        instant const since = this->missing_since.emplace(id, now).first->second;
        bool const has_left = entry.leaving && (was_in_reach || !entry.claims_primary);
        if (has_left || now - since >= missing_limit) {
            this->missing_since.erase(id);
        } else {
            next.databases.emplace(id, entry);
        }
    }
    if (next.databases == this->directory.databases &&
        this->directory.version.is_known()) {
        return false;
    }
    next.version = stored.version;
    this->directory = std::move(next);
    return true;
}

void directory_tracker::note_era(std::uint64_t era) {
    if (era <= this->directory.version.era) {
        return;
    }
    for (auto const& [id, entry] : this->directory.databases) {
        if (entry.leaving) {
            this->left_before_restore[id] = entry.started_ms;
        }
    }
}

void directory_tracker::keep_leaving(database_directory& next) const {
    for (auto& [id, entry] : next.databases) {
        auto const left = this->left_before_restore.find(id);
        if (left != this->left_before_restore.end() && left->second == entry.started_ms) {
            entry.leaving = true;
        }
    }
}

bool directory_tracker::received(database_directory const& other) {
    if (other.version <= this->directory.version) {
        return false;
    }
    this->note_era(other.version.era);
    this->directory = other;
    this->keep_leaving(this->directory);
    // The other host may keep what is missing, as this one does.
    std::erase_if(this->missing_since, [&other](auto const& each) {
        return other.databases.count(each.first) == 0;
    });
    return true;
}

} // namespace persimmonpoint
