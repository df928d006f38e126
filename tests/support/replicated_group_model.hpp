#ifndef PERSIMMONPOINT_TESTS_SUPPORT_REPLICATED_GROUP_MODEL_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_REPLICATED_GROUP_MODEL_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonpoint::tests {

/// A promotion that took effect without commits that had been acknowledged.
struct lost_commits {
    instant at;
    std::string promoted;
    std::string caller; ///< Who called for the promotion, as told to call_promotion().
    std::size_t count = 0;
    std::vector<std::string> holders; ///< Databases that have the last of them.
};

/// Promotions that lacked commits of one kind.
struct commit_losses {
    std::vector<lost_commits> lost;
    // Not taken for losses, as only such databases had the commits:
    std::size_t absent = 0;   ///< None that was there.
    std::size_t returned = 0; ///< One came back shortly before the promotion's effect.
    /// Or as the promoted database lost its log after it had been called for.
    std::size_t emptied = 0;
};

/// A commit that its primary has acknowledged to the host that sent it.
struct answered_commit {
    std::uint64_t number = 0;
    log_position position; ///< The primary's log end.
};

/// One group of databases with the platform's part: registrations, fencing tokens and
/// promotions. It has its own clock and keeps a trace of what happened.
class replicated_group {
public:
    struct database {
        std::vector<std::uint64_t> log; ///< Numbers of the commits received.
        std::uint64_t log_term = 1;     ///< Term of the primary that sent the last ones.
        std::uint64_t held = 0;
        bool alive = true;
        bool deaf = false;
        bool leaving = false;
        bool gone = false; ///< Dead for good.
        bool registered = true;
        bool claims_primary = false; ///< As it registered when it last could.
        bool is_blank = false; ///< Started without a log, and has not received since.
        bool cut_off = false;  ///< From the primary; others may receive.
        unsigned starts = 1;
        std::uint64_t born = 1;        ///< Of the start at which it last was empty.
        std::uint64_t listed_born = 1; ///< As it registered when it last could.
        duration registration_lag{}; ///< After the store's return, while it isn't listed.
        instant started{};           ///< Or came back.
        instant joins{};             ///< A new replica receives nothing before.
        instant last_alive{};
        std::optional<instant> ends_at; ///< When it ends, if it leaves.
        /// When it was last down, or gone, without a registration.
        std::optional<instant> absent_at;
        std::set<std::string> unreachable_from; ///< Hosts that get no answer.
    };

    explicit replicated_group(std::size_t databases);

    instant now() const { return this->time; }
    /// Carries out all that is due until `to`.
    void advance(instant to);
    void after(duration delay, std::function<void()> action);
    void note(std::string event);

    database& at(std::string const& id) { return this->members.at(id); }
    std::map<std::string, database> const& databases() const { return this->members; }
    std::string const& primary() const { return this->leader; }
    bool leads(std::string const& id) const {
        return id == this->leader && !this->stopped;
    }
    /// True if the last primary gave up its lead, and nobody was promoted since.
    bool is_primary_stopped() const { return this->stopped; }
    std::uint64_t term() const { return this->current_term; }
    std::vector<registered_database> directory() const;
    /// While the store is away no database registers, and hosts read no directory. A
    /// database that is missing then registers `registration_time` after its return.
    void set_store_away(bool away);
    bool is_store_away() const { return this->store_away; }
    /// The store drops the row of a database that it didn't hear for some time.
    void lapse(std::string const& id);

    // Commits

    void write();
    /// The replica receives all that the primary has; true if it could.
    bool receive(std::string const& id);
    void set_primary_cut(bool cut) { this->primary_cut = cut; }
    bool primary_is_cut() const { return this->primary_cut; }
    /// Cuts the primary from the replicas that there are now, but from none that joins.
    void cut_off_present_replicas();
    void mend_cuts();
    /// How long the oldest commit has waited for its first replica.
    duration commit_stalled_for() const;
    std::size_t acknowledged_count() const { return this->acknowledged.size(); }
    /// Commits that were acknowledged to hosts since the last call.
    std::vector<answered_commit> take_answered() {
        return std::exchange(this->answered, {});
    }
    /// The host has told the caller: from now on the commit must not be lost.
    void pass_on(std::uint64_t number);
    /// What the database answers to STATUS; nothing if it is down.
    std::optional<database_state> state_of(std::string const& id) const;
    /// When the newest commit that is acknowledged was written.
    instant newest_acknowledged() const { return this->last_acknowledged; }
    /// Its position; nothing before the first.
    std::optional<log_position> acknowledged_position() const {
        return this->last_acknowledged_position;
    }
    /// Commits of the primary that wait for a replica, or did when it was stopped.
    std::size_t unacknowledged_count() const {
        return this->stopped ? this->waiting_when_stopped : this->waiting.size();
    }

    // Orders

    /// STATUS, PAUSE, DEMOTE or RESUME (request_state, hold, stop_primary, resume);
    /// nothing if it is down.
    std::optional<database_state> carry_out(
        change_action_kind kind,
        std::string const& id,
        std::uint64_t term,
        std::string const& sender);

    // The platform

    /// POST /promote. The promotion takes effect some hundred milliseconds later.
    promotion_result
    call_promotion(std::string const& id, std::uint64_t token, std::string const& caller);
    /// The next fencing token, if `host` may take the lease.
    std::optional<std::uint64_t>
    acquire_token(std::string const& host, bool holder_is_alive);
    std::string const& lease_holder() const { return this->holder; }

    // Faults

    /// It comes back after `down_for`, or never.
    void crash(std::string const& id, std::optional<duration> down_for);
    /// It comes back under its id without its log, and knows nothing of before.
    void start_empty(std::string const& id, duration down_for);
    /// It goes on serving for `drain` and is then gone; an empty replica replaces it.
    void leave(std::string const& id, duration drain, duration joining);
    /// It receives nothing until it has caught up, `joining` from now.
    void add_empty_replica(duration joining);

    // What was seen

    /// Of commits that callers were told of.
    std::vector<lost_commits> const& losses() const { return this->told.lost; }
    /// Promotions that lacked commits which only databases had that were absent.
    std::size_t exempted_absent() const { return this->told.absent; }
    /// The same, but such a database came back shortly before the promotion's effect.
    std::size_t exempted_returned() const { return this->told.returned; }
    /// The same, but the promoted database lost its log after it had been called for.
    std::size_t exempted_emptied() const { return this->told.emptied; }
    /// Of commits that the primary acknowledged, whether or not a caller was told: those
    /// that a database has which is registered when the promotion takes effect. Exempt by
    /// this reading, too, is what only such databases have:
    /// - dead for good: no promotion keeps a log that is no more;
    /// - neither up nor registered shortly before: who called could not know of it;
    /// and what the promoted database lost after it was called for: no call is taken
    /// back.
    commit_losses const& literal_losses() const { return this->literal; }
    std::size_t promotions() const { return this->promoted; }
    std::vector<std::string> const& trace() const { return this->events; }
    duration registration_time{}; ///< From the store's return to a new registration.
    bool pause_overwrites = true; ///< PAUSE with a lower term replaces a higher one.
    bool stop_survives = true;    ///< A stopped primary that restarts is a replica.

private:
    struct waiting_commit {
        std::uint64_t number;
        instant since;
    };

    struct acknowledgement {
        std::string replica; ///< That received the commit first.
        instant at;
    };

    using commit_map = std::map<std::uint64_t, acknowledgement>;

    log_position position_of(database const& of) const;
    struct accepted_call {
        std::string database;
        std::uint64_t born; ///< Of the database when the call was accepted.
        std::string caller;
        bool primary_told; ///< The primary was stopped before the call was accepted.
    };

    /// Commits that a promoted database lacks, and what has them.
    struct shortfall {
        std::size_t count = 0;
        std::vector<std::string> holders;
        bool all_absent = true;
        bool all_were_absent = true; ///< Or are.
    };
    /// True if what the database has doesn't count.
    using presence_rule = bool (*)(database const&);

    void stop(std::string const& id, std::uint64_t given_term);
    void come_back(std::string const& id);
    void take_effect(accepted_call const& call);
    void check_promotion(accepted_call const& call);
    /// Takes what the promoted database lacks out of `commits`.
    shortfall take_missing(
        database const& promoted, commit_map& commits, presence_rule is_absent) const;
    void judge(
        accepted_call const& call,
        shortfall const& missing,
        commit_losses& losses,
        std::string const& kind);
    /// True unless it was written before the last promotion, and cut back by it.
    bool is_in_last_promoted(std::uint64_t number) const;
    void update_registrations();
    bool takes_registration(database const& of) const;
    void register_state(std::string const& id, database& of);
    void forget_all(std::string const& id);

    instant time;
    std::multimap<instant, std::function<void()>> agenda;
    std::map<std::string, database> members;
    std::string leader;   ///< Or the last one.
    bool stopped = false; ///< It gave up its lead.
    std::uint64_t current_term = 1;
    std::uint64_t written = 0;
    std::vector<waiting_commit> waiting;
    std::size_t waiting_when_stopped = 0;
    instant last_acknowledged{};
    std::optional<log_position> last_acknowledged_position;
    commit_map received;     ///< By a replica.
    commit_map standing;     ///< The same, unless a promotion lacked them.
    commit_map acknowledged; ///< To callers.
    std::vector<answered_commit> answered;
    std::vector<std::uint64_t> at_last_promotion; ///< Log of the promoted database.
    std::uint64_t written_at_promotion = 0;
    bool primary_cut = false;
    bool store_away = false;
    instant store_back{};            ///< When it last came back.
    std::uint64_t highest_token = 0; ///< Seen by the platform's fence.
    std::uint64_t last_token = 0;    ///< Given out.
    std::string holder;
    instant lease_taken{};
    std::size_t added = 0;
    commit_losses told;
    commit_losses literal;
    std::size_t promoted = 0;
    std::vector<std::string> events;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_REPLICATED_GROUP_MODEL_HPP_INCLUDED
