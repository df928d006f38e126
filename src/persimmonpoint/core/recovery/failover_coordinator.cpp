#include <algorithm>
#include <persimmonpoint/core/recovery/failover_chart.hpp>
#include <persimmonpoint/core/recovery/failover_coordinator.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

/// Size of the history of log positions, and the minimum time between two entries.
constexpr std::size_t max_observations = 128;
constexpr duration min_observation_interval = std::chrono::milliseconds(50);
/// A longer gap between ticks means that this process was paused: see check_tick_gap().
constexpr duration max_tick_gap = std::chrono::milliseconds(250);

/// Poll state of one database.
struct poll_record {
    std::optional<instant> outstanding; ///< When the unanswered poll was sent.
    std::optional<instant> last_sent;   ///< When the latest answered poll was sent.
    std::optional<instant> last_answer;
    std::optional<instant> last_attempt;
};

struct confirmation {
    std::uint64_t id = 0;
    bool reads_position = false; ///< From confirm_position(), not confirm_durable().
    log_position position;       ///< To check, or read from the primary's report.
    instant requested_at;
    std::optional<instant> read_at; ///< When the poll that read `position` was sent.
    instant deadline;
};

struct grant {
    std::size_t database = 0;
    log_position end_of_log;
};

struct election {
    std::uint64_t term = 0;
    std::vector<grant> grants;
    bool refused = false;
    instant deadline;
    /// The primary being replaced; empty if this host does not reach it. It is fenced
    /// too, but neither counts towards the majority nor can be promoted: if it is
    /// partitioned from its replicas, they would suspect it again after its promotion.
    std::optional<std::size_t> former_primary;
    std::optional<std::size_t> elected;
    bool promoted = false;
};

} // namespace

struct failover_coordinator::implementation {
    implementation(
        failover_settings settings,
        std::string candidate,
        group_view initial,
        std::shared_ptr<chart::chart const> rules,
        random_source& random)
        : settings(settings),
          candidate(std::move(candidate)),
          current(std::move(initial)),
          records(this->current.databases.size()),
          machine(std::move(rules)),
          random(random) {}

    std::size_t majority() const { return this->current.databases.size() / 2 + 1; }

    database_view& database(std::size_t index) { return this->current.databases[index]; }

    std::uint64_t highest_term() const {
        std::uint64_t highest = this->current.term;
        for (database_view const& each : this->current.databases) {
            highest = std::max(highest, each.report.term);
        }
        return highest;
    }

    /// The primary is the reachable database that leads the highest reported term.
    void find_primary() {
        this->current.term = this->highest_term();
        this->current.primary.reset();
        for (std::size_t i = 0; i < this->current.databases.size(); ++i) {
            database_view const& each = this->current.databases[i];
            if (each.reachable && each.report.is_primary &&
                each.report.term == this->current.term) {
                this->current.primary = i;
            }
        }
    }

    bool answered_since(std::size_t index, instant since) const {
        auto const& sent = this->records[index].last_sent;
        return sent && *sent >= since;
    }

    /// True if a majority has answered polls sent at or after `since` and reported no
    /// term higher than `term`. The primary counts towards the majority.
    bool confirmed_since(std::uint64_t term, instant since) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->current.databases.size(); ++i) {
            database_report const& report = this->current.databases[i].report;
            if (this->answered_since(i, since) && report.term <= term) {
                ++count;
            }
        }
        return count >= this->majority();
    }

    void add_observation(log_position position, instant observed_at) {
        auto& all = this->current.observations;
        if (!all.empty() &&
            observed_at - all.back().observed_at < min_observation_interval) {
            return;
        }
        all.push_back(observation{observed_at, position});
        if (all.size() > max_observations) {
            all.pop_front();
        }
    }

    /// Records the primary's latest position as an observation once a majority has
    /// confirmed its term.
    void confirm_observation() {
        if (!this->current.primary || !this->unconfirmed) {
            return;
        }
        observation const& newest = *this->unconfirmed;
        if (newest.position.term != this->current.term) {
            this->unconfirmed.reset();
        } else if (this->confirmed_since(newest.position.term, newest.observed_at)) {
            this->add_observation(newest.position, newest.observed_at);
            this->unconfirmed.reset();
        }
    }

    /// True if a majority holds the position in its original term. The primary that wrote
    /// it is counted, whether or not it still answers.
    bool is_replicated(log_position position) const {
        std::size_t holders = 1;
        for (database_view const& each : this->current.databases) {
            database_report const& report = each.report;
            bool const holds = !report.is_primary && report.term == position.term &&
                               report.end_of_log.term == position.term &&
                               report.end_of_log.offset >= position.offset;
            holders += holds ? 1 : 0;
        }
        return holders >= this->majority();
    }

    void resolve(
        confirmation const& request,
        bool confirmed,
        std::vector<failover_action>& actions) {
        failover_action action;
        action.step = failover_step::resolved;
        action.id = request.id;
        action.confirmed = confirmed;
        action.position = request.position;
        actions.push_back(std::move(action));
    }

    /// Returns true if the request has completed and can be removed.
    bool try_resolve(
        confirmation& request, instant now, std::vector<failover_action>& actions) {
        if (request.reads_position) {
            if (this->try_confirm_position(request)) {
                this->resolve(request, true, actions);
                return true;
            }
        } else if (this->highest_term() > request.position.term) {
            this->resolve(request, false, actions);
            return true;
        } else if (this->is_replicated(request.position)) {
            this->resolve(request, true, actions);
            return true;
        }
        if (now >= request.deadline) {
            this->resolve(request, false, actions);
            return true;
        }
        return false;
    }

    bool try_confirm_position(confirmation& request) {
        if (!this->current.primary) {
            return false;
        }
        std::size_t const index = *this->current.primary;
        if (!request.read_at || request.position.term != this->current.term) {
            if (!this->answered_since(index, request.requested_at)) {
                return false;
            }
            request.position = this->primary_position(index);
            request.read_at = this->records[index].last_sent;
        }
        return this->confirmed_since(request.position.term, *request.read_at);
    }

    /// A primary's end of log, in the term that it leads.
    log_position primary_position(std::size_t index) const {
        database_report const& report = this->current.databases[index].report;
        return log_position{report.term, report.end_of_log.offset};
    }

    /// Counts the responsive replicas that have received nothing from a primary for
    /// `suspicion_time`.
    std::size_t count_suspecting(instant now) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->current.databases.size(); ++i) {
            database_view const& each = this->current.databases[i];
            bool const answers =
                each.reachable && this->records[i].last_answer &&
                now - *this->records[i].last_answer <
                    this->settings.poll_interval + this->settings.poll_timeout;
            if (answers && !each.report.is_primary &&
                each.report.since_primary_contact >= this->settings.suspicion_time) {
                ++count;
            }
        }
        return count;
    }

    /// Records when the group's term last increased. The first term that this host learns
    /// is not an increase.
    void track_term(instant now) {
        std::uint64_t const highest = this->highest_term();
        if (highest > this->known_term && this->known_term > 0) {
            this->term_increased_at = now;
        }
        this->known_term = highest;
    }

    /// True while another host's election for the latest term may still be in progress.
    /// The replicas need up to `suspicion_time` to hear from the primary it promotes.
    bool is_term_recent(instant now) const {
        return this->term_increased_at &&
               now - *this->term_increased_at < this->settings.suspicion_time;
    }

    void step_state_machine(instant now, std::vector<failover_action>& actions) {
        this->track_term(now);
        bool const primary_suspected =
            this->count_suspecting(now) >= this->majority() && !this->is_term_recent(now);
        switch (this->machine.state()) {
        case failover_state::following:
            if (primary_suspected && this->machine.fire(failover_event::primary_silent)) {
                this->election_at =
                    now + std::chrono::duration_cast<duration>(
                              this->settings.election_jitter * this->random.unit());
                this->log_message(
                    actions,
                    "primary suspected: a majority of the group has not heard from it");
            }
            return;
        case failover_state::suspecting:
            if (!primary_suspected) {
                this->machine.fire(failover_event::primary_seen);
            } else if (now >= this->election_at) {
                this->machine.fire(failover_event::election_due);
                this->start_election(now, actions);
            }
            return;
        case failover_state::fencing:
            this->step_fencing(now, actions);
            return;
        case failover_state::promoting:
            this->step_promoting(now, actions);
            return;
        }
    }

    void start_election(instant now, std::vector<failover_action>& actions) {
        this->current_election = election{};
        this->current_election.term = this->highest_term() + 1;
        this->current_election.deadline = now + this->settings.election_timeout;
        this->current_election.former_primary = this->current.primary;
        for (std::size_t i = 0; i < this->current.databases.size(); ++i) {
            failover_action action;
            action.step = failover_step::fence;
            action.database = i;
            action.term = this->current_election.term;
            actions.push_back(std::move(action));
        }
        this->log_message(
            actions, "election started, requesting term " +
                         std::to_string(this->current_election.term));
    }

    void step_fencing(instant now, std::vector<failover_action>& actions) {
        if (this->current_election.grants.size() >= this->majority()) {
            this->machine.fire(failover_event::majority_granted);
            auto const best = std::ranges::max_element(
                this->current_election.grants, {},
                [](grant const& each) { return each.end_of_log; });
            this->current_election.elected = best->database;
            failover_action action;
            action.step = failover_step::promote;
            action.database = best->database;
            action.term = this->current_election.term;
            actions.push_back(std::move(action));
            this->log_message(
                actions, "promoting \"" + this->database(best->database).name +
                             "\" to primary of term " +
                             std::to_string(this->current_election.term));
            return;
        }
        this->abandon_if_due(now, actions);
    }

    void step_promoting(instant now, std::vector<failover_action>& actions) {
        if (this->current_election.promoted) {
            this->machine.fire(failover_event::promoted);
            this->records[*this->current_election.elected].last_attempt.reset();
            return;
        }
        this->abandon_if_due(now, actions);
    }

    void abandon_if_due(instant now, std::vector<failover_action>& actions) {
        if (this->current_election.refused || now >= this->current_election.deadline) {
            this->machine.fire(failover_event::election_lost);
            this->log_message(
                actions, "election abandoned, term " +
                             std::to_string(this->current_election.term));
        }
    }

    /// After a pause of this process, abandons a running election and resets
    /// `last_answer` and `since_primary_contact`, so that no primary is suspected on
    /// reports from before the pause.
    void check_tick_gap(instant now, std::vector<failover_action>& actions) {
        if (this->last_tick && now - *this->last_tick > max_tick_gap) {
            this->machine.fire(failover_event::election_lost);
            this->unconfirmed.reset();
            for (std::size_t i = 0; i < this->records.size(); ++i) {
                this->records[i].last_answer.reset();
                this->database(i).report.since_primary_contact = duration::zero();
            }
            this->log_message(
                actions, "this host was paused; polling all databases again");
        }
        this->last_tick = now;
    }

    void add_polls(instant now, std::vector<failover_action>& actions) {
        bool const reading_position =
            std::ranges::any_of(this->confirmations, &confirmation::reads_position);
        for (std::size_t i = 0; i < this->records.size(); ++i) {
            poll_record& record = this->records[i];
            // Checking a write needs only the replicas; reading a position needs all.
            bool const urgent = this->database(i).reachable &&
                                (reading_position || (!this->confirmations.empty() &&
                                                      i != this->current.primary));
            duration const interval = urgent ? this->settings.urgent_poll_interval
                                             : this->settings.poll_interval;
            bool const due =
                !record.last_attempt || now - *record.last_attempt >= interval;
            if (record.outstanding || !due) {
                continue;
            }
            record.outstanding = now;
            record.last_attempt = now;
            failover_action action;
            action.step = failover_step::poll;
            action.database = i;
            actions.push_back(std::move(action));
        }
    }

    void log_message(std::vector<failover_action>& actions, std::string text) {
        failover_action action;
        action.text = "group \"" + this->current.name + "\": " + std::move(text);
        actions.push_back(std::move(action));
    }

    failover_settings settings;
    std::string candidate;
    group_view current;
    std::vector<poll_record> records;
    std::vector<confirmation> confirmations;
    std::optional<observation> unconfirmed;
    failover_machine machine;
    random_source& random;
    election current_election;
    instant election_at;
    std::uint64_t known_term = 0;
    std::optional<instant> term_increased_at;
    std::optional<instant> last_tick;
    std::uint64_t next_id = 1;
};

failover_coordinator::failover_coordinator(
    failover_settings settings,
    std::string candidate,
    group_view initial,
    std::shared_ptr<chart::chart const> rules,
    random_source& random)
    : impl(std::make_unique<implementation>(
          settings, std::move(candidate), std::move(initial), std::move(rules), random)) {
}

failover_coordinator::~failover_coordinator() = default;

void failover_coordinator::poll_answered(
    std::size_t database, instant sent, database_report const& report, instant now) {
    poll_record& record = this->impl->records[database];
    record.outstanding.reset();
    record.last_sent = sent;
    record.last_answer = now;
    database_view& view = this->impl->database(database);
    view.reachable = true;
    view.report = report;
    view.round_trip = now - sent;
    this->impl->find_primary();
    if (this->impl->current.primary == database) {
        this->impl->unconfirmed =
            observation{sent, this->impl->primary_position(database)};
    }
    this->impl->confirm_observation();
}

void failover_coordinator::poll_failed(std::size_t database, instant now) {
    poll_record& record = this->impl->records[database];
    record.outstanding.reset();
    record.last_attempt = now;
    this->impl->database(database).reachable = false;
    this->impl->find_primary();
}

void failover_coordinator::fence_answered(
    std::size_t database, std::uint64_t term, bool granted, database_report report) {
    if (term != this->impl->current_election.term) {
        return;
    }
    if (database == this->impl->current_election.former_primary) {
        return;
    }
    if (granted) {
        this->impl->current_election.grants.push_back(grant{database, report.end_of_log});
    } else {
        this->impl->current_election.refused = true;
    }
}

void failover_coordinator::promote_answered(
    std::size_t database, std::uint64_t term, bool granted) {
    if (term != this->impl->current_election.term ||
        this->impl->current_election.elected != database) {
        return;
    }
    this->impl->current_election.promoted = granted;
    this->impl->current_election.refused =
        this->impl->current_election.refused || !granted;
}

std::uint64_t
failover_coordinator::confirm_durable(log_position position, instant deadline) {
    confirmation request;
    request.id = this->impl->next_id++;
    request.position = position;
    request.deadline = deadline;
    this->impl->confirmations.push_back(request);
    return request.id;
}

std::uint64_t failover_coordinator::confirm_position(instant now, instant deadline) {
    confirmation request;
    request.id = this->impl->next_id++;
    request.reads_position = true;
    request.requested_at = now;
    request.deadline = deadline;
    this->impl->confirmations.push_back(request);
    return request.id;
}

std::vector<failover_action> failover_coordinator::tick(instant now) {
    std::vector<failover_action> actions;
    this->impl->check_tick_gap(now, actions);
    this->impl->find_primary();
    std::erase_if(this->impl->confirmations, [&](confirmation& request) {
        return this->impl->try_resolve(request, now, actions);
    });
    this->impl->step_state_machine(now, actions);
    this->impl->add_polls(now, actions);
    return actions;
}

duration failover_coordinator::next_tick() const {
    constexpr duration idle_tick_interval = std::chrono::milliseconds(20);
    return this->impl->confirmations.empty() ? idle_tick_interval
                                             : this->impl->settings.urgent_poll_interval;
}

group_view const& failover_coordinator::view() const {
    return this->impl->current;
}

std::string_view failover_coordinator::state_name() const {
    return this->impl->machine.state_name();
}

} // namespace persimmonpoint
