#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_LEADER_NEWS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_LEADER_NEWS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// Which news of new leaders a host passes on.
///
/// In a large fleet a host is linked to few others: that all learn of a leader needs each
/// one to pass the news on. Each passes on a group's newest term once, so that a change
/// costs a message a link.
class leader_news {
public:
    /// True if the news is to be passed on. `known_term`: the newest that this host knows
    /// of the group.
    bool
    worth_telling(std::string_view group, std::uint64_t term, std::uint64_t known_term);

private:
    /// The newest term that was passed on, by group.
    std::map<std::string, std::uint64_t, std::less<>> told;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_LEADER_NEWS_HPP_INCLUDED
