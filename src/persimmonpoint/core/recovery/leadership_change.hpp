#ifndef PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/change_members.hpp>
#include <persimmonpoint/core/recovery/leadership_chart.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

enum class change_reason {
    primary_lost,
    primary_leaving,
    primary_evacuated, ///< Its availability zone is evacuated; the database lives on.
    commits_stalled,
    replica_held ///< A replica is held though no change is under way.
};

/// Name of `reason` as written to logs.
char const* to_string(change_reason reason);

enum class change_action_kind {
    request_token,
    request_state,
    hold,
    stop_primary, ///< The primary is to give up its lead, unless its term is `term`.
    resume,
    promote,
    finished, ///< `database` is the primary in `term`. Replicas that did not resume in
              ///< time may still be held.
    abandoned ///< Nothing was promoted. Replicas that are held stay held: the holder of
              ///< a newer token resumes them. `database`, if set, leads in `term`.
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

/// State machine that replaces the primary of one group, from the decision to fail over
/// until the new primary is confirmed and the other replicas receive again. It does no
/// I/O: step() returns the actions to carry out, and their results are passed back in.
///
/// No acknowledged commit may be lost. A commit is acknowledged once one replica besides
/// the primary has it. Two things keep that from happening behind the comparison of the
/// positions:
/// - the old primary is asked to give up its lead, wherever it answers. From then on
///   nothing is acknowledged, whichever replicas there are, known to this host or not;
/// - every replica except the candidate is held (a held replica stops receiving), so that
///   a primary that doesn't answer, or one that another host promotes meanwhile, can
///   acknowledge only what the candidate has.
/// The change then reads the positions of the held replicas and promotes the candidate
/// only once it has received as much as each of them. A primary that is stopped no longer
/// replicates: the candidate is held too and the most advanced replica is promoted.
/// A primary that leaves is not stopped while it replicates to the candidate, so that it
/// serves until the promotion takes effect; but it is while the directory is in doubt.
///
/// Which replicas there are is known from the directory only, and one that joined while
/// the store was out of reach isn't listed. So the candidate must have each commit that
/// this host knows to be acknowledged, and a stopped primary that is ahead of all
/// replicas is promoted again, unless it is shown that the tail of its log was never
/// acknowledged.
///
/// What the change was begun on may be overtaken: another host may have replaced the
/// primary. Then the database that leads is confirmed with this change's token, which
/// outdates all older ones, and the replicas are resumed. Until then they are held, as
/// for any promotion: the call may be carried out behind another host's, whose database
/// must acknowledge nothing by then that the confirmed one lacks. A replica that left the
/// group during the change may have had a commit that only the primary has besides: then
/// the primary's own position counts.
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
    /// @param databases All that are registered, the old primary included.
    leadership_change(
        std::string old_primary,
        std::vector<group_replica> const& databases,
        std::uint64_t term,
        change_reason reason,
        instant now,
        departure departed = departure::none);

    /// Updates the group's databases, which may be added and removed during the change.
    void set_databases(std::span<group_replica const> databases);
    /// What the host remembers now of departures, those of `databases` included.
    void set_departure(departure now_known) { this->members.set_departure(now_known); }
    /// What the host knows now of commits that may have been acknowledged.
    void set_commits(commit_knowledge const& now_known) {
        this->members.set_commits(now_known);
        this->acknowledged = now_known.acknowledged;
    }
    /// When the old primary was found stopped: it acknowledged nothing since.
    std::optional<instant> const& primary_stopped_at() const { return this->stopped_at; }
    /// The old primary responded. Cancels a change that was started because the primary
    /// was lost, unless this or another host has held a replica already.
    void primary_seen();
    /// Another host told who leads. Cancels a change that still waits for its token, if
    /// that was overtaken.
    void leader_learned(std::string_view id, std::uint64_t leader_term);
    void token_granted(std::uint64_t token);
    /// Another host has the group's lease, or the store is unreachable.
    void token_refused(instant now);
    /// Answer to a request to a database; `std::nullopt` if it did not answer. `asked_at`
    /// is when the request was sent: an answer may be long on its way.
    void reported(
        std::string const& id,
        std::optional<database_state> const& report,
        instant asked_at);
    void promotion_answered(promotion_result result, instant now);

    /// Advances the state machine and returns the actions that are due. Call it after
    /// each event and at least every 50 ms.
    std::vector<change_action> step(instant now);
    std::string_view state_name() const { return this->machine.state_name(); }
    /// True if all replicas are held that have to be, so that a promotion may be called
    /// for as soon as the positions show a candidate; or was, and isn't settled.
    bool may_call_soon() const;
    change_reason reason() const { return this->cause; }
    /// True if the primary serves until the database that replaces it leads.
    bool is_planned() const {
        return this->cause == change_reason::primary_leaving ||
               this->cause == change_reason::primary_evacuated;
    }
    std::string const& candidate() const { return this->chosen_id; }
    /// The primary that is replaced; empty if none is known.
    std::string const& old_primary() const { return this->members.primary(); }
    /// What the choice of the candidate rests on, for logs.
    std::vector<promotion_evidence> evidence() const {
        return this->members.evidence(this->chosen_id);
    }
    bool is_over() const { return this->machine.is_final(); }

private:
    /// Records when the state was entered and the primary stopped.
    void note_time(instant now);
    void survey(std::vector<change_action>& actions, instant now);
    void hold_others(std::vector<change_action>& actions, instant now);
    void compare(std::vector<change_action>& actions, instant now);
    void promote(std::vector<change_action>& actions, instant now);
    void confirm(std::vector<change_action>& actions, instant now);
    void release(std::vector<change_action>& actions, instant now);

    void poll_candidate(std::vector<change_action>& actions, instant now);
    /// True if the primary that leads now is not to be replaced: another host made it
    /// lead, or it is the only one known to have all commits.
    bool aim_is_void(instant now) const;
    /// True if another host made the database that leads now lead.
    bool is_overtaken() const;
    /// True if a call that may still be carried out rules out any other candidate: no
    /// newer token was granted, or the candidate has all that others have.
    bool is_pinned() const;
    bool is_behind() const;
    /// True if only a newer token can outdate a call that promotes the wrong candidate.
    bool needs_newer_token() const;
    /// If the aim is void, calls the change off, and returns true; or lets it go on to
    /// confirm the leader, if replicas have been held.
    bool leader_stays(instant now);
    /// True while the candidate is registered and, if it is only confirmed, still leads.
    bool has_candidate() const;
    bool all_reported(std::vector<change_action>& actions, instant now);
    /// True once nothing more is to be known of the primary before it is replaced.
    bool is_primary_known(std::vector<change_action>& actions, instant now);
    /// True if only the primary may have all commits.
    bool needs_primary() const;
    /// Asks all for their states while commits are missing that some database has, or may
    /// soon be missing.
    void look_for_commits(std::vector<change_action>& actions, instant now);
    /// True while the primary serves on, so that new commits are acknowledged all along.
    bool primary_serves() const;
    /// True if the candidate lacks a commit that is known to be acknowledged.
    bool lacks_acknowledged(change_member const& candidate) const;
    /// True if it is needed and has fallen silent.
    bool has_lost_sight_of_primary(instant now) const;
    /// True while the primary leads, answers and is to be stopped before the comparison.
    bool has_to_stop_primary(instant now) const;
    /// Asks the primary for its state and stops it if it leads again.
    void watch_primary(std::vector<change_action>& actions, instant now);
    bool primary_answers(instant now) const;
    /// True while the old primary goes on serving until its planned replacement leads.
    bool serves_on() const;
    /// True if replicas that don't answer need not be waited for, as the position of a
    /// primary that leaves is compared.
    bool leaves_silent_out(instant now) const;
    /// True if only databases that are about to end have what is known to be received,
    /// so that it is gone with them unless one of them leads before.
    bool is_last_chance(instant now) const;
    /// True if a replica is silent that another host may pass acknowledgements on by.
    bool has_silent_replica(instant now) const;
    /// True if the primary serves on, though a replica is left out.
    bool serves_beside_silent(instant now) const;
    /// True if the candidate has all that a primary which serves on has told of.
    bool covers_serving_primary() const;
    bool must_be_held(std::string_view id, instant now) const;
    bool hold_all(std::vector<change_action>& actions, instant now);
    /// Holds replicas that joined or were released since all were held.
    void hold_again(std::vector<change_action>& actions, instant now);
    void note_foreign_holds(instant now);
    /// Asks for the lease again if it may have lapsed; true if it does.
    bool renews_lease();
    bool positions_are_recent(instant now) const;
    bool is_recent(change_member const& member, instant now) const;
    void compare_with_leader(std::vector<change_action>& actions, instant now);
    /// True if the leader that is to be confirmed has what each held replica has.
    bool leader_covers_held() const;
    void choose_most_advanced();
    void choose_candidate();
    /// True if the chosen candidate would have to be replaced at once, as the primary is.
    bool moves_in_vain() const;
    bool candidate_is_caught_up() const;
    /// True if the candidate is the stopped primary and need not lead again.
    bool is_candidate_needless() const;
    bool holds_intact(instant now) const;
    /// True if another host holds a replica under a newer fencing token.
    bool is_superseded() const;
    /// True if a member that is held was held under a newer fencing token.
    bool is_newer_hold(change_member const& member) const;
    void refresh_stale_reports(std::vector<change_action>& actions, instant now);
    /// Asks for a state that was asked for a while ago.
    void
    ask_again(std::vector<change_action>& actions, std::string const& id, instant now);
    /// True while a promotion by another host may still become visible.
    bool awaits_foreign_promotion(std::vector<change_action>& actions, instant now);
    /// Ends the change without resuming replicas, unless `promotion_unsettled`.
    void yield_to_newer_holder();
    void send_request(
        std::vector<change_action>& actions,
        std::string const& id,
        change_action_kind kind,
        instant now);

    change_members members;
    std::string begun_on; ///< The primary that the change is to replace.
    std::optional<std::uint64_t> begun_term; ///< In which it led at first.
    change_reason cause;
    leadership_machine machine;
    std::uint64_t token = 0;
    /// Hold terms of all fencing tokens that this change has been granted.
    std::set<std::uint64_t> own_hold_terms;
    bool hold_requested = false; ///< A replica or the primary was asked to stop.
    /// When a replica was last found held under another host's term for the first time,
    /// or another host's newer token was noticed.
    std::optional<instant> foreign_hold_seen_at;
    std::set<std::uint64_t> foreign_hold_terms;
    /// The last token follows some that other hosts were granted.
    bool others_had_tokens = false;
    bool token_rejected = false; ///< Promotion with the last token conflicted.
    bool skip_resume = false;    ///< The holder of a newer token resumes the replicas.
    std::string chosen_id;
    bool hold_candidate = false;
    bool confirms_leader = false; ///< The candidate is the database that leads.
    std::optional<log_position> acknowledged; ///< As the host knows it now.
    /// When the primary was found stopped; only positions asked for later count.
    std::optional<instant> stopped_at;
    /// A promotion of the candidate may still be carried out.
    bool promotion_unsettled = false;
    std::uint64_t unsettled_token = 0; ///< Of that call.
    bool promoted = false;
    leadership_state entered_state = leadership_state::securing;
    instant begun_at;
    instant state_entered_at;
    std::optional<instant> last_promotion_call;
    bool request_in_flight = false;
    std::uint64_t new_term = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LEADERSHIP_CHANGE_HPP_INCLUDED
