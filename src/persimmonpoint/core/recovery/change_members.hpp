#ifndef PERSIMMONPOINT_CORE_RECOVERY_CHANGE_MEMBERS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_CHANGE_MEMBERS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/membership/directory_readings.hpp>
#include <persimmonpoint/core/recovery/departure_memory.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// A database of the group that a change of leadership is about.
struct group_replica {
    std::string id;
    bool leaving = false;
    std::uint64_t started_ms = 0; ///< Unix time of its start.
    /// When a database that leaves may end, with its log; unset if it isn't known.
    std::optional<instant> ends_at = std::nullopt;
    /// Its availability zone is evacuated: it is no candidate while there is another.
    bool evacuated = false;
};

/// What a host knows, beside the reports of the databases, of the commits that the old
/// primary may have acknowledged.
struct commit_knowledge {
    /// A position that an acknowledged commit reaches.
    std::optional<log_position> acknowledged;
    /// Commits of this host that the primary's log may have unacknowledged.
    std::size_t unacknowledged = 0;
    /// Whether each database is listed that can have received before the primary was
    /// stopped.
    directory_listing listing = directory_listing::complete;
    /// True if rows of living databases may be missing, as the store was out of reach.
    bool directory_in_doubt = false;
    /// True if each replica is listed that lets acknowledgements pass anywhere.
    bool lists_settled = true;
    /// True if no other host can have taken the group's lease since it was granted.
    bool lease_is_fresh = true;
    /// True if no other host sends the primary a commit any more, as far as that matters.
    bool fence_stands = true;
};

/// What a change knows of one database of its group when it requests a promotion.
struct promotion_evidence {
    std::string id;
    bool leaving = false;
    bool is_candidate = false;
    bool held = false; ///< By this change.
    std::optional<database_state> report;
    instant asked_at{}; ///< When the request was sent that `report` answers.
    /// Why the promotion does not depend on the database; empty if it was compared.
    std::string_view left_out;
};

/// One database of the group as a change of leadership knows it.
struct change_member {
    bool leaving = false;
    std::uint64_t started_ms = 0;   ///< Another start means another log.
    std::optional<instant> ends_at; ///< When it may end, if it leaves.
    bool evacuated = false;
    bool held = false;          ///< By this change.
    bool held_by_other = false; ///< By another host's change.
    std::optional<database_state> report;
    instant asked_at{}; ///< When the request that `report` answers was sent.
    /// The position known to be acknowledged when it was sent.
    std::optional<log_position> acknowledged_before;
    bool fresh = false;                  ///< `report` answers the last request.
    std::optional<instant> requested_at; ///< Set while a request is unanswered.
    std::optional<log_position> acknowledged_at_request;
    std::optional<instant> stop_sent_at; ///< Of the last hold, or order to stop leading.

    bool leads() const { return this->report && this->report->leads; }
    /// True if the database answered a request that was sent at most `age` ago.
    bool answers(instant now, duration age) const {
        return this->report && now - this->asked_at <= age;
    }
};

/// The databases of one group during a change of leadership: who leads, whose position
/// counts and who has to be held.
///
/// Every registered database counts. The primary that is to be replaced has all commits
/// that it acknowledged, and counts once it is stopped; but it may also have some that it
/// never acknowledged, and would then keep a replica from being promoted. So the tail of
/// its log is left out, if it is shown that none of it was acknowledged: all of it are
/// commits of this host that weren't, or each database that can have received is
/// registered and lacks it. Which database is the primary follows from the reports, as
/// another host may promote one meanwhile.
class change_members {
public:
    using map = std::map<std::string, change_member, std::less<>>;

    /// @param primary The primary as the host knows it; empty if none is known.
    /// @param term The highest term that the host knows.
    change_members(std::string primary, std::uint64_t term, departure departed);

    /// Updates the group's registered databases, which may come and go during a change.
    void set_databases(std::span<group_replica const> present);
    /// Takes a report, unless a later one is known already. Returns false for such one
    /// and for one of a database that isn't registered any more.
    bool record(
        std::string_view id,
        database_state const& report,
        instant asked_at,
        std::set<std::uint64_t> const& own_hold_terms);
    /// The primary is being asked to stop leading.
    void primary_asked_to_stop(instant now) {
        this->stop_asked_at = this->stop_asked_at.value_or(now);
    }
    /// True once it has answered that it no longer leads.
    bool is_primary_stopped() const { return this->stopped; }

    std::string const& primary() const { return this->primary_id; }
    /// The primary's record; null if none is known or it isn't registered.
    change_member const* primary_member() const;
    std::uint64_t term() const { return this->highest_term; }

    map& all() { return this->members; }
    map const& all() const { return this->members; }
    change_member* find(std::string_view id);
    /// True if the candidate must have received what the database has.
    bool counts(std::string_view id) const;
    /// True if the database could receive from another primary unless it is held.
    bool may_receive(std::string_view id) const;
    /// True if a replica left the group and may have been the only one to have a commit.
    /// Only the primary is known to have all that such a replica had.
    bool has_lost_replica() const { return this->departed == departure::seen; }
    /// True if that can't be ruled out.
    bool may_have_lost_replica() const { return this->departed != departure::none; }
    void set_departure(departure now_known) { this->departed = now_known; }
    void set_commits(commit_knowledge const& now_known) { this->commits = now_known; }
    /// True while a replica that doesn't answer is not compared. It may have received
    /// what no other has, so that the primary counts once it is stopped.
    void set_leaves_out(bool value) { this->leaves_replica_out = value; }
    bool leaves_out() const { return this->leaves_replica_out; }
    /// True if commits were acknowledged that no registered replica has.
    bool lack_acknowledged() const;
    /// True if the database lacks a commit that is known to be acknowledged.
    bool lacks_acknowledged(change_member const& member) const;
    /// True if what a stopped primary alone has may have been acknowledged.
    bool tail_may_be_acknowledged() const;
    /// True if a reading of the directory is awaited that may rule that out.
    bool awaits_listing() const {
        return this->tail_may_be_acknowledged() &&
               this->commits.listing == directory_listing::pending;
    }
    /// True if a replica that lives may be missing in the directory.
    bool may_miss_replica() const { return this->commits.directory_in_doubt; }
    /// True if another host may have taken the lease meanwhile.
    bool may_have_lost_lease() const { return !this->commits.lease_is_fresh; }
    /// True if a replica may be missing by which other hosts pass acknowledgements on, or
    /// if they may still send the primary commits.
    bool lacks_premises() const {
        return !this->commits.lists_settled || !this->commits.fence_stands;
    }
    /// True if no primary is listed, but one that lives may be missing in the directory.
    bool may_miss_primary() const {
        return this->primary_member() == nullptr && this->commits.directory_in_doubt;
    }
    /// Position of the most advanced replica that reported.
    log_position furthest_replica() const;

    std::vector<promotion_evidence> evidence(std::string_view candidate) const;

private:
    /// The database started again under its id, with an empty log.
    void forget(group_replica const& restarted);
    void note_leader(std::string_view id);
    void note_lead_lost(instant asked_at);
    std::string_view reason_left_out(std::string_view id) const;

    std::string primary_id;
    std::uint64_t highest_term;
    std::optional<instant> stop_asked_at;
    bool stopped = false;
    bool leaves_replica_out = false;
    departure departed;
    commit_knowledge commits;
    map members;
    map removed; ///< Left the group during this change.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_CHANGE_MEMBERS_HPP_INCLUDED
