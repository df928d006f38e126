#include <algorithm>
#include <support/random_leadership_faults.hpp>
#include <utility>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick = milliseconds(10);
constexpr duration time_with_faults = seconds(30);
constexpr duration time_to_recover = seconds(20);
constexpr int ticks_per_look = 3;
constexpr std::size_t fewest_databases = 3;
constexpr std::uint64_t store_seeds = 1000000;
constexpr std::uint64_t link_seeds = 2000000;
constexpr unsigned most_unlisted = 2;
constexpr unsigned most_empty_starts = 2;
constexpr unsigned most_quick_joins = 3;
constexpr auto first_join_fault = static_cast<std::ptrdiff_t>(fault_kind::quick_join);
// As databases and the store do.
constexpr std::uint64_t heartbeat_ms = 1200;
constexpr std::uint64_t row_lifetime_ms = 3600;
constexpr std::uint64_t longest_registration_ms = 2000;

class random_leadership_run final : private fault_plan {
public:
    random_leadership_run(std::uint64_t seed, fault_set const& allowed, bool has_fence)
        : dice(seed),
          store_dice(seed + store_seeds),
          link_dice(seed + link_seeds),
          group(this->dice.once_in(4) ? fewest_databases + 1 : fewest_databases),
          fleet{this->group, *this, {}} {
        this->choose_faults(allowed);
        this->fleet.has_fence = has_fence;
        this->cuts_links = has_fence && this->link_dice.once_in(2);
        std::size_t const hosts = this->dice.between(2, 3);
        for (std::size_t i = 0; i < hosts; ++i) {
            this->fleet.add_host("h" + std::to_string(i));
        }
        this->fleet.host(0).manages = true;
        this->group.pause_overwrites = this->dice.once_in(2);
        this->group.stop_survives = this->dice.once_in(2);
    }

    random_run_result run() {
        this->play(time_with_faults);
        this->end_faults();
        // One that waits as the faults end may find so late that it waits in vain.
        bool const waits = this->awaits_lapsed_log();
        this->play(time_to_recover);
        if (waits || this->awaits_lapsed_log()) {
            this->play(lapsed_log_patience);
        }
        return this->result();
    }

private:
    /// True if a host still waits for a log that may come back.
    bool awaits_lapsed_log() const {
        return std::any_of(
            this->fleet.hosts.begin(), this->fleet.hosts.end(),
            [](auto const& each) { return each->awaits_lapsed_log(); });
    }

    // Which faults

    void choose_faults(fault_set const& allowed) {
        this->rarity = this->dice.between(1, 4);
        for (std::size_t i = 0; i < first_store_fault; ++i) {
            this->chosen[i] = allowed[i] && !this->dice.once_in(3);
        }
        for (std::size_t i = first_store_fault; i < fault_kinds; ++i) {
            this->chosen[i] = allowed[i] && !this->store_dice.once_in(4);
            this->fleet.keeps_missing_rows = this->fleet.keeps_missing_rows || allowed[i];
        }
    }

    bool has(fault_kind kind) const {
        return this->faults_go_on && this->chosen[static_cast<std::size_t>(kind)];
    }

    /// True about once in `seconds_apart` if called on every tick.
    bool strikes(fault_kind kind, std::uint64_t seconds_apart) {
        constexpr std::uint64_t ticks_per_second = 100;
        return this->has(kind) &&
               this->dice.once_in(seconds_apart * ticks_per_second * this->rarity);
    }

    bool store_fault_strikes(fault_kind kind, std::uint64_t seconds_apart) {
        constexpr std::uint64_t ticks_per_second = 100;
        return this->has(kind) &&
               this->store_dice.once_in(seconds_apart * ticks_per_second);
    }

    // Time

    void play(duration how_long) {
        instant const end = this->group.now() + how_long;
        while (this->group.now() < end) {
            this->group.advance(this->group.now() + tick);
            this->strike();
            this->commit();
            this->talk();
            if (++this->ticks % ticks_per_look == 0) {
                this->fleet.tick();
            }
        }
    }

    void commit() {
        bool reached = false;
        for (auto const& each : this->fleet.hosts) {
            reached = reached || (each->is_alive() && !each->is_frozen() &&
                                  each->reaches(this->group.primary()));
        }
        if (reached && this->dice.once_in(3) && this->fleet.sends_commits()) {
            this->group.write();
        }
        for (auto const& each : this->group.databases()) {
            if (this->dice.once_in(2)) {
                this->group.receive(each.first);
            }
        }
    }

    void talk() {
        for (auto const& each : this->fleet.hosts) {
            if (this->dice.once_in(10)) {
                each->ask_leader();
            }
            bool const reads = this->dice.once_in(8);
            bool const is_slow = this->has(fault_kind::slow_reading);
            if (reads && !(is_slow && !this->store_dice.once_in(10))) {
                each->deliver([host = each.get()] { host->read_directory(); });
            }
        }
    }

    // Faults

    void strike() {
        this->strike_databases();
        this->strike_network();
        this->strike_hosts();
        this->strike_store();
    }

    void strike_databases() {
        if (this->strikes(fault_kind::brief_crash, 5)) {
            this->crash_some(this->dice.milliseconds_between(300, 8000));
        }
        bool const may_die = this->deaths == 0;
        if (may_die && this->strikes(fault_kind::death, 12)) {
            ++this->deaths;
            this->crash_some(std::nullopt);
            this->group.after(seconds(8), [this] {
                this->group.add_empty_replica(this->joining_time());
            });
        }
        bool const may_leave = this->leavers == 0;
        if (may_leave && this->strikes(fault_kind::leaving, 12)) {
            this->let_some_leave();
        }
        if (this->strikes(fault_kind::deaf_replica, 5)) {
            this->deafen_some();
        }
    }

    void strike_network() {
        if (this->strikes(fault_kind::primary_cut, 8) && !this->group.primary_is_cut()) {
            this->group.note("primary is cut from its replicas");
            this->group.set_primary_cut(true);
            this->group.after(this->dice.milliseconds_between(300, 5000), [this] {
                this->group.set_primary_cut(false);
                this->group.note("replicas receive again");
            });
        }
        if (this->strikes(fault_kind::host_cut, 5)) {
            this->cut_hosts();
        }
        if (this->strikes(fault_kind::store_away, 10)) {
            this->store_away_until =
                this->group.now() + this->dice.milliseconds_between(500, 4000);
            this->group.note("store is away");
        }
    }

    void strike_hosts() {
        modelled_host& host = this->some_host();
        if (this->strikes(fault_kind::frozen_host, 4) && host.is_alive() &&
            !host.is_frozen()) {
            host.freeze(this->dice.milliseconds_between(300, 5000));
        }
        if (this->strikes(fault_kind::killed_host, 10) && host.is_alive()) {
            host.kill(this->dice.milliseconds_between(500, 4000));
        }
        if (this->strikes(fault_kind::owners_differ, 3)) {
            host.manages = !host.manages;
        }
        bool const can_begin = host.is_alive() && !host.is_frozen();
        if (can_begin && this->strikes(fault_kind::false_alarm, 6)) {
            host.begin(
                this->dice.once_in(2) ? change_reason::primary_lost
                                      : change_reason::commits_stalled);
        }
        this->pass_ownership();
        constexpr std::uint64_t ticks_between_cuts = 600;
        if (this->cuts_links && this->faults_go_on &&
            this->link_dice.once_in(ticks_between_cuts)) {
            this->cut_links();
        }
    }

    /// Some host that can act owns the primary.
    void pass_ownership() {
        auto const owns = [](auto const& each) {
            return each->manages && each->is_alive() && !each->is_frozen();
        };
        auto const& hosts = this->fleet.hosts;
        bool const owned = std::any_of(hosts.begin(), hosts.end(), owns);
        if (!owned && this->dice.once_in(100)) {
            this->some_host().manages = true;
        }
    }

    void strike_store() {
        if (this->store_fault_strikes(fault_kind::lost_store, 8) &&
            !this->group.is_store_away()) {
            this->lose_store();
        }
        if (this->store_fault_strikes(fault_kind::partial_cut, 12)) {
            this->cut_present_replicas();
        }
        bool const may_start = this->empty_starts < most_empty_starts;
        if (may_start && this->store_fault_strikes(fault_kind::empty_start, 10)) {
            this->start_some_empty();
        }
        bool const may_join = this->quick_joins < most_quick_joins;
        if (may_join && this->store_fault_strikes(fault_kind::quick_join, 6)) {
            this->join_quickly();
        }
    }

    void join_quickly() {
        ++this->quick_joins;
        if (this->has(fault_kind::partial_cut) && this->store_dice.once_in(2)) {
            this->cut_present_replicas();
        }
        this->group.add_empty_replica(this->store_dice.milliseconds_between(10, 300));
    }

    void lose_store() {
        unsigned const number = ++this->store_losses;
        this->group.set_store_away(true);
        for (auto const& each : this->group.databases()) {
            std::string const id = each.first;
            this->group.at(id).registration_lag =
                this->store_dice.milliseconds_between(0, longest_registration_ms);
            duration const silence = this->store_dice.milliseconds_between(
                row_lifetime_ms - heartbeat_ms, row_lifetime_ms);
            this->group.after(silence, [this, id, number] {
                if (this->group.is_store_away() && this->store_losses == number) {
                    this->group.lapse(id);
                }
            });
        }
        if (this->has(fault_kind::unlisted_replica)) {
            this->group.after(this->store_dice.milliseconds_between(100, 3000), [this] {
                this->add_unlisted_replica();
            });
        }
        this->group.after(this->store_dice.milliseconds_between(500, 7000), [this] {
            this->find_store();
        });
    }

    void find_store() {
        if (this->group.is_store_away()) {
            this->group.set_store_away(false);
        }
    }

    void add_unlisted_replica() {
        if (!this->group.is_store_away() || this->unlisted == most_unlisted) {
            return;
        }
        ++this->unlisted;
        std::string const id = "d" + std::to_string(this->group.databases().size());
        this->group.add_empty_replica(this->store_dice.milliseconds_between(50, 800));
        this->group.at(id).registration_lag =
            this->store_dice.milliseconds_between(0, longest_registration_ms);
        if (this->has(fault_kind::partial_cut) && !this->store_dice.once_in(3)) {
            this->cut_present_replicas();
            this->group.at(id).cut_off = false;
        }
    }

    void cut_present_replicas() {
        unsigned const number = ++this->partial_cuts;
        this->group.cut_off_present_replicas();
        this->group.after(
            this->store_dice.milliseconds_between(300, 7000), [this, number] {
                if (this->partial_cuts == number) {
                    this->group.mend_cuts();
                    this->group.note("replicas receive again");
                }
            });
    }

    void start_some_empty() {
        std::vector<std::string> living;
        for (auto const& [id, each] : this->group.databases()) {
            if (each.alive) {
                living.push_back(id);
            }
        }
        if (!living.empty()) {
            ++this->empty_starts;
            this->group.start_empty(
                living[this->store_dice.between(0, living.size() - 1)],
                this->store_dice.milliseconds_between(200, 3000));
        }
    }

    void cut_links() {
        modelled_host& host =
            this->fleet.host(this->link_dice.between(0, this->fleet.hosts.size() - 1));
        std::string const name = host.name();
        if (!this->unlinked.empty()) {
            return;
        }
        this->unlinked = name;
        this->group.note(name + " is linked to no other host");
        this->group.after(
            this->link_dice.milliseconds_between(300, 6000), [this] { this->link_up(); });
    }

    void link_up() {
        std::string const name = std::exchange(this->unlinked, "");
        if (name.empty()) {
            return;
        }
        this->group.note(name + " is linked again");
        for (auto const& one : this->fleet.hosts) {
            for (auto const& other : this->fleet.hosts) {
                bool const was_cut =
                    one != other && (one->name() == name || other->name() == name);
                if (was_cut && one->acts()) {
                    one->guard().link_up(other->name());
                }
            }
        }
    }

    bool linked(std::string const& one, std::string const& other) override {
        return this->unlinked != one && this->unlinked != other;
    }

    bool board_answers(std::string const&) override {
        return this->group.now() >= this->store_away_until;
    }

    modelled_host& some_host() {
        return this->fleet.host(this->dice.between(0, this->fleet.hosts.size() - 1));
    }

    /// A primary as often as a replica; empty if too few live.
    std::string some_database() {
        if (this->dice.once_in(2)) {
            return this->group.at(this->group.primary()).alive ? this->group.primary()
                                                               : "";
        }
        std::vector<std::string> replicas;
        for (auto const& [id, each] : this->group.databases()) {
            if (each.alive && !this->group.leads(id)) {
                replicas.push_back(id);
            }
        }
        return replicas.empty() ? ""
                                : replicas[this->dice.between(0, replicas.size() - 1)];
    }

    void crash_some(std::optional<duration> down_for) {
        std::string const victim = this->some_database();
        if (!victim.empty()) {
            this->group.crash(victim, down_for);
        }
    }

    void let_some_leave() {
        std::string const victim = this->some_database();
        if (!victim.empty()) {
            ++this->leavers;
            this->group.leave(
                victim, this->dice.milliseconds_between(3000, 9000),
                this->joining_time());
        }
    }

    duration joining_time() { return this->dice.milliseconds_between(1000, 3000); }

    void deafen_some() {
        std::string const victim = this->some_database();
        if (victim.empty() || this->group.at(victim).deaf) {
            return;
        }
        this->group.at(victim).deaf = true;
        this->group.note(victim + " is deaf");
        this->group.after(this->dice.milliseconds_between(500, 8000), [this, victim] {
            this->group.at(victim).deaf = false;
            this->group.note(victim + " hears again");
        });
    }

    void cut_hosts() {
        std::string const victim = this->some_database();
        if (victim.empty()) {
            return;
        }
        duration const how_long = this->dice.milliseconds_between(300, 5000);
        for (auto const& each : this->fleet.hosts) {
            std::string const host = each->name();
            if (this->dice.once_in(3)) {
                continue;
            }
            this->group.at(victim).unreachable_from.insert(host);
            this->group.note(host + " does not reach " + victim);
            this->group.after(how_long, [this, victim, host] {
                this->group.at(victim).unreachable_from.erase(host);
                this->group.note(host + " reaches " + victim);
            });
        }
    }

    void end_faults() {
        this->faults_go_on = false;
        this->group.note("faults end");
        this->group.set_primary_cut(false);
        this->group.mend_cuts();
        this->find_store();
        this->link_up();
        for (auto const& each : this->group.databases()) {
            this->group.at(each.first).deaf = false;
            this->group.at(each.first).unreachable_from.clear();
        }
    }

    // What becomes of messages

    order_fate
    order(std::string const&, change_action_kind, std::string const&) override {
        order_fate fate;
        fate.carried_out_after = this->dice.milliseconds_between(1, 20);
        fate.answered_after = this->dice.milliseconds_between(1, 20);
        if (this->has(fault_kind::lost_order) && this->dice.once_in(20)) {
            fate.answered_after.reset();
            if (this->dice.once_in(2)) {
                fate.carried_out_after.reset();
            }
        }
        if (this->has(fault_kind::late_order) && this->dice.once_in(25)) {
            fate.carried_out_after = this->dice.milliseconds_between(2000, 12000);
            fate.answered_after.reset();
        }
        if (this->has(fault_kind::late_answer) && this->dice.once_in(15)) {
            fate.answered_after = this->dice.milliseconds_between(20, 400);
        }
        return fate;
    }

    promotion_fate promotion(std::string const&, std::string const&) override {
        promotion_fate fate;
        fate.carried_out_after = this->dice.milliseconds_between(5, 60);
        if (this->has(fault_kind::lost_promotion) && this->dice.once_in(4)) {
            fate.answered = false;
            if (this->dice.once_in(3)) {
                fate.carried_out_after.reset();
            }
        }
        if (this->has(fault_kind::late_promotion) && this->dice.once_in(4)) {
            fate.answered = false;
            fate.carried_out_after = this->dice.milliseconds_between(100, 12000);
        }
        fate.throttled = this->dice.once_in(30);
        return fate;
    }

    std::optional<duration> news(std::string const&, std::string const&) override {
        if (!this->has(fault_kind::lost_news) || this->dice.once_in(2)) {
            return this->dice.milliseconds_between(2, 30);
        }
        if (this->dice.once_in(2)) {
            return this->dice.milliseconds_between(500, 5000);
        }
        return std::nullopt;
    }

    bool store_answers(std::string const&) override {
        if (this->group.is_store_away()) {
            return false;
        }
        return this->group.now() >= this->store_away_until || this->dice.once_in(3);
    }

    bool reads_first() override { return this->dice.once_in(2); }

    // The end

    random_run_result result() {
        random_run_result out;
        if (!this->group.leads(this->group.primary()) ||
            !this->group.at(this->group.primary()).alive) {
            out.stuck.push_back("nobody leads");
        }
        for (auto const& [id, each] : this->group.databases()) {
            if (each.alive && each.held != 0) {
                out.stuck.push_back(id + " is paused");
            }
        }
        for (auto const& each : this->fleet.hosts) {
            if (each->is_changing()) {
                out.stuck.push_back("the change of " + each->name() + " is not over");
            }
        }
        out.losses = this->group.losses();
        out.literal_losses = this->group.literal_losses();
        out.promotions = this->group.promotions();
        out.acknowledged = this->group.acknowledged_count();
        out.exempted_absent = this->group.exempted_absent();
        out.exempted_returned = this->group.exempted_returned();
        out.trace = this->group.trace();
        for (std::size_t i = 0; i < fault_kinds; ++i) {
            if (this->chosen[i]) {
                out.faults += std::string(out.faults.empty() ? "" : " ") +
                              to_string(static_cast<fault_kind>(i));
            }
        }
        out.faults += this->cuts_links ? " link_cut" : "";
        return out;
    }

    seeded_dice dice;
    seeded_dice store_dice; ///< For faults from lost_store on.
    seeded_dice link_dice;  ///< For cuts between hosts.
    replicated_group group;
    modelled_fleet fleet;
    fault_set chosen{};
    std::uint64_t rarity = 1;
    bool cuts_links = false;
    std::string unlinked; ///< Host that is linked to no other.
    bool faults_go_on = true;
    unsigned deaths = 0;
    unsigned leavers = 0;
    unsigned store_losses = 0;
    unsigned unlisted = 0;
    unsigned partial_cuts = 0;
    unsigned empty_starts = 0;
    unsigned quick_joins = 0;
    int ticks = 0;
    instant store_away_until{};
};

} // namespace

char const* to_string(fault_kind kind) {
    static std::array<char const*, fault_kinds> const names = {
        "brief_crash",   "death",       "primary_cut",      "host_cut",
        "deaf_replica",  "leaving",     "frozen_host",      "killed_host",
        "owners_differ", "false_alarm", "store_away",       "lost_order",
        "late_order",    "late_answer", "lost_promotion",   "late_promotion",
        "lost_news",     "lost_store",  "unlisted_replica", "partial_cut",
        "empty_start",   "quick_join",  "slow_reading"};
    return names.at(static_cast<std::size_t>(kind));
}

std::uint64_t seeded_dice::between(std::uint64_t low, std::uint64_t high) {
    return low + this->engine() % (high - low + 1);
}

duration seeded_dice::milliseconds_between(std::uint64_t low, std::uint64_t high) {
    return milliseconds(this->between(low, high));
}

random_run_result
run_with_random_faults(std::uint64_t seed, fault_set const& allowed, bool has_fence) {
    random_leadership_run run(seed, allowed, has_fence);
    return run.run();
}

fault_set all_faults() {
    fault_set out{};
    std::fill_n(out.begin(), first_store_fault, true);
    return out;
}

fault_set all_faults_and_store_losses() {
    fault_set out;
    out.fill(true);
    std::fill(out.begin() + first_join_fault, out.end(), false);
    return out;
}

fault_set all_faults_and_unseen_joins() {
    fault_set out = all_faults();
    std::fill(out.begin() + first_join_fault, out.end(), true);
    out[static_cast<std::size_t>(fault_kind::partial_cut)] = true;
    return out;
}

} // namespace persimmonpoint::tests
