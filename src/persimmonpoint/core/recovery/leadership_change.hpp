#ifndef PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/leadership_chart.hpp>
#include <persimmonpoint/core/statement/work_order.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

enum class change_reason { primary_lost, primary_leaving, commits_stalled };

/// Name of a reason in logs.
char const* to_string(change_reason reason);

/// A database that may take over, or hold a commit that nobody else has.
struct group_copy {
    std::string id;
    bool leaving = false;
};

enum class change_action_kind {
    ask_token,
    ask_state,
    hold,
    resume,
    promote,
    finished, ///< `database` leads `term`.
    abandoned ///< Nothing was promoted, and no copy is held but for another host.
};

struct change_action {
    change_action_kind kind;
    std::string database;
    std::uint64_t term = 0;
    std::uint64_t token = 0;
};

enum class promotion_result {
    accepted,
    conflict,  ///< The token is too old, or the database is not running.
    not_done,  ///< Throttled or unavailable.
    unanswered ///< It may be carried out at any later time.
};

/// One replacement of a group's primary, from the decision to the new one's lead.
///
/// No acknowledged commit may be left behind. A commit is acknowledged once one copy
/// beside the primary has it. So all copies but the candidate are held, after which the
/// primary can acknowledge only what the candidate has; then their positions are read,
/// and the candidate is promoted only once it has reached them all. If the primary no
/// longer feeds the candidate, that is held too, and the furthest copy is promoted.
///
/// A promotion without an answer may be carried out much later. Until it is settled the
/// other copies stay held and only the same candidate is promoted again.
///
/// Two hosts may work at the same group, each cut off from the other. Each holds copies
/// under a term of its own, made of its fencing token. One that finds copies held by
/// another waits until a promotion of that one would show, and then goes through with its
/// own: until a newer token has been used, nobody can know that the other's call will not
/// be carried out.
///
/// A RESUME carries no term: it would also free a copy that another host has held since,
/// and relies on. So copies are resumed only behind a promotion, and a change that has
/// held one is not called off.
class leadership_change {
public:
    leadership_change(
        std::string old_primary,
        std::vector<group_copy> copies,
        std::uint64_t term,
        change_reason reason,
        instant now);

    /// Databases come and go while the change runs.
    void set_copies(std::vector<group_copy> copies);
    /// The old primary answered: a false alarm, unless a copy has been held already.
    void primary_seen();
    void token_granted(std::uint64_t token);
    /// Another host holds the group, or the store can't be asked.
    void token_refused(instant now);
    /// Answer to ask_state, hold or resume; nothing if the database did not answer.
    void
    reported(std::string const& id, std::optional<database_state> report, instant now);
    void promotion_answered(promotion_result result, instant now);

    /// Actions that are due. Call it after each event and at least every 50 ms.
    std::vector<change_action> step(instant now);
    std::string_view state_name() const { return this->machine.state_name(); }
    std::string const& candidate() const { return this->chosen; }
    bool is_over() const { return this->machine.is_final(); }

private:
    struct copy_facts {
        bool leaving = false;
        bool held = false;    ///< By this change.
        bool foreign = false; ///< By another host's change.
        std::optional<database_state> report;
        instant reported_at{};
        bool fresh = false; ///< Reported since it was asked for the last time.
        std::optional<instant> asked;
    };
    using copy_map = std::map<std::string, copy_facts, std::less<>>;

    void survey(std::vector<change_action>& actions, instant now);
    void hold_others(std::vector<change_action>& actions, instant now);
    void compare(std::vector<change_action>& actions, instant now);
    void promote(std::vector<change_action>& actions, instant now);
    void confirm(std::vector<change_action>& actions, instant now);
    void release(std::vector<change_action>& actions, instant now);

    void poll_candidate(std::vector<change_action>& actions, instant now);
    void choose_candidate();
    bool candidate_has_all() const;
    bool holds_intact() const;
    /// Another host's newer token holds a copy.
    bool is_outdone() const;
    void verify_others(std::vector<change_action>& actions, instant now);
    /// True while another host's promotion may not have shown yet.
    bool waits_for_other(std::vector<change_action>& actions, instant now);
    void leave_to_other();
    void
    ask(std::vector<change_action>& actions,
        std::string const& id,
        change_action_kind kind,
        instant now);

    std::string old_primary;
    copy_map copies;
    std::uint64_t term; ///< Highest seen.
    change_reason reason;
    leadership_machine machine;
    std::uint64_t token = 0;
    std::set<std::uint64_t> own_holds; ///< Terms under which this change has held copies.
    bool has_held = false;             ///< A copy was asked to be held.
    std::optional<instant> other_seen; ///< Copies were found held by another host.
    bool outdated = false;             ///< The last token was refused.
    bool leaves_holds = false;         ///< A newer holder resumes them.
    std::string chosen;
    bool hold_candidate = false;
    bool unsettled = false; ///< A promotion of the candidate may still be carried out.
    bool promoted = false;
    instant entered; ///< The present state.
    std::optional<instant> last_call;
    bool call_open = false;
    std::uint64_t new_term = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED
