#include <persimmonpoint/core/membership/news_desk.hpp>

namespace persimmonpoint {

namespace {

/// A host that has not answered in this time is no longer waited for.
constexpr duration answer_limit = std::chrono::milliseconds(400);
/// Only a configuration is so large.
constexpr std::size_t large_message_bytes = 64 * 1024;
/// The reader gives up an answer that stalls; a second copy would slow the first one
/// down.
constexpr duration receiving_patience = std::chrono::seconds(15);

} // namespace

template <class Version>
Version news_desk::version_to_ask(
    lag<Version>& behind,
    Version const& mine,
    Version const& theirs,
    duration patience,
    instant now) {
    if (theirs <= mine) {
        return mine;
    }
    if (!behind.since || behind.version != mine) {
        behind = lag<Version>{now, mine};
    }
    // While the store may still bring it, as if it were here.
    return now - *behind.since < patience ? theirs : mine;
}

news_desk::patience news_desk::patience_with_store(
    fleet_pace const& pace, bool reaches_store, bool receives_configuration) {
    if (!reaches_store) {
        return {};
    }
    return {
        receives_configuration ? receiving_patience : pace.store_patience,
        pace.hosts_patience};
}

std::optional<news_versions> news_desk::ask(
    news_versions const& mine,
    news_versions const& theirs,
    patience const& store,
    instant now) {
    if (this->asked && (this->asked_with != mine || now - *this->asked > answer_limit)) {
        this->asked.reset();
    }
    news_versions wanted = mine;
    wanted.configuration = version_to_ask(
        this->configuration, mine.configuration, theirs.configuration,
        store.configuration, now);
    wanted.hosts =
        version_to_ask(this->hosts, mine.hosts, theirs.hosts, store.hosts, now);
    bool const newer = theirs.configuration > wanted.configuration ||
                       theirs.databases > mine.databases || theirs.hosts > wanted.hosts;
    if (!newer || this->asked) {
        return std::nullopt;
    }
    this->asked = now;
    this->asked_with = mine;
    return wanted;
}

void news_desk::receiving(std::size_t bytes, instant now) {
    if (this->asked && bytes >= large_message_bytes) {
        this->asked = now;
    }
}

} // namespace persimmonpoint
