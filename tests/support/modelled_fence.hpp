#ifndef PERSIMMONPOINT_TESTS_SUPPORT_MODELLED_FENCE_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_MODELLED_FENCE_HPP_INCLUDED

#include <map>
#include <optional>
#include <persimmonpoint/core/recovery/commit_fence.hpp>
#include <persimmonpoint/core/recovery/fence_call.hpp>
#include <string>
#include <vector>

namespace persimmonpoint::tests {

struct modelled_fleet;

/// One host's fence before commits, as commit_guard runs it: what it tells other hosts,
/// and what it was told.
class modelled_fence {
public:
    modelled_fence(modelled_fleet& fleet, std::string self);

    /// Every 30 ms or so: tells what is due, reads and writes the store.
    void tick();
    /// The other host is linked again, or was started.
    void link_up(std::string const& host);

    /// Whether this host may send a commit to `primary`.
    fence_verdict judge(std::string const& primary);

    // Changes of this host

    void call(std::string const& primary);
    void end();
    /// Since when no other host has sent commits; nothing while one may.
    std::optional<instant> stands_since();

private:
    void tell(std::string const& host, fence_notice const& notice);
    void take(std::string const& by, fence_notice const& notice);
    void write_if_due();
    void read();
    bool all_heard();
    std::vector<fence_partner> partners() const;
    instant now() const;

    modelled_fleet& fleet;
    std::string self;
    commit_fence fence;
    fence_call calls;
    std::map<std::string, instant> heard; ///< When each other host was last.
    bool reading = false;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_MODELLED_FENCE_HPP_INCLUDED
