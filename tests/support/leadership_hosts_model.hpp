#ifndef PERSIMMONPOINT_TESTS_SUPPORT_LEADERSHIP_HOSTS_MODEL_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_LEADERSHIP_HOSTS_MODEL_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/core/membership/directory_readings.hpp>
#include <persimmonpoint/core/membership/directory_tracker.hpp>
#include <persimmonpoint/core/recovery/acknowledged_commits.hpp>
#include <persimmonpoint/core/recovery/acknowledgement_gate.hpp>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <persimmonpoint/core/recovery/primary_failure_detector.hpp>
#include <persimmonpoint/core/recovery/token_demand.hpp>
#include <persimmonpoint/core/routing/group_routing.hpp>
#include <span>
#include <string>
#include <support/modelled_fence.hpp>
#include <support/replicated_group_model.hpp>
#include <vector>

namespace persimmonpoint::tests {

/// What becomes of an order to a database.
struct order_fate {
    std::optional<duration> carried_out_after = std::chrono::milliseconds(5);
    /// From then on; without it the host gives up after the order's budget.
    std::optional<duration> answered_after = std::chrono::milliseconds(5);
};

/// What becomes of a call for a promotion.
struct promotion_fate {
    std::optional<duration> carried_out_after = std::chrono::milliseconds(20);
    bool answered = true;
    bool throttled = false;
};

/// Decides what goes wrong between hosts, databases and the platform. As it is, nothing.
struct fault_plan {
    virtual ~fault_plan() = default;
    virtual order_fate
    order(std::string const& host, change_action_kind kind, std::string const& database);
    virtual promotion_fate
    promotion(std::string const& host, std::string const& database);
    /// Without it the other host never hears of a new leader.
    virtual std::optional<duration> news(std::string const& from, std::string const& to);
    virtual bool store_answers(std::string const& host);
    /// False while the store's fence notices are out of the host's reach.
    virtual bool board_answers(std::string const& host);
    /// False while nothing passes between the two hosts.
    virtual bool linked(std::string const& one, std::string const& other);
    /// True if a host that wakes up reads what has arrived before it acts.
    virtual bool reads_first();
};

class modelled_host;

/// The hosts of a fleet, and what is between them.
struct modelled_fleet {
    replicated_group& group;
    fault_plan& faults;
    std::vector<std::unique_ptr<modelled_host>> hosts;
    /// Hosts keep a row that is missing for a while, as directory_tracker does.
    bool keeps_missing_rows = false;
    /// Hosts send no commit to a primary that one of them is about to replace. Without it
    /// the model shows what the rest of the logic holds.
    bool has_fence = false;
    std::map<std::string, fence_notice> notices{}; ///< In the store, by host.

    void add_host(std::string const& name);
    modelled_host& host(std::size_t index) { return *this->hosts.at(index); }
    bool is_alive(std::string const& host) const;
    /// True if another host gets answers from the database.
    bool others_reach(std::string const& host, std::string const& database) const;
    void tick();
    /// True if some host that reaches the primary may send it a commit.
    bool sends_commits();
    /// Runs `action` on `to` a moment later, unless the two aren't linked.
    void send(
        std::string const& from,
        std::string const& to,
        std::function<void(modelled_host&)> action);
    /// Runs `action` on the host after `delay`, unless it is killed before.
    void deliver_later(
        std::string const& to,
        duration delay,
        std::function<void(modelled_host&)> action);
    bool board_answers(std::string const& host) const;
    /// Each commit that was acknowledged is a statement of some host.
    void hand_out_commits();
};

/// One host: what the leadership keeper does for one group. Everything that the model
/// knows of leadership_change's interface is in this class.
class modelled_host {
public:
    modelled_host(modelled_fleet& fleet, std::string name);

    std::string const& name() const { return this->own_name; }
    /// What the keeper does every 30 ms.
    void tick();
    /// Begins a change by what the host believes now; false if one is under way.
    bool begin(change_reason reason);
    /// A client's statement at the believed primary, or the keeper's own question.
    void ask_leader();

    void freeze(duration how_long);
    void kill(duration down_for);
    bool is_alive() const { return this->alive; }
    bool is_frozen() const { return this->frozen; }
    bool is_changing() const { return this->change != nullptr; }
    /// Of the change that is under way.
    std::string candidate() const {
        return this->change ? this->change->candidate() : "";
    }
    bool reaches(std::string const& database) const;
    group_routing const& view() const { return this->routing; }
    void learn(std::string const& database, std::uint64_t term);
    /// Runs `action` on this host: at once, or when it wakes up; never if it was killed.
    void deliver(std::function<void()> action);
    void read_directory();
    void note_commits();
    bool acts() const { return this->alive && !this->frozen; }
    /// True if its change waits for a log that may come back.
    bool awaits_lapsed_log() const;
    modelled_fence& guard() { return *this->own_guard; }
    void deliver_after(duration delay, std::function<void()> action);
    /// Commits of which callers were told that they are in doubt.
    std::size_t commits_in_doubt() const { return this->in_doubt; }
    /// A commit that this host had sent was acknowledged.
    void take_commit(answered_commit const& commit);

    bool manages = false; ///< It takes itself for the owner of the primary.

private:
    std::vector<registered_database> listed_databases();
    void note_returns(std::span<registered_database const> present);
    void step();
    bool can_watch() const;
    void watch();
    void judge();
    void check_holds();
    void check_hold(std::string const& replica);
    void found_held(
        std::string const& replica,
        std::string const& believed,
        std::optional<database_state> const& state);
    /// Carries out an order, or not; `report` gets what the host hears of it.
    void send(
        change_action const& action,
        std::function<void(std::optional<database_state> const&)> const& report);
    /// Runs `action` if the present change is still under way when it's called.
    std::function<void(std::function<void()> const&)> while_changing();
    void carry_out(change_action const& action);
    void request_token();
    void send_order(change_action const& action);
    void call_promotion(change_action const& action);
    void finish(change_action const& action);
    void heard_from(std::string const& database);
    commit_knowledge known_commits();
    departure departure_known() const;
    std::vector<group_replica> databases() const;
    void wake();
    void pass_on_commits();
    void note(std::string const& event);
    bool fence_stands();

    modelled_fleet& fleet;
    std::string own_name;
    std::unique_ptr<modelled_fence> own_guard;
    group_routing routing;
    std::unique_ptr<leadership_change> change;
    std::unique_ptr<leadership_change> retired;
    std::string primary; ///< That is watched, or replaced by the change.
    std::unique_ptr<primary_failure_detector> suspicion;
    instant managed_since{};
    instant last_answer{};
    instant last_probe{};
    instant last_hold_check{};
    departure_memory departures;
    acknowledged_commits acknowledged;
    std::map<std::string, std::uint64_t> lapsed; ///< Start of each that isn't listed.
    acknowledgement_gate gate;
    std::size_t in_doubt = 0;
    directory_readings readings;
    directory_tracker tracker;
    instant change_began{};
    std::optional<instant> last_near_call; ///< When the change could call soon.
    unsigned change_number = 0;            ///< Of the present change, or the last.
    instant next_change{};
    instant leave_alone_until{};
    std::string last_state;
    std::string last_candidate;
    std::optional<std::uint64_t> cached_token;
    token_demand tokens;
    bool alive = true;
    bool frozen = false;
    unsigned life = 1;
    std::vector<std::function<void()>> inbox;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_LEADERSHIP_HOSTS_MODEL_HPP_INCLUDED
