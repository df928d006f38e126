#include <algorithm>
#include <persimmonpoint/core/membership/news_desk.hpp>

namespace persimmonpoint {

namespace {

/// A host that has not answered in this time is no longer waited for.
constexpr duration answer_limit = std::chrono::milliseconds(400);

} // namespace

std::optional<news_versions> news_desk::ask(
    news_versions const& mine,
    news_versions const& theirs,
    duration patience,
    instant now) {
    if (this->asked && (this->asked_with != mine || now - *this->asked > answer_limit)) {
        this->asked.reset();
    }
    news_versions wanted = mine;
    if (theirs.configuration > mine.configuration) {
        if (!this->behind_since || this->behind_at != mine.configuration) {
            this->behind_since = now;
            this->behind_at = mine.configuration;
        }
        if (now - *this->behind_since < patience) {
            // The store will bring it; as if it were here.
            wanted.configuration = theirs.configuration;
        }
    }
    bool const newer = theirs.configuration > wanted.configuration ||
                       theirs.databases > mine.databases || theirs.hosts > mine.hosts;
    if (!newer || this->asked) {
        return std::nullopt;
    }
    this->asked = now;
    this->asked_with = mine;
    return wanted;
}

} // namespace persimmonpoint
