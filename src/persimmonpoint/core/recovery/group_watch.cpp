#include <algorithm>
#include <persimmonpoint/core/recovery/failover_chart.hpp>
#include <persimmonpoint/core/recovery/group_watch.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

/// Observations kept, and the least time between two of them.
constexpr std::size_t most_observations = 128;
constexpr duration observation_spacing = std::chrono::milliseconds(50);
/// A host that was paused for longer than this trusts none of its reports.
constexpr duration longest_trusted_gap = std::chrono::milliseconds(250);

/// What is known of one database beyond its view.
struct poll_record {
    std::optional<instant> outstanding; ///< When the open question was sent.
    std::optional<instant> last_sent;   ///< Of the newest answered question.
    std::optional<instant> last_answer;
    std::optional<instant> last_attempt;
};

struct question {
    std::uint64_t id = 0;
    bool establishes = false; ///< Asks for a position; otherwise, proves one.
    log_position position;    ///< To be proven; or found, once the primary has answered.
    instant asked;
    std::optional<instant> taken; ///< When the found position was asked for.
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
    /// The silent primary. It is fenced too, but neither counted nor chosen: cut off from
    /// its replicas it would only be silent again.
    std::optional<std::size_t> former;
    std::optional<std::size_t> chosen;
    bool promoted = false;
};

} // namespace

struct group_watch::implementation {
    implementation(
        watch_settings settings,
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

    /// The primary is whoever leads the highest term that any database has reported.
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

    bool answered_since(std::size_t index, instant moment) const {
        auto const& sent = this->records[index].last_sent;
        return sent && *sent >= moment;
    }

    /// True if a majority, the primary included, was in no higher term after `moment`.
    bool confirmed_since(std::uint64_t term, instant moment) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->current.databases.size(); ++i) {
            database_report const& report = this->current.databases[i].report;
            if (this->answered_since(i, moment) && report.term <= term) {
                ++count;
            }
        }
        return count >= this->majority();
    }

    void add_observation(log_position position, instant taken) {
        auto& all = this->current.observations;
        if (!all.empty() && taken - all.back().taken < observation_spacing) {
            return;
        }
        all.push_back(observation{taken, position});
        if (all.size() > most_observations) {
            all.pop_front();
        }
    }

    /// Turns the primary's newest report into an observation once others confirm its
    /// term.
    void observe() {
        if (!this->current.primary || !this->unconfirmed) {
            return;
        }
        observation const& newest = *this->unconfirmed;
        if (newest.position.term != this->current.term) {
            this->unconfirmed.reset();
        } else if (this->confirmed_since(newest.position.term, newest.taken)) {
            this->add_observation(newest.position, newest.taken);
            this->unconfirmed.reset();
        }
    }

    /// Counts the databases that hold the position in its own term. The primary that
    /// wrote it is one of them, whether or not it still answers.
    bool is_safe(log_position position) const {
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

    void settle(question const& asked, bool proven, std::vector<watch_action>& actions) {
        watch_action action;
        action.step = watch_step::settled;
        action.id = asked.id;
        action.proven = proven;
        action.position = asked.position;
        actions.push_back(std::move(action));
    }

    /// True if the question is answered and may be dropped.
    bool try_settle(question& asked, instant now, std::vector<watch_action>& actions) {
        if (asked.establishes) {
            if (this->try_establish(asked)) {
                this->settle(asked, true, actions);
                return true;
            }
        } else if (this->highest_term() > asked.position.term) {
            this->settle(asked, false, actions);
            return true;
        } else if (this->is_safe(asked.position)) {
            this->settle(asked, true, actions);
            return true;
        }
        if (now >= asked.deadline) {
            this->settle(asked, false, actions);
            return true;
        }
        return false;
    }

    bool try_establish(question& asked) {
        if (!this->current.primary) {
            return false;
        }
        std::size_t const index = *this->current.primary;
        if (!asked.taken || asked.position.term != this->current.term) {
            if (!this->answered_since(index, asked.asked)) {
                return false;
            }
            asked.position = this->position_of(index);
            asked.taken = this->records[index].last_sent;
        }
        return this->confirmed_since(asked.position.term, *asked.taken);
    }

    /// The end of a primary's log, in the term that it leads.
    log_position position_of(std::size_t index) const {
        database_report const& report = this->current.databases[index].report;
        return log_position{report.term, report.end_of_log.offset};
    }

    /// Replicas that answer and have heard nothing from a primary for too long.
    std::size_t count_unled(instant now) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->current.databases.size(); ++i) {
            database_view const& each = this->current.databases[i];
            bool const answers =
                each.reachable && this->records[i].last_answer &&
                now - *this->records[i].last_answer <
                    this->settings.poll_interval + this->settings.poll_timeout;
            if (answers && !each.report.is_primary &&
                each.report.since_heard >= this->settings.suspicion_time) {
                ++count;
            }
        }
        return count;
    }

    /// Notes when the group's term rose last. What a host learns first is no rise.
    void observe_term(instant now) {
        std::uint64_t const highest = this->highest_term();
        if (highest > this->known_term && this->known_term > 0) {
            this->term_rose = now;
        }
        this->known_term = highest;
    }

    /// True while the host that asked for the newest term may still be at work: the one
    /// it promotes needs as long to be heard as a primary that goes silent.
    bool is_term_young(instant now) const {
        return this->term_rose && now - *this->term_rose < this->settings.suspicion_time;
    }

    void step_machine(instant now, std::vector<watch_action>& actions) {
        this->observe_term(now);
        bool const unled =
            this->count_unled(now) >= this->majority() && !this->is_term_young(now);
        switch (this->machine.state()) {
        case failover_state::following:
            if (unled && this->machine.fire(failover_event::primary_silent)) {
                this->election_at =
                    now + std::chrono::duration_cast<duration>(
                              this->settings.election_jitter * this->random.unit());
                this->note(actions, "primary is silent");
            }
            return;
        case failover_state::suspecting:
            if (!unled) {
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

    void start_election(instant now, std::vector<watch_action>& actions) {
        this->running = election{};
        this->running.term = this->highest_term() + 1;
        this->running.deadline = now + this->settings.election_timeout;
        this->running.former = this->current.primary;
        for (std::size_t i = 0; i < this->current.databases.size(); ++i) {
            watch_action action;
            action.step = watch_step::fence;
            action.database = i;
            action.term = this->running.term;
            actions.push_back(std::move(action));
        }
        this->note(actions, "asks for term " + std::to_string(this->running.term));
    }

    void step_fencing(instant now, std::vector<watch_action>& actions) {
        if (this->running.grants.size() >= this->majority()) {
            this->machine.fire(failover_event::majority_granted);
            auto const best =
                std::ranges::max_element(this->running.grants, {}, [](grant const& each) {
                    return each.end_of_log;
                });
            this->running.chosen = best->database;
            watch_action action;
            action.step = watch_step::promote;
            action.database = best->database;
            action.term = this->running.term;
            actions.push_back(std::move(action));
            this->note(
                actions, "promotes \"" + this->database(best->database).name +
                             "\" in term " + std::to_string(this->running.term));
            return;
        }
        this->give_up_if_due(now, actions);
    }

    void step_promoting(instant now, std::vector<watch_action>& actions) {
        if (this->running.promoted) {
            this->machine.fire(failover_event::promoted);
            this->records[*this->running.chosen].last_attempt.reset();
            return;
        }
        this->give_up_if_due(now, actions);
    }

    void give_up_if_due(instant now, std::vector<watch_action>& actions) {
        if (this->running.refused || now >= this->running.deadline) {
            this->machine.fire(failover_event::election_lost);
            this->note(actions, "gave up term " + std::to_string(this->running.term));
        }
    }

    /// After a pause nothing that was known counts as fresh, and no election goes on.
    void check_gap(instant now, std::vector<watch_action>& actions) {
        if (this->last_tick && now - *this->last_tick > longest_trusted_gap) {
            this->machine.fire(failover_event::election_lost);
            this->unconfirmed.reset();
            for (std::size_t i = 0; i < this->records.size(); ++i) {
                this->records[i].last_answer.reset();
                this->database(i).report.since_heard = duration::zero();
            }
            this->note(actions, "was paused; asks every database again");
        }
        this->last_tick = now;
    }

    void add_polls(instant now, std::vector<watch_action>& actions) {
        bool const establishing =
            std::ranges::any_of(this->questions, &question::establishes);
        for (std::size_t i = 0; i < this->records.size(); ++i) {
            poll_record& record = this->records[i];
            // A proof needs the replicas only; a position needs everybody.
            bool const urgent = this->database(i).reachable &&
                                (establishing || (!this->questions.empty() &&
                                                  i != this->current.primary));
            duration const spacing =
                urgent ? this->settings.urgent_spacing : this->settings.poll_interval;
            bool const due =
                !record.last_attempt || now - *record.last_attempt >= spacing;
            if (record.outstanding || !due) {
                continue;
            }
            record.outstanding = now;
            record.last_attempt = now;
            watch_action action;
            action.step = watch_step::poll;
            action.database = i;
            actions.push_back(std::move(action));
        }
    }

    void note(std::vector<watch_action>& actions, std::string text) {
        watch_action action;
        action.text = "group \"" + this->current.name + "\": " + std::move(text);
        actions.push_back(std::move(action));
    }

    watch_settings settings;
    std::string candidate;
    group_view current;
    std::vector<poll_record> records;
    std::vector<question> questions;
    std::optional<observation> unconfirmed;
    failover_machine machine;
    random_source& random;
    election running;
    instant election_at;
    std::uint64_t known_term = 0;
    std::optional<instant> term_rose;
    std::optional<instant> last_tick;
    std::uint64_t next_id = 1;
};

group_watch::group_watch(
    watch_settings settings,
    std::string candidate,
    group_view initial,
    std::shared_ptr<chart::chart const> rules,
    random_source& random)
    : impl(std::make_unique<implementation>(
          settings, std::move(candidate), std::move(initial), std::move(rules), random)) {
}

group_watch::~group_watch() = default;

void group_watch::poll_answered(
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
        this->impl->unconfirmed = observation{sent, this->impl->position_of(database)};
    }
    this->impl->observe();
}

void group_watch::poll_failed(std::size_t database, instant now) {
    poll_record& record = this->impl->records[database];
    record.outstanding.reset();
    record.last_attempt = now;
    this->impl->database(database).reachable = false;
    this->impl->find_primary();
}

void group_watch::fence_answered(
    std::size_t database, std::uint64_t term, bool granted, database_report report) {
    if (term != this->impl->running.term) {
        return;
    }
    if (database == this->impl->running.former) {
        return;
    }
    if (granted) {
        this->impl->running.grants.push_back(grant{database, report.end_of_log});
    } else {
        this->impl->running.refused = true;
    }
}

void group_watch::promote_answered(
    std::size_t database, std::uint64_t term, bool granted) {
    if (term != this->impl->running.term || this->impl->running.chosen != database) {
        return;
    }
    this->impl->running.promoted = granted;
    this->impl->running.refused = this->impl->running.refused || !granted;
}

std::uint64_t group_watch::prove(log_position position, instant deadline) {
    question asked;
    asked.id = this->impl->next_id++;
    asked.position = position;
    asked.deadline = deadline;
    this->impl->questions.push_back(asked);
    return asked.id;
}

std::uint64_t group_watch::establish(instant now, instant deadline) {
    question asked;
    asked.id = this->impl->next_id++;
    asked.establishes = true;
    asked.asked = now;
    asked.deadline = deadline;
    this->impl->questions.push_back(asked);
    return asked.id;
}

std::vector<watch_action> group_watch::tick(instant now) {
    std::vector<watch_action> actions;
    this->impl->check_gap(now, actions);
    this->impl->find_primary();
    std::erase_if(this->impl->questions, [&](question& asked) {
        return this->impl->try_settle(asked, now, actions);
    });
    this->impl->step_machine(now, actions);
    this->impl->add_polls(now, actions);
    return actions;
}

duration group_watch::next_tick() const {
    constexpr duration idle_spacing = std::chrono::milliseconds(20);
    return this->impl->questions.empty() ? idle_spacing
                                         : this->impl->settings.urgent_spacing;
}

group_view const& group_watch::view() const {
    return this->impl->current;
}

std::string_view group_watch::state_name() const {
    return this->impl->machine.state_name();
}

} // namespace persimmonpoint
