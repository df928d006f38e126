#include <iterator>
#include <persimmonpoint/core/recovery/unacknowledged_commits.hpp>

namespace persimmonpoint {

namespace {

/// Commits in doubt that are kept. A longer tail of the log is not accounted for.
constexpr std::size_t most_in_doubt = 1000;

std::size_t count_before(std::multiset<instant> const& times, instant time) {
    return static_cast<std::size_t>(
        std::distance(times.begin(), times.lower_bound(time)));
}

} // namespace

void unacknowledged_commits::sent(instant at) {
    this->in_flight.insert(at);
}

void unacknowledged_commits::ended(instant sent_at, commit_end how) {
    auto const found = this->in_flight.find(sent_at);
    if (found != this->in_flight.end()) {
        this->in_flight.erase(found);
    }
    if (how == commit_end::unknown) {
        this->in_doubt.insert(sent_at);
        this->forget_oldest();
    }
    if (how == commit_end::acknowledged) {
        // A replica that has a commit has those before it in the log, too.
        this->in_doubt.erase(this->in_doubt.begin(), this->in_doubt.upper_bound(sent_at));
    }
}

void unacknowledged_commits::forget_oldest() {
    if (this->in_doubt.size() > most_in_doubt) {
        this->in_doubt.erase(this->in_doubt.begin());
    }
}

std::size_t unacknowledged_commits::sent_before(instant time) const {
    return count_before(this->in_flight, time) + count_before(this->in_doubt, time);
}

} // namespace persimmonpoint
