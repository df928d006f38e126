#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <persimmonpoint/core/limits/quota_pacing.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/engine/quota_keeper.hpp>
#include <persimmonpoint/engine/quota_lending.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::engine {

namespace {

/// A loan without an answer is given up.
constexpr duration loan_limit = std::chrono::milliseconds(60);
/// What a caller is told if no lender answered.
constexpr duration no_answer_wait = std::chrono::milliseconds(300);
/// A host that leaves one lender for another has the new one in about this time.
constexpr duration lender_change_wait = std::chrono::milliseconds(15);

/// A team's quota as this host spends it.
struct team_quota {
    quota_bucket own;
    quota_part whole;
    /// Until then the lender has nothing; it isn't asked.
    instant refused_until{};
};

/// An operation that waits for its team's quota.
struct open_operation {
    std::string team;
    quota_keeper::handler done;
    instant since{};
    bool paced = false; ///< It has waited once: it is refused rather than wait again.
};

struct open_loan {
    open_operation operation;
    std::string lender;
    instant asked{};
};

} // namespace

struct quota_keeper::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        boost::asio::io_context& loop,
        clock const& time,
        fleet_view const& view,
        std::string self,
        quota_rules const& rules)
        : time(time),
          view(view),
          self(std::move(self)),
          rules(rules),
          loan_timer(loop),
          pacing_timer(loop),
          lending(loop, time, view, this->self, rules, [this](std::size_t shard) {
              this->forget_refusals(shard);
          }) {}

    /// What the lender before had no more of, the present one may have.
    void forget_refusals(std::size_t shard) {
        for (auto& [team, quota] : this->quotas) {
            if (quota_lending::shard_of(team) == shard) {
                quota.refused_until = instant();
            }
        }
    }

    void refresh() {
        instant const now = this->time.now();
        std::size_t const hosts = this->view.host_count();
        auto const& teams = this->view.configuration->teams;
        std::erase_if(this->quotas, [&](auto const& each) {
            bool const gone = teams.count(each.first) == 0;
            if (gone) {
                this->lending.forget_team(each.first);
            }
            return gone;
        });
        this->lending.set_host_count(hosts);
        for (auto const& [name, team] : teams) {
            quota_part const whole{team.rate, team.burst};
            team_quota const fresh{
                quota_bucket(0, now, this->rules.lower_delay), whole, {}};
            team_quota& quota = this->quotas.try_emplace(name, fresh).first->second;
            quota.own.set_part(
                split_quota(whole, hosts, this->rules).fixed, now,
                lowering_of(quota.whole, whole));
            quota.whole = whole;
            quota.refused_until = instant();
            this->lending.set_limit(name, whole);
        }
    }

    void take(open_operation operation) {
        instant const now = this->time.now();
        auto const found = this->quotas.find(operation.team);
        if (found == this->quotas.end()) {
            operation.done(no_answer_wait);
            return;
        }
        duration const wait = found->second.own.take(now);
        if (wait <= duration(0)) {
            operation.done(duration(0));
            return;
        }
        if (now < found->second.refused_until) {
            this->wait_or_refuse(
                std::move(operation), std::min(wait, found->second.refused_until - now));
        } else if (this->lending.lender_of(operation.team).empty()) {
            this->wait_for_lender(std::move(operation), std::min(wait, no_answer_wait));
        } else {
            this->borrow(std::move(operation));
        }
    }

    /// `wait`: what the caller is told if it can't wait here.
    void wait_for_lender(open_operation operation, duration wait) {
        duration const age = this->time.now() - operation.since;
        if (!this->pacing.may_wait_for_lender(operation.team, age)) {
            operation.done(wait);
            return;
        }
        this->pause(std::move(operation), lender_change_wait);
    }

    /// `wait`: the time until the operation may run, as far as is known.
    void wait_or_refuse(open_operation operation, duration wait) {
        if (operation.paced || !this->pacing.may_wait(operation.team, wait)) {
            operation.done(wait);
            return;
        }
        operation.paced = true;
        this->pause(std::move(operation), wait);
    }

    void pause(open_operation operation, duration wait) {
        std::uint64_t const number = ++this->last_number;
        this->pacing.add(operation.team, number, this->time.now() + wait);
        this->paced.emplace(number, std::move(operation));
        this->watch_pacing();
    }

    void watch_pacing() {
        auto const next = this->pacing.next_due();
        if (!next) {
            return;
        }
        this->pacing_timer.expires_after(std::max(*next - this->time.now(), duration(0)));
        this->pacing_timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const keeper = weak.lock();
                if (keeper && !failure) {
                    keeper->take_paced();
                }
            });
    }

    void take_paced() {
        for (std::uint64_t const number : this->pacing.take_due(this->time.now())) {
            auto const found = this->paced.find(number);
            open_operation operation = std::move(found->second);
            this->paced.erase(found);
            this->take(std::move(operation));
        }
        this->watch_pacing();
    }

    void borrow(open_operation operation) {
        borrow_message const message{++this->last_number, operation.team};
        std::string const lender(this->lending.lender_of(operation.team));
        this->loans.emplace(
            message.number, open_loan{std::move(operation), lender, this->time.now()});
        if (lender == this->self) {
            this->on_loan(this->lending.on_borrow(message));
            return;
        }
        this->mesh->send(lender, message);
        this->watch_loans();
    }

    void on_loan(loan_message const& message) {
        auto const found = this->loans.find(message.number);
        if (found == this->loans.end()) {
            return;
        }
        open_loan loan = std::move(found->second);
        this->loans.erase(found);
        duration const wait = std::chrono::microseconds(message.wait_us);
        if (wait <= duration(0)) {
            loan.operation.done(duration(0));
            return;
        }
        std::string const& team = loan.operation.team;
        auto const quota = this->quotas.find(team);
        bool const present = this->lending.lender_of(team) == loan.lender;
        if (present && quota != this->quotas.end()) {
            quota->second.refused_until =
                this->time.now() + std::min(wait, no_answer_wait);
        }
        if (present) {
            this->wait_or_refuse(std::move(loan.operation), wait);
        } else {
            this->wait_for_lender(std::move(loan.operation), lender_change_wait);
        }
    }

    void watch_loans() {
        if (std::exchange(this->watching, true)) {
            return;
        }
        this->loan_timer.expires_after(loan_limit / 2);
        this->loan_timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const keeper = weak.lock();
                if (keeper && !failure) {
                    keeper->watching = false;
                    keeper->expire_loans();
                }
            });
    }

    void expire_loans() {
        instant const now = this->time.now();
        std::vector<open_loan> expired;
        for (auto each = this->loans.begin(); each != this->loans.end();) {
            if (now - each->second.asked >= loan_limit) {
                expired.push_back(std::move(each->second));
                each = this->loans.erase(each);
            } else {
                ++each;
            }
        }
        for (open_loan& each : expired) {
            // The lender may have been lost, or be about to answer many at once.
            this->wait_for_lender(std::move(each.operation), no_answer_wait);
        }
        if (!this->loans.empty()) {
            this->watch_loans();
        }
    }

    clock const& time;
    fleet_view const& view;
    std::string self;
    quota_rules rules;
    boost::asio::steady_timer loan_timer;
    boost::asio::steady_timer pacing_timer;
    peer_mesh* mesh = nullptr;
    std::map<std::string, team_quota, std::less<>> quotas;
    std::map<std::uint64_t, open_loan> loans;
    quota_lending lending;
    quota_pacing pacing;
    std::map<std::uint64_t, open_operation> paced; ///< Those that `pacing` has.
    std::uint64_t last_number = 0;
    bool watching = false;
};

quota_keeper::quota_keeper(
    boost::asio::io_context& loop,
    clock const& clock,
    fleet_view const& view,
    std::string self,
    quota_rules const& rules)
    : impl(std::make_shared<implementation>(loop, clock, view, std::move(self), rules)) {}

quota_keeper::~quota_keeper() {
    this->impl->loan_timer.cancel();
    this->impl->pacing_timer.cancel();
}

void quota_keeper::start(peer_mesh& mesh) {
    this->impl->mesh = &mesh;
    this->impl->lending.start(mesh);
}

void quota_keeper::refresh() {
    this->impl->refresh();
}

void quota_keeper::hosts_changed() {
    this->impl->lending.hosts_changed();
}

void quota_keeper::take(std::string_view team, handler done) {
    this->impl->take(
        open_operation{std::string(team), std::move(done), this->impl->time.now()});
}

void quota_keeper::on_endorsement(
    std::string const& host, endorsement_message const& message) {
    this->impl->lending.on_endorsement(host, message);
}

void quota_keeper::on_release(std::string const& host, release_message const& message) {
    this->impl->lending.on_release(host, message);
}

void quota_keeper::retire() {
    this->impl->lending.retire();
}

loan_message quota_keeper::on_borrow(borrow_message const& message) {
    return this->impl->lending.on_borrow(message);
}

void quota_keeper::on_loan(loan_message const& message) {
    this->impl->on_loan(message);
}

} // namespace persimmonpoint::engine
