#include <algorithm>
#include <persimmonpoint/core/recovery/acknowledged_commits.hpp>

namespace persimmonpoint {

void acknowledged_commits::note(std::string_view database, log_position position) {
    if (!this->last || position > this->last->position) {
        this->last = acknowledged_commit{position, std::string(database)};
        this->missing.clear();
    }
}

void acknowledged_commits::log_lost(std::string_view database) {
    if (this->last && this->last->database == database) {
        this->last->database.clear();
    }
    this->came_back(database);
}

void acknowledged_commits::lapsed(std::string_view database, instant now) {
    if (this->last) {
        this->missing.emplace(database, now);
    }
}

void acknowledged_commits::came_back(std::string_view database) {
    auto const found = this->missing.find(database);
    if (found != this->missing.end()) {
        this->missing.erase(found);
    }
}

bool acknowledged_commits::is_holder_missing() const {
    return this->last && (this->last->database.empty() ||
                          this->missing.count(this->last->database) > 0);
}

bool acknowledged_commits::is_log_given_up(instant now) const {
    return this->is_holder_missing() &&
           std::all_of(
               this->missing.begin(), this->missing.end(), [now](auto const& each) {
                   return now - each.second >= lapsed_log_patience;
               });
}

std::optional<log_position>
acknowledged_commits::required(directory_listing listing, instant now) const {
    bool const is_lost =
        this->is_log_given_up(now) && listing == directory_listing::complete;
    return this->last && !is_lost ? std::optional(this->last->position) : std::nullopt;
}

std::optional<log_position> least_commit_position(
    std::optional<log_position> end_when_sent, std::optional<log_position> end_after) {
    // In another term the log may have been cut back in between.
    if (!end_when_sent || !end_after || end_when_sent->term != end_after->term) {
        return std::nullopt;
    }
    return log_position{
        end_after->term, std::min(end_when_sent->offset + 1, end_after->offset)};
}

} // namespace persimmonpoint
