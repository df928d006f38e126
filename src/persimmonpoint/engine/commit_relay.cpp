#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <persimmonpoint/engine/commit_relay.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::engine {

namespace {

/// How often replicas are asked anew while answers wait.
constexpr auto step_interval = std::chrono::milliseconds(5);

std::uint64_t unix_ms() {
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    return ms > 0 ? static_cast<std::uint64_t>(ms) : 0;
}

struct waiting_answer {
    std::string primary;
    upstream_response answer;
    response_handler done;
    instant since{};
};

/// By which owner a database's state is asked for; one that worked is kept.
struct state_route {
    unsigned misses = 0;
    bool is_asked = false; ///< A request has had no answer yet.

    void answered(bool with_state) {
        this->is_asked = false;
        this->misses += with_state ? 0 : 1;
    }
};

void put_in_doubt(upstream_response& answer) {
    answer.outcome = upstream_outcome::unknown;
    answer.refusal = upstream_refusal::unconfirmed;
    answer.acknowledged.reset();
}

} // namespace

struct commit_relay::implementation
    : std::enable_shared_from_this<commit_relay::implementation> {
    implementation(
        boost::asio::io_context& loop, clock const& time, state_source& databases)
        : time(time), databases(databases), timer(loop) {}

    void
    set_databases(std::map<std::string, registered_database, std::less<>> const& listed) {
        std::map<std::string, std::vector<registered_database>> by_group;
        for (auto const& each : listed) {
            by_group[each.second.group].push_back(each.second);
            this->gates.try_emplace(each.second.group);
        }
        for (auto& [group, gate] : this->gates) {
            gate.set_databases(by_group[group], this->time.now(), unix_ms());
        }
        std::erase_if(this->routes, [&listed](auto const& each) {
            return listed.count(each.first) == 0;
        });
    }

    void pass_on(
        std::string const& group,
        std::string const& primary,
        upstream_response answer,
        instant deadline,
        response_handler done) {
        if (this->closed) {
            put_in_doubt(answer);
            done(std::move(answer));
            return;
        }
        std::uint64_t const number = ++this->last_number;
        std::optional<log_position> const position = answer.position;
        this->answers.emplace(
            number, waiting_answer{
                        primary, std::move(answer), std::move(done), this->time.now()});
        this->gates[group].add(number, {primary, position, deadline});
        this->step(group);
        this->step_later();
    }

    void step(std::string const& group) {
        acknowledgement_gate& gate = this->gates[group];
        instant const now = this->time.now();
        for (gate_decision const& each : gate.decide(now)) {
            this->answer(group, each);
        }
        for (std::string const& id : gate.replicas_to_ask(now)) {
            this->ask(group, id);
        }
    }

    void ask(std::string const& group, std::string const& id) {
        state_route& route = this->routes[id];
        if (std::exchange(route.is_asked, true)) {
            ++route.misses;
        }
        this->databases.ask_state(
            group, id, route.misses,
            [weak = this->weak_from_this(), group, id,
             asked_at = this->time.now()](std::optional<database_state> const& report) {
                auto const relay = weak.lock();
                if (!relay || relay->closed) {
                    return;
                }
                relay->routes[id].answered(report.has_value());
                relay->gates[group].reported(id, report, asked_at, relay->time.now());
                relay->step(group);
            });
    }

    void answer(std::string const& group, gate_decision const& decision) {
        auto found = this->answers.extract(decision.number);
        if (found.empty()) {
            return;
        }
        waiting_answer& waited = found.mapped();
        if (decision.verdict == gate_verdict::in_doubt) {
            put_in_doubt(waited.answer);
            this->log_doubt(group, waited);
        }
        waited.answer.confirmed_by = decision.replica;
        waited.done(std::move(waited.answer));
    }

    void log_doubt(std::string const& group, waiting_answer const& waited) const {
        observe::log_event(
            observe::log_level::warning, "commit_not_confirmed",
            {{"group", group},
             {"database", waited.primary},
             {"position", to_string(waited.answer.position)},
             {"waited_ms", to_seconds(this->time.now() - waited.since) * 1000}});
    }

    void step_later() {
        if (this->stepping || this->closed || this->answers.empty()) {
            return;
        }
        this->stepping = true;
        this->timer.expires_after(step_interval);
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const relay = weak.lock();
                if (!relay || failure) {
                    return;
                }
                relay->stepping = false;
                relay->step_all();
                relay->step_later();
            });
    }

    void step_all() {
        std::vector<std::string> busy;
        for (auto const& [group, gate] : this->gates) {
            if (gate.waiting() > 0) {
                busy.push_back(group);
            }
        }
        for (std::string const& group : busy) {
            this->step(group);
        }
    }

    void close() {
        this->closed = true;
        this->timer.cancel();
        auto waited = std::exchange(this->answers, {});
        for (auto& each : waited) {
            put_in_doubt(each.second.answer);
            each.second.done(std::move(each.second.answer));
        }
    }

    clock const& time;
    state_source& databases;
    boost::asio::steady_timer timer;
    std::map<std::string, acknowledgement_gate> gates; ///< By group.
    std::map<std::string, state_route> routes;         ///< By database.
    std::map<std::uint64_t, waiting_answer> answers;
    std::uint64_t last_number = 0;
    bool stepping = false;
    bool closed = false;
};

commit_relay::commit_relay(
    boost::asio::io_context& loop, clock const& clock, state_source& databases)
    : impl(std::make_shared<implementation>(loop, clock, databases)) {}

commit_relay::~commit_relay() {
    this->impl->closed = true;
    this->impl->timer.cancel();
}

void commit_relay::set_databases(
    std::map<std::string, registered_database, std::less<>> const& listed) {
    this->impl->set_databases(listed);
}

void commit_relay::pass_on(
    std::string const& group,
    std::string const& primary,
    upstream_response answer,
    instant deadline,
    response_handler done) {
    this->impl->pass_on(group, primary, std::move(answer), deadline, std::move(done));
}

std::size_t commit_relay::waiting() const {
    return this->impl->answers.size();
}

void commit_relay::close() {
    this->impl->close();
}

} // namespace persimmonpoint::engine
