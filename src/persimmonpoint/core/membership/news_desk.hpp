#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_NEWS_DESK_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_NEWS_DESK_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <persimmonpoint/core/catalog/store_version.hpp>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// How new what a host knows is.
struct news_versions {
    std::uint64_t configuration = 0; ///< The operator's own version.
    store_version databases;
    store_version hosts;

    friend bool operator==(news_versions const&, news_versions const&) = default;
};

/// Decides when a host asks another for news.
///
/// Load it answers: a large configuration and dozens of links. If every host that has it
/// sends it to every host that lacks it, the links are full of copies; so each host asks
/// for it, one other at a time, and only if the store does not bring it.
class news_desk {
public:
    /// How long the store is given to bring something newer; zero if it is out of reach.
    struct patience {
        duration configuration{0};
        duration hosts{0};
    };

    /// How long the store is waited for by a host. `receives_configuration`: one is on
    /// its way from the store.
    static patience patience_with_store(
        fleet_pace const& pace, bool reaches_store, bool receives_configuration);

    /// `theirs` is what the other says that it knows. The versions to ask it from, if it
    /// is to be asked: it answers with all that is newer.
    std::optional<news_versions>
    ask(news_versions const& mine,
        news_versions const& theirs,
        patience const& store,
        instant now);
    /// A part of a message has arrived that is `bytes` long by now. While a large one
    /// arrives no other host is asked.
    void receiving(std::size_t bytes, instant now);

private:
    /// Since when something newer is known to exist than a version of ours.
    template <class Version>
    struct lag {
        std::optional<instant> since;
        Version version{};
    };
    template <class Version>
    static Version version_to_ask(
        lag<Version>& behind,
        Version const& mine,
        Version const& theirs,
        duration patience,
        instant now);

    std::optional<instant> asked; ///< Until something has come, or too much time passed.
    news_versions asked_with;
    lag<std::uint64_t> configuration;
    lag<store_version> hosts;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_NEWS_DESK_HPP_INCLUDED
