#include <algorithm>
#include <persimmonpoint/core/recovery/acknowledged_commits.hpp>

namespace persimmonpoint {

void acknowledged_commits::note(std::string_view database, log_position position) {
    if (!this->last || position > this->last->position) {
        this->last = acknowledged_commit{position, std::string(database)};
    }
}

void acknowledged_commits::log_lost(std::string_view database) {
    if (this->last && this->last->database == database) {
        this->last->database.clear();
    }
}

std::optional<log_position>
acknowledged_commits::required(directory_listing listing) const {
    bool const is_lost = this->last && this->last->database.empty() &&
                         listing == directory_listing::complete;
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
