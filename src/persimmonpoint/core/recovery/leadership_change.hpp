#ifndef PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/leadership_chart.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

enum class change_reason { primary_lost, primary_leaving, commits_stalled };

/// Name of `reason` as written to logs.
char const* to_string(change_reason reason);

/// A replica of the group, which may be promoted or may have a commit that no other
/// replica has.
struct group_replica {
    std::string id;
    bool leaving = false;
};

enum class change_action_kind {
    request_token,
    request_state,
    hold,
    resume,
    promote,
    finished, ///< `database` is the primary in `term`. Replicas that did not resume in
              ///< time may still be held.
    abandoned ///< Nothing was promoted. Replicas that are held stay held: the holder of
              ///< a newer token resumes them.
};

struct change_action {
    change_action_kind kind;
    std::string database;
    std::uint64_t term = 0;
    std::uint64_t token = 0;
};

enum class promotion_result {
    accepted,
    conflict,    ///< The token is outdated, or the database is not running.
    not_applied, ///< Not carried out: throttled, or the platform is unavailable.
    unanswered   ///< Outcome unknown: it may still be carried out at any later time.
};

/// What a change knows of one database of its group when it requests a promotion.
struct promotion_evidence {
    std::string id;
    bool leaving = false;
    bool is_candidate = false;
    bool held = false; ///< By this change.
    std::optional<database_state> report;
    instant reported_at{};
    /// Why the promotion does not depend on the database; empty if it was compared.
    std::string_view left_out;
};

/// State machine that replaces the primary of one group, from the decision to fail over
/// until the new primary is confirmed and the other replicas receive again. It does no
/// I/O: step() returns the actions to carry out, and their results are passed back in.
///
/// No acknowledged commit may be lost. A commit is acknowledged once one replica besides
/// the primary has it. The change therefore holds every replica except the candidate (a
/// held replica stops receiving), after which the primary can acknowledge only what the
/// candidate has. It then reads the positions of the held replicas and promotes the
/// candidate only once it has received as much as each of them. If the primary no longer
/// replicates to the candidate, the candidate is held too and the most advanced replica
/// is promoted.
///
/// A promotion whose answer is lost may be carried out much later. Until its outcome is
/// known, the other replicas stay held and only the same candidate is promoted again.
///
/// In a network partition two hosts may each run a change for the same group. Each holds
/// replicas under its own term, derived from its fencing token. A host that finds a
/// replica held under a higher term than its own ends its change without resuming any
/// replica, unless a promotion that it requested may still be carried out. If the other
/// host's term is lower, the host waits until a promotion by the other host would have
/// become visible, then proceeds with its own: until a newer token has been used, the
/// other host's promotion may still be carried out.
///
/// RESUME carries no term, so it would also release a replica that another host has held
/// since and relies on. Replicas are therefore resumed only after a promotion, and a
/// change that has held a replica is not cancelled when the old primary responds again.
class leadership_change {
public:
    leadership_change(
        std::string old_primary,
        std::vector<group_replica> replicas,
        std::uint64_t term,
        change_reason reason,
        instant now);

    /// Updates the group's replicas, which may be added and removed during the change.
    void set_replicas(std::vector<group_replica> replicas);
    /// The old primary responded. Cancels a change that was started because the primary
    /// was lost, unless this or another host has held a replica already.
    void primary_seen();
    void token_granted(std::uint64_t token);
    /// Another host has the group's lease, or the store is unreachable.
    void token_refused(instant now);
    /// Answer to request_state, hold or resume; `std::nullopt` if the database did not
    /// answer.
    void
    reported(std::string const& id, std::optional<database_state> report, instant now);
    void promotion_answered(promotion_result result, instant now);

    /// Advances the state machine and returns the actions that are due. Call it after
    /// each event and at least every 50 ms.
    std::vector<change_action> step(instant now);
    std::string_view state_name() const { return this->machine.state_name(); }
    change_reason reason() const { return this->cause; }
    std::string const& candidate() const { return this->chosen_id; }
    /// What the choice of the candidate rests on, for logs.
    std::vector<promotion_evidence> evidence() const;
    bool is_over() const { return this->machine.is_final(); }

private:
    struct replica_state {
        bool leaving = false;
        bool held = false;          ///< By this change.
        bool held_by_other = false; ///< By another host's change.
        std::optional<database_state> report;
        instant reported_at{};
        bool fresh = false; ///< Reported since the last request.
        std::optional<instant> requested_at;
    };
    using replica_map = std::map<std::string, replica_state, std::less<>>;

    void survey(std::vector<change_action>& actions, instant now);
    void hold_others(std::vector<change_action>& actions, instant now);
    void compare(std::vector<change_action>& actions, instant now);
    void promote(std::vector<change_action>& actions, instant now);
    void confirm(std::vector<change_action>& actions, instant now);
    void release(std::vector<change_action>& actions, instant now);

    void poll_candidate(std::vector<change_action>& actions, instant now);
    void choose_candidate();
    bool candidate_is_caught_up() const;
    bool holds_intact() const;
    /// True if another host holds a replica under a newer fencing token.
    bool is_superseded() const;
    void refresh_stale_reports(std::vector<change_action>& actions, instant now);
    /// True while a promotion by another host may still become visible.
    bool awaits_foreign_promotion(std::vector<change_action>& actions, instant now);
    /// Ends the change without resuming replicas, unless `promotion_unsettled`.
    void yield_to_newer_holder();
    void send_request(
        std::vector<change_action>& actions,
        std::string const& id,
        change_action_kind kind,
        instant now);

    std::string old_primary;
    replica_map replicas;
    /// Replicas that left the group during this change.
    std::map<std::string, replica_state, std::less<>> removed;
    std::uint64_t term; ///< Highest seen.
    change_reason cause;
    leadership_machine machine;
    std::uint64_t token = 0;
    /// Hold terms of all fencing tokens that this change has been granted.
    std::set<std::uint64_t> own_hold_terms;
    bool hold_requested = false; ///< A hold has been sent.
    /// When a replica was first found held by another host.
    std::optional<instant> foreign_hold_seen_at;
    bool token_rejected = false; ///< Promotion with the last token conflicted.
    bool skip_resume = false;    ///< The holder of a newer token resumes the replicas.
    std::string chosen_id;
    bool hold_candidate = false;
    /// A promotion of the candidate may still be carried out.
    bool promotion_unsettled = false;
    bool promoted = false;
    instant state_entered_at;
    std::optional<instant> last_promotion_call;
    bool request_in_flight = false;
    std::uint64_t new_term = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED
