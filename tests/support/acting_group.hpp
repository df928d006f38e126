#ifndef PERSIMMONPOINT_TESTS_SUPPORT_ACTING_GROUP_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_ACTING_GROUP_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <set>
#include <string>
#include <vector>

namespace persimmonpoint::tests {

/// A group whose primary acknowledges what any replica has received, and which carries
/// out what a change asks for. Promotions take effect late. It begins with the primary
/// "p".
class acting_group {
public:
    static constexpr std::uint64_t first_term = 3;
    static constexpr std::uint64_t first_token = 7;

    struct copy {
        std::uint64_t received = 0;
        std::uint64_t held = 0;
        bool alive = true;
        bool receives = true;
    };

    acting_group();

    leadership_change begin_change(
        instant now, change_reason reason, departure departed = departure::none) const;
    /// The primary writes, unless it was stopped; its replicas receive what it has.
    void write();
    void replicate();
    std::vector<group_replica> registered() const;
    std::optional<database_state> state_of(std::string const& id) const;
    void carry_out(change_action const& action, instant now, leadership_change& change);
    /// Lets time pass in steps of 10 ms.
    void run(leadership_change& change, instant& now, duration length);
    std::size_t count(change_action_kind kind) const;
    bool any_held() const;
    log_position position(std::uint64_t offset) const { return {first_term, offset}; }

    std::map<std::string, copy> copies;
    std::string leader = "p";
    std::string lapsed; ///< Its registration is gone.
    std::string leaving;
    std::set<std::string> evacuated; ///< Their zones are.
    std::optional<instant> ends_at;  ///< When the one that leaves may end.
    std::string silent;              ///< To the host that runs the change, not to others.
    std::set<std::string> unlisted;  ///< Not registered yet.
    std::string leads_when_held; ///< Another host's promotion of it takes effect then.
    std::uint64_t term = first_term;
    std::uint64_t acknowledged = 0;
    std::uint64_t token = first_token; ///< The next one to be granted.
    commit_knowledge known;            ///< What the host that runs the change knows.
    std::optional<promotion_result> promotion_fails_with;
    std::vector<change_action> actions;
    bool lost_commit = false;

private:
    void obey(change_action const& action);
    void take_effect(instant now);

    std::string promoting;
    instant promoted_at{};
};

/// The primary "p" and its replicas "r0" and "r1", with one commit.
acting_group group_of_three();

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_ACTING_GROUP_HPP_INCLUDED
