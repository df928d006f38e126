#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <map>
#include <persimmonpoint/core/membership/directory_readings.hpp>
#include <persimmonpoint/core/recovery/acknowledgement_gate.hpp>
#include <persimmonpoint/core/recovery/primary_failure_detector.hpp>
#include <persimmonpoint/core/recovery/token_demand.hpp>
#include <persimmonpoint/core/recovery/unacknowledged_commits.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/engine/control_order.hpp>
#include <persimmonpoint/engine/leadership_keeper.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <set>
#include <utility>

namespace persimmonpoint::engine {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(30);
/// A primary that says nothing for so long is asked whether it leads.
constexpr duration probe_interval = std::chrono::milliseconds(150);
constexpr duration probe_budget = std::chrono::milliseconds(200);
/// A database that answered so recently is reached.
constexpr duration reached_lately = std::chrono::milliseconds(300);
/// Other hosts that are asked whether they reach a silent primary.
constexpr std::size_t most_asked = 3;
/// After others reached it, a silent primary is left alone for this time.
constexpr duration leave_alone = std::chrono::milliseconds(700);
/// A change follows the one before in the same group no sooner than this.
constexpr duration between_changes = std::chrono::milliseconds(1500);
/// Owners of a group's primary that have been so for this long prepare for a change.
constexpr duration settle_time = std::chrono::milliseconds(700);
/// How often the replicas of a watched primary are asked whether they are held.
constexpr duration hold_check_interval = std::chrono::seconds(2);
/// Behind a change that left the primary in place though it leaves.
constexpr duration planned_pause = std::chrono::milliseconds(500);
/// A change that lasts longer may wait for the row of a database that is gone.
constexpr duration long_change = std::chrono::seconds(1);
/// How long the directory is read often behind a change that depended on it.
constexpr duration reading_after_change = std::chrono::seconds(6);
/// A host that first read the directory so lately may lack rows that lapsed with the
/// store.
constexpr duration fresh_time = std::chrono::milliseconds(2500);
constexpr auto token_retry = std::chrono::milliseconds(200);
/// A primary that leaves and answered so recently serves until it is replaced.
constexpr duration serves_lately = std::chrono::milliseconds(600);
/// A fence is kept for so long behind the time when replicas were held.
constexpr duration fence_patience = std::chrono::seconds(1);
/// Between two readings of the directory that the same fence waits for.
constexpr duration fence_reading_interval = std::chrono::milliseconds(200);

/// One database in the log line of a promotion, for example
/// "db-2 7.3337 held 35 ms" or "db-1 no report, left out: old primary, silent".
std::string describe(promotion_evidence const& each, instant now) {
    std::string text = each.id;
    if (each.report) {
        text += " " + to_string(each.report->received);
        text += each.report->leads ? " leads" : "";
        text += each.is_candidate ? " candidate" : "";
        text += each.held ? " held" : "";
        text += " " +
                std::to_string(std::lround(to_seconds(now - each.asked_at) * 1000)) +
                " ms";
    } else {
        text += " no report";
    }
    text += each.leaving ? " leaving" : "";
    if (!each.left_out.empty()) {
        text += ", left out: " + std::string(each.left_out);
    }
    return text;
}

/// For example "db-1 7.3337", or "none".
std::string describe(std::optional<acknowledged_commit> const& commit) {
    if (!commit) {
        return "none";
    }
    std::string const holder = commit->database.empty() ? "gone" : commit->database;
    return holder + " " + to_string(commit->position);
}

std::string describe(std::vector<promotion_evidence> const& all, instant now) {
    std::string text;
    for (promotion_evidence const& each : all) {
        text += (text.empty() ? "" : "; ") + describe(each, now);
    }
    return text;
}

/// A database as it was last listed.
struct listed_database {
    std::uint64_t started_ms = 0;
    bool leaving = false;
};

/// Answers of other hosts on whether they reach a database.
struct reach_survey {
    std::size_t asked = 0;
    std::size_t answered = 0; ///< Or known not to answer.
    std::size_t reached = 0;
    std::size_t unanswered = 0;

    void add(reach_answer answer) {
        ++this->answered;
        this->reached += answer == reach_answer::reached ? 1 : 0;
        this->unanswered += answer == reach_answer::none ? 1 : 0;
    }
    bool is_complete() const { return this->answered == this->asked; }
};

struct watched_group {
    std::string primary; ///< Empty if none is known.
    std::map<std::string, listed_database> databases;
    /// Those whose rows lapsed, though they had not told that they leave.
    std::map<std::string, listed_database> lapsed;
    /// Of databases that left or lost their logs; set with `databases`.
    std::optional<departure_memory> departures;
    std::unique_ptr<primary_failure_detector> suspicion;
    instant managed_since{};
    instant last_answer{};
    instant last_probe{};
    instant last_hold_check{};
    std::unique_ptr<leadership_change> change;
    std::uint64_t change_number = 0; ///< Of the present change, or the last.
    instant change_started{};
    instant next_change{};
    instant next_planned_change{}; ///< The same for a primary that leaves.
    instant token_asked{};         ///< When the present change asked for its token.
    instant lease_until{}; ///< Until then no other host may change the group's leader.
    instant leave_alone_until{};
    bool asking = false;
    bool token_prepared = false;
    token_demand tokens;
    std::set<std::string> stepping; ///< Databases with an order of the change under way.
    instant last_fence_reading{};   ///< Of the directory, behind a fence.
    /// When the present change last had its replicas held.
    std::optional<instant> last_near_call;
};

/// Nothing is known before the first reading.
departure departure_from(
    watched_group const& group,
    directory_readings const& readings,
    instant now,
    instant change_began) {
    return group.departures
               ? group.departures->judge(now, change_began, readings.is_in_doubt(now))
               : departure::possible;
}

} // namespace

struct leadership_keeper::implementation
    : std::enable_shared_from_this<leadership_keeper::implementation> {
    implementation(
        run_context& context, leadership_authority& authority, commit_guard& guard)
        : context(context),
          authority(authority),
          guard(guard),
          timer(context.loop),
          started(context.time.now()) {}

    void tick() {
        this->timer.expires_after(tick_interval);
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const keeper = weak.lock();
                if (keeper && !failure) {
                    keeper->look();
                    keeper->tick();
                }
            });
    }

    instant now() const { return this->context.time.now(); }

    void look() {
        this->note_departures();
        if (!this->first_reading) {
            this->first_reading = this->context.view.readings.last();
        }
        if (this->now() < this->reading_until) {
            // The next change of the group is to find a time of steady readings.
            this->read_if_needed(this->now());
        }
        for (auto& [name, routing] : this->context.view.all_groups()) {
            if (this->context.view.configuration->groups.count(name) == 0 ||
                routing.databases().empty()) {
                continue;
            }
            watched_group& group = this->groups[name];
            if (group.change) {
                this->step(name, group);
            } else if (this->manages(name, routing)) {
                this->watch(name, group, routing);
            } else if (this->has_to_hand_over(group, routing)) {
                group.primary = routing.leader()->database;
                this->begin(
                    name, group, *reason_to_move(routing, *routing.find(group.primary)));
            } else {
                group.managed_since = instant();
                group.suspicion.reset();
            }
        }
    }

    /// No other host gets the group's lease yet: a leaving database that this host has
    /// just promoted is this host's to replace.
    bool
    has_to_hand_over(watched_group const& group, group_routing const& routing) const {
        auto const& leader = routing.leader();
        registered_database const* const entry =
            leader ? routing.find(leader->database) : nullptr;
        return entry != nullptr && this->reason_to_move(routing, *entry) &&
               this->now() < group.lease_until;
    }

    /// Why a primary that serves is replaced; nothing if it stays.
    static std::optional<change_reason>
    reason_to_move(group_routing const& routing, registered_database const& primary) {
        if (primary.leaving) {
            return change_reason::primary_leaving;
        }
        // Where no other can lead, callers are refused until the zone is back.
        bool const moves =
            routing.is_evacuated(primary) && routing.can_lead_without(primary.id);
        return moves ? std::optional(change_reason::primary_evacuated) : std::nullopt;
    }

    void note_departures() {
        database_directory const& directory = this->context.view.directory.current();
        // One that is missing for long is dropped under an unchanged version.
        std::pair const seen(directory.version, directory.databases.size());
        if (seen == this->seen_directory) {
            return;
        }
        this->seen_directory = seen;
        for (auto& [name, routing] : this->context.view.all_groups()) {
            this->note_departures_from(this->groups[name], routing);
        }
    }

    void note_departures_from(watched_group& group, group_routing& routing) {
        std::map<std::string, listed_database> present;
        for (registered_database const& each : routing.databases()) {
            present[each.id] = {each.started_ms, each.leaving};
        }
        if (!group.departures) {
            group.departures.emplace(this->started);
        }
        for (auto const& [id, before] : group.databases) {
            auto const found = present.find(id);
            bool const is_missing = found == present.end();
            if (!is_missing && found->second.started_ms == before.started_ms) {
                continue;
            }
            group.departures->replica_left(this->now());
            this->unacknowledged.erase(id);
            if (is_missing && !before.leaving) {
                group.lapsed[id] = before;
                routing.acknowledged.lapsed(id, this->now());
            } else {
                routing.acknowledged.log_lost(id);
            }
        }
        this->note_returns_to(group, routing, present);
        group.databases = std::move(present);
    }

    static void note_returns_to(
        watched_group& group,
        group_routing& routing,
        std::map<std::string, listed_database> const& present) {
        std::erase_if(group.lapsed, [&](auto const& each) {
            auto const found = present.find(each.first);
            if (found == present.end()) {
                return false;
            }
            if (found->second.started_ms == each.second.started_ms) {
                routing.acknowledged.came_back(each.first);
            } else {
                routing.acknowledged.log_lost(each.first);
            }
            return true;
        });
    }

    /// The host that owns the primary's connections has the evidence; without a primary
    /// some host must still act.
    bool manages(std::string const& name, group_routing const& routing) const {
        if (routing.leader()) {
            registered_database const* const primary =
                routing.find(routing.leader()->database);
            return primary != nullptr && this->context.orders.owns(*primary);
        }
        registered_database const whole{name, name, {}, {}, 1, false, false, 0};
        return this->context.orders.owns(whole);
    }

    void watch(std::string const& name, watched_group& group, group_routing& routing) {
        instant const time = this->now();
        std::string const primary = routing.leader() ? routing.leader()->database : "";
        if (group.primary != primary) {
            // Its log is cut back to the new primary's.
            this->unacknowledged.erase(group.primary);
        }
        if (group.managed_since == instant() || group.primary != primary ||
            !group.suspicion) {
            group.primary = primary;
            group.managed_since = time;
            group.last_answer = time;
            group.suspicion = std::make_unique<primary_failure_detector>(time);
            group.token_prepared = false;
        }
        this->prepare_token(name, group, time);
        if (primary.empty()) {
            this->without_primary(name, group, time);
            return;
        }
        if (auto const reason = reason_to_move(routing, *routing.find(primary))) {
            this->begin(name, group, *reason);
            return;
        }
        if (time - group.last_answer > probe_interval &&
            time - group.last_probe > probe_interval) {
            group.last_probe = time;
            this->ask_leader(name, primary);
        }
        this->judge(name, group, time);
        if (!group.change) {
            this->check_holds(name, group, time);
        }
    }

    /// A hold outlives the host that asked for it, and may be carried out long after its
    /// change is over.
    void check_holds(std::string const& name, watched_group& group, instant time) {
        bool const settled = time - group.managed_since > settle_time;
        if (!settled || time - group.last_hold_check < hold_check_interval) {
            return;
        }
        group.last_hold_check = time;
        for (group_replica const& each : this->databases_of(name)) {
            if (each.id != group.primary && !each.evacuated) {
                this->check_hold(name, each.id, group.primary);
            }
        }
    }

    void check_hold(
        std::string const& name, std::string const& replica, std::string const& primary) {
        this->context.orders.submit(
            this->control_order(name, replica, upstream_request_kind::report_state),
            [weak = this->weak_from_this(), name, replica,
             primary](upstream_response answer, std::string const&) {
                auto const keeper = weak.lock();
                bool const is_held = answer.report && answer.report->held_term > 0;
                if (keeper && is_held) {
                    keeper->found_held(name, replica, primary, answer.report->held_term);
                }
            });
    }

    void found_held(
        std::string const& name,
        std::string const& replica,
        std::string const& primary,
        std::uint64_t held_term) {
        watched_group& group = this->groups[name];
        if (group.change || group.primary != primary) {
            return;
        }
        observe::log_event(
            observe::log_level::warning, "replica_found_held",
            {{"group", name}, {"database", replica}, {"held_term", held_term}});
        this->begin(name, group, change_reason::replica_held);
    }

    upstream_request control_order(
        std::string const& name,
        std::string const& database,
        upstream_request_kind kind) const {
        return make_control_order(this->context.view, name, database, kind, probe_budget);
    }

    primary_health verdict_on(watched_group const& group, instant time) const {
        auto const found = this->commits.find(group.primary);
        return group.suspicion->judge(
            time, found == this->commits.end() ? commit_progress() : found->second);
    }

    void judge(std::string const& name, watched_group& group, instant time) {
        switch (this->verdict_on(group, time)) {
        case primary_health::down:
            this->begin(name, group, change_reason::primary_lost);
            return;
        case primary_health::cannot_commit:
            this->begin(name, group, change_reason::commits_stalled);
            return;
        case primary_health::silent:
            if (!group.asking && time >= group.leave_alone_until) {
                this->ask_others(name, group);
            }
            return;
        default:
            return;
        }
    }

    /// Nobody leads, by all that is known: some copy must.
    void without_primary(std::string const& name, watched_group& group, instant time) {
        if (time - group.managed_since > settle_time) {
            this->begin(name, group, change_reason::primary_lost);
        }
    }

    /// A token at hand lets a primary be replaced while the store is away.
    void prepare_token(std::string const& name, watched_group& group, instant time) {
        if (group.token_prepared || time - group.managed_since < settle_time) {
            return;
        }
        group.token_prepared = true;
        this->authority.request_token(
            name, group.tokens.prepared(),
            [weak = this->weak_from_this(), name](std::optional<std::uint64_t> token) {
                auto const keeper = weak.lock();
                if (keeper && token) {
                    keeper->groups[name].tokens.granted(*token);
                }
            });
    }

    void ask_leader(std::string const& name, std::string const& primary) {
        upstream_request order =
            this->control_order(name, primary, upstream_request_kind::leader_check);
        instant const sent = this->now();
        group_routing& routing = this->context.view.group(name);
        routing.sent(primary);
        this->context.orders.run_here(
            std::move(order), 0,
            [weak = this->weak_from_this(), name, primary,
             sent](upstream_response answer) {
                auto const keeper = weak.lock();
                if (keeper) {
                    learn_from_answer(
                        keeper->context.view.group(name), primary, sent, answer,
                        keeper->now());
                }
            });
    }

    void ask_others(std::string const& name, watched_group& group) {
        auto hosts = this->mesh->connected_hosts();
        // The next owners are the ones that would serve the primary in this host's place.
        registered_database const* const primary =
            this->context.view.group(name).find(group.primary);
        auto const ranked = this->context.orders.owners_of(*primary);
        std::vector<std::string> asked;
        for (std::string const& each : ranked) {
            bool const linked =
                std::find(hosts.begin(), hosts.end(), each) != hosts.end();
            if (linked && asked.size() < most_asked) {
                asked.push_back(each);
            }
        }
        if (asked.empty()) {
            this->begin(name, group, change_reason::primary_lost);
            return;
        }
        group.asking = true;
        auto const answers = std::make_shared<reach_survey>();
        answers->asked = asked.size();
        for (std::string const& each : asked) {
            this->mesh->ask_reach(
                each, group.primary,
                [weak = this->weak_from_this(), name, primary_id = group.primary,
                 answers](reach_answer answer) {
                    answers->add(answer);
                    auto const keeper = weak.lock();
                    if (answers->is_complete() && keeper) {
                        keeper->others_answered(name, primary_id, *answers);
                    }
                });
        }
    }

    void others_answered(
        std::string const& name, std::string const& primary, reach_survey const& others) {
        watched_group& group = this->groups[name];
        group.asking = false;
        observe::log_event(
            observe::log_level::info, "primary_silent",
            {{"group", name},
             {"database", primary},
             {"others_reach_it", others.reached > 0},
             {"hosts_asked", others.asked},
             {"hosts_without_answer", others.unanswered},
             {"hosts_linked", this->mesh->connected_hosts().size()}});
        if (others.reached > 0) {
            group.leave_alone_until = this->now() + leave_alone;
            return;
        }
        bool const still =
            group.suspicion && !group.change && group.primary == primary &&
            this->verdict_on(group, this->now()) != primary_health::healthy;
        if (still) {
            this->begin(name, group, change_reason::primary_lost);
        }
    }

    // A change of leadership

    std::vector<group_replica> databases_of(std::string const& name) {
        std::vector<group_replica> all;
        for (registered_database const& each :
             this->context.view.group(name).databases()) {
            all.push_back(group_replica{
                each.id, each.leaving, each.started_ms,
                this->context.orders.work_ends_at(each.id),
                this->context.view.is_evacuated(each)});
        }
        return all;
    }

    void begin(std::string const& name, watched_group& group, change_reason reason) {
        instant const time = this->now();
        auto const databases = this->databases_of(name);
        bool const has_replica =
            std::any_of(databases.begin(), databases.end(), [&group](auto const& each) {
                return each.id != group.primary;
            });
        bool const is_planned = reason == change_reason::primary_leaving ||
                                reason == change_reason::primary_evacuated;
        instant const next = is_planned ? group.next_planned_change : group.next_change;
        if (time < next || !has_replica) {
            return;
        }
        auto const& leader = this->context.view.group(name).leader();
        group.change_started = time;
        group.last_near_call.reset();
        ++group.change_number;
        group.tokens.change_began();
        group.change = std::make_unique<leadership_change>(
            group.primary, databases, leader ? leader->term : 0, reason, time,
            departure_from(group, this->context.view.readings, time, time));
        observe::log_event(
            observe::log_level::warning, "leadership_change_begins",
            {{"group", name},
             {"database", group.primary},
             {"reason", to_string(reason)},
             {"directory", this->context.view.directory.current().version.number}});
        this->step(name, group);
    }

    void step(std::string const& name, watched_group& group) {
        this->note_departures();
        group.change->set_databases(this->databases_of(name));
        group.change->set_departure(departure_from(
            group, this->context.view.readings, this->now(), group.change_started));
        group.change->set_commits(this->known_commits(name, group));
        if (auto const& leader = this->context.view.group(name).leader()) {
            group.change->leader_learned(leader->database, leader->term);
        }
        for (change_action const& each : group.change->step(this->now())) {
            this->carry_out(name, group, each);
            if (!group.change) {
                return;
            }
        }
    }

    void carry_out(
        std::string const& name, watched_group& group, change_action const& action) {
        switch (action.kind) {
        case change_action_kind::request_token:
            this->fetch_token(name, group.tokens.next());
            return;
        case change_action_kind::request_state:
            this->ask_copy(name, action, upstream_request_kind::report_state);
            return;
        case change_action_kind::hold:
            this->ask_copy(name, action, upstream_request_kind::hold);
            return;
        case change_action_kind::stop_primary:
            this->ask_copy(name, action, upstream_request_kind::stop_primary);
            return;
        case change_action_kind::resume:
            this->ask_copy(name, action, upstream_request_kind::resume);
            return;
        case change_action_kind::promote:
            this->call_promotion(name, *group.change, action);
            return;
        default:
            this->finish(name, group, action);
        }
    }

    std::uint64_t change_number(std::string const& name) {
        return this->groups[name].change_number;
    }

    /// The change that an answer is for; null if it is over, whatever follows it.
    leadership_change* change_of(std::string const& name, std::uint64_t number) {
        watched_group& group = this->groups[name];
        return group.change_number == number ? group.change.get() : nullptr;
    }

    void fetch_token(std::string const& name, token_freshness need) {
        this->authority.request_token(
            name, need,
            [weak = this->weak_from_this(), name, number = this->change_number(name),
             asked_at = this->now()](std::optional<std::uint64_t> token) {
                auto const keeper = weak.lock();
                leadership_change* const change =
                    keeper ? keeper->change_of(name, number) : nullptr;
                if (change == nullptr) {
                    return;
                }
                if (token) {
                    keeper->groups[name].tokens.granted(*token);
                    keeper->groups[name].token_asked = asked_at;
                    change->token_granted(*token);
                    keeper->step(name, keeper->groups[name]);
                } else {
                    keeper->refuse_token_later(name, number);
                }
            });
    }

    void refuse_token_later(std::string const& name, std::uint64_t number) {
        auto const pause =
            std::make_shared<boost::asio::steady_timer>(this->context.loop, token_retry);
        pause->async_wait([weak = this->weak_from_this(), name, number,
                           pause](boost::system::error_code) {
            auto const keeper = weak.lock();
            leadership_change* const change =
                keeper ? keeper->change_of(name, number) : nullptr;
            if (change != nullptr) {
                change->token_refused(keeper->now());
            }
        });
    }

    void ask_copy(
        std::string const& name,
        change_action const& action,
        upstream_request_kind kind) {
        upstream_request order = this->control_order(name, action.database, kind);
        order.term = action.term;
        this->context.orders.submit(
            std::move(order),
            [weak = this->weak_from_this(), name, number = this->change_number(name),
             database = action.database, kind,
             asked_at = this->now()](upstream_response answer, std::string const&) {
                auto const keeper = weak.lock();
                leadership_change* const change =
                    keeper ? keeper->change_of(name, number) : nullptr;
                if (change == nullptr) {
                    return;
                }
                observe::log_event(
                    observe::log_level::info, "copy_reported",
                    {{"group", name},
                     {"database", database},
                     {"order", static_cast<int>(kind)},
                     {"answered", answer.report.has_value()},
                     {"position", answer.report ? static_cast<std::int64_t>(
                                                      answer.report->received.offset)
                                                : -1},
                     {"position_term", answer.report ? answer.report->received.term : 0},
                     {"leads", answer.report && answer.report->leads},
                     {"held_term", answer.report ? answer.report->held_term : 0},
                     {"took_ms", to_seconds(keeper->now() - asked_at) * 1000},
                     {"error", to_string(answer.error)},
                     {"state", change->state_name()}});
                change->reported(database, answer.report, asked_at);
                keeper->step(name, keeper->groups[name]);
            });
    }

    /// -1 if it has not been.
    double milliseconds_since(std::optional<instant> time) const {
        return time ? to_seconds(this->now() - *time) * 1000 : -1;
    }

    /// How many commits of this host the old primary may have unacknowledged.
    std::size_t unacknowledged_by(leadership_change const& change) const {
        auto const found = this->unacknowledged.find(change.old_primary());
        instant const stopped = change.primary_stopped_at().value_or(this->now());
        return found == this->unacknowledged.end() ? 0
                                                   : found->second.sent_before(stopped);
    }

    commit_knowledge known_commits(std::string const& name, watched_group const& group) {
        commit_knowledge commits;
        commits.lease_is_fresh = this->now() - group.token_asked <
                                 std::chrono::milliseconds(lease_duration_ms);
        if (!this->context.view.replicates_commits(name)) {
            return commits;
        }
        group_routing& routing = this->context.view.group(name);
        acknowledged_commits& known = routing.acknowledged;
        if (known.newest() && routing.find(known.newest()->database) == nullptr) {
            known.lapsed(known.newest()->database, this->now());
        } else if (known.newest()) {
            known.came_back(known.newest()->database);
        }
        std::optional<instant> const stopped = group.change->primary_stopped_at();
        instant const since = stopped.value_or(group.change_started);
        bool const is_long = this->now() - group.change_started > long_change;
        bool const lists_settled = this->lists_settled();
        // Otherwise how complete the directory is makes no difference.
        if (stopped || known.is_holder_missing() || is_long || !lists_settled) {
            this->keep_reading(since);
        }
        commits.lists_settled = lists_settled;
        commits.fence_stands = this->fence_stands(name);
        commits.directory_in_doubt = this->context.view.readings.is_in_doubt(this->now());
        commits.listing = this->context.view.readings.judge(since, this->now());
        commits.acknowledged = known.required(commits.listing, this->now());
        commits.unacknowledged = this->unacknowledged_by(*group.change);
        return commits;
    }

    /// Why other hosts send the primary of the present change no commit that matters.
    std::string_view fence_of(std::string const& name) {
        leadership_change const& change = *this->groups[name].change;
        if (change.primary_stopped_at()) {
            return "stopped";
        }
        if (change.is_planned() &&
            this->has_answered(change.old_primary(), serves_lately)) {
            return "planned";
        }
        return to_string(this->guard.standing(name));
    }

    /// Has the other hosts send no commits to the primary of the present change. True
    /// once they don't, and each database that can have received one is listed.
    bool fence_stands(std::string const& name) {
        bool const is_planned = this->fence_of(name) == "planned";
        if (is_planned || !this->needs_fence(name)) {
            this->guard.end(name);
            return is_planned;
        }
        this->guard.call(name, this->groups[name].change->old_primary());
        if (this->fence_of(name) == "stopped") {
            return true;
        }
        std::optional<instant> const since = this->guard.stands_since(name);
        return since && this->was_read_since(name, *since);
    }

    /// True if the change may call for a promotion, or was about to lately. Until then
    /// the primary serves: a host that reaches too few replicas must not keep commits off
    /// it.
    bool needs_fence(std::string const& name) {
        watched_group& group = this->groups[name];
        bool const can_stand = this->context.view.readings.in_reach_since() ||
                               this->guard.hosts_unlinked() == 0;
        if (!can_stand) {
            return false;
        }
        if (group.change->may_call_soon()) {
            group.last_near_call = this->now();
        }
        return group.last_near_call &&
               this->now() - *group.last_near_call < fence_patience;
    }

    /// Otherwise has the directory read.
    bool was_read_since(std::string const& name, instant since) {
        directory_readings const& readings = this->context.view.readings;
        bool const is_told = !readings.in_reach_since();
        if (is_told || (readings.last() && *readings.last() >= since)) {
            return true;
        }
        instant& last = this->groups[name].last_fence_reading;
        if (last < since || this->now() - last > fence_reading_interval) {
            last = this->now();
            this->context.view.readings.began(last);
            this->authority.read_directory();
        }
        return false;
    }

    bool has_answered(std::string const& database, duration age) const {
        auto const found = this->answered_at.find(database);
        return found != this->answered_at.end() && this->now() - found->second < age;
    }

    /// True if this host's directory lists each replica that is settled at any host.
    bool lists_settled() const {
        directory_readings const& readings = this->context.view.readings;
        instant const time = this->now();
        if (!this->first_reading || time - *this->first_reading < fresh_time) {
            return false;
        }
        bool const is_recent =
            readings.last() && time - *readings.last() <= listing_max_age;
        // While the store is out of reach, others tell what they have read before.
        bool const is_told = !readings.in_reach_since() && this->mesh->hears_neighbours();
        return is_recent || is_told;
    }

    /// Has the directory read until it is known to be complete.
    void keep_reading(instant since) {
        this->reading_until = this->now() + reading_after_change;
        this->read_if_needed(since);
    }

    void read_if_needed(instant since) {
        if (this->context.view.readings.needs_reading(since, this->now())) {
            this->context.view.readings.began(this->now());
            this->authority.read_directory();
        }
    }

    void call_promotion(
        std::string const& name,
        leadership_change const& change,
        change_action const& action) {
        observe::log_event(
            observe::log_level::warning, "promotion_called",
            {{"group", name},
             {"database", action.database},
             {"token", action.token},
             {"reason", to_string(change.reason())},
             {"compared", describe(change.evidence(), this->now())},
             {"acknowledged",
              describe(this->context.view.group(name).acknowledged.newest())},
             {"unacknowledged", this->unacknowledged_by(change)},
             {"directory", this->context.view.directory.current().version.number},
             {"lists_settled", this->lists_settled()},
             {"fence", this->fence_of(name)},
             {"hosts_unlinked", this->guard.hosts_unlinked()},
             {"directory_read_ms",
              this->milliseconds_since(this->context.view.readings.last())},
             {"store_reached_ms",
              this->milliseconds_since(this->context.view.readings.in_reach_since())}});
        this->authority.promote(
            name, action.database, action.token,
            [weak = this->weak_from_this(), name, token = action.token,
             number = this->change_number(name)](promotion_result result) {
                auto const keeper = weak.lock();
                if (!keeper) {
                    return;
                }
                observe::log_event(
                    observe::log_level::warning, "promotion_answered",
                    {{"group", name},
                     {"token", token},
                     {"result", static_cast<int>(result)}});
                keeper->groups[name].tokens.promotion_answered(token, result);
                leadership_change* const change = keeper->change_of(name, number);
                if (change == nullptr) {
                    return;
                }
                change->promotion_answered(result, keeper->now());
                keeper->step(name, keeper->groups[name]);
            });
    }

    void
    finish(std::string const& name, watched_group& group, change_action const& action) {
        instant const time = this->now();
        bool const promoted = action.kind == change_action_kind::finished;
        observe::log_event(
            observe::log_level::warning, "leadership_change_over",
            {{"group", name},
             {"promoted", promoted},
             {"database", action.database},
             {"term", action.term},
             {"took_ms", to_seconds(time - group.change_started) * 1000}});
        this->retired = std::move(group.change);
        this->guard.end(name);
        group.next_change = time + between_changes;
        bool const stays = action.database == group.primary;
        group.next_planned_change = stays ? time + planned_pause : time;
        group.suspicion.reset();
        group.managed_since = instant();
        if (!action.database.empty()) {
            this->context.view.group(name).confirm_leader(action.database, action.term);
        }
        if (!promoted) {
            return;
        }
        group.lease_until = time + std::chrono::milliseconds(lease_duration_ms);
        ++this->finished;
        this->mesh->broadcast(leader_message{name, action.database, action.term});
    }

    // Evidence

    template <class Tell>
    void tell(std::string const& database, Tell tell) {
        for (auto& each : this->groups) {
            watched_group& group = each.second;
            if (group.primary == database && group.suspicion) {
                tell(group);
            }
        }
    }

    void tell_suspicion(
        std::string const& database, void (primary_failure_detector::*event)(instant)) {
        instant const now = this->now();
        this->tell(database, [now, event](watched_group& group) {
            (*group.suspicion.*event)(now);
        });
    }

    run_context& context;
    leadership_authority& authority;
    commit_guard& guard;
    boost::asio::steady_timer timer;
    std::optional<instant> first_reading; ///< Of the directory.
    instant started; ///< No commit was sent, and no departure seen, before.
    peer_mesh* mesh = nullptr;
    std::map<std::string, watched_group, std::less<>> groups;
    std::map<std::string, instant, std::less<>> answered_at;
    std::map<std::string, commit_progress, std::less<>> commits; ///< By database.
    std::map<std::string, unacknowledged_commits, std::less<>>
        unacknowledged; ///< By database.
    /// A change is kept until it is no longer on the stack.
    std::unique_ptr<leadership_change> retired;
    std::uint64_t finished = 0;
    instant reading_until{}; ///< The directory is read often until then.
    /// Its version and how many databases it had.
    std::pair<store_version, std::size_t> seen_directory;
};

leadership_keeper::leadership_keeper(
    run_context& context, leadership_authority& authority, commit_guard& guard)
    : impl(std::make_shared<implementation>(context, authority, guard)) {}

leadership_keeper::~leadership_keeper() {
    this->impl->timer.cancel();
}

void leadership_keeper::start(peer_mesh& mesh) {
    this->impl->mesh = &mesh;
    this->impl->tick();
}

void leadership_keeper::probe(
    std::string const& database, std::function<void(bool)> done) {
    if (this->impl->has_answered(database, reached_lately)) {
        done(true);
        return;
    }
    registered_database const* const entry =
        this->impl->context.view.find_database(database);
    if (entry == nullptr) {
        done(false);
        return;
    }
    upstream_request order = this->impl->control_order(
        entry->group, database, upstream_request_kind::leader_check);
    this->impl->context.orders.run_here(
        std::move(order), 0, [done = std::move(done)](upstream_response const& answer) {
            done(answer.outcome == upstream_outcome::answered);
        });
}

void leadership_keeper::on_answer(std::string const& database) {
    instant const now = this->impl->now();
    this->impl->answered_at[database] = now;
    this->impl->tell(database, [now](watched_group& group) {
        group.last_answer = now;
        group.suspicion->answered(now);
        if (group.change) {
            group.change->primary_seen();
        }
    });
}

void leadership_keeper::on_refused(std::string const& database) {
    this->impl->tell_suspicion(database, &primary_failure_detector::refused);
}

void leadership_keeper::on_silent(std::string const& database) {
    this->impl->tell_suspicion(database, &primary_failure_detector::unanswered);
}

void leadership_keeper::on_commit_sent(std::string const& database, instant sent_at) {
    this->impl->commits[database].sent(sent_at);
    this->impl->unacknowledged[database].sent(sent_at);
}

void leadership_keeper::on_commit_ended(
    std::string const& database, instant sent_at, commit_end how) {
    this->impl->unacknowledged[database].ended(sent_at, how);
    auto const found = this->impl->commits.find(database);
    if (found == this->impl->commits.end()) {
        return;
    }
    found->second.ended(this->impl->now());
    if (found->second.open() == 0) {
        this->impl->commits.erase(found);
    }
}

void leadership_keeper::on_commit_acknowledged(
    std::string const& database, instant sent_at, std::optional<log_position> reached) {
    registered_database const* const entry =
        this->impl->context.view.find_database(database);
    if (entry == nullptr) {
        return;
    }
    if (reached) {
        this->impl->context.view.group(entry->group)
            .acknowledged.note(database, *reached);
    }
    watched_group& group = this->impl->groups[entry->group];
    if (!group.departures) {
        group.departures.emplace(this->impl->started);
    }
    group.departures->commit_acknowledged(sent_at, this->impl->now());
}

std::uint64_t leadership_keeper::changes_finished() const {
    return this->impl->finished;
}

} // namespace persimmonpoint::engine
