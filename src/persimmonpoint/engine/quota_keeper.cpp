#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <persimmonpoint/core/limits/quota_lender.hpp>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/engine/quota_keeper.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::engine {

namespace {

/// Teams are lent in this many parts, each by one host.
constexpr std::size_t shard_count = 4;
/// A loan without an answer is given up.
constexpr duration loan_limit = std::chrono::milliseconds(60);
/// What a caller is told if no lender answered.
constexpr duration no_answer_wait = std::chrono::milliseconds(300);

std::size_t shard_of(std::string_view team) {
    return rendezvous_weight("team", team) % shard_count;
}

/// A team's quota as this host spends it.
struct team_quota {
    quota_bucket own;
    quota_part whole;
    /// Until then the lender has nothing; it isn't asked.
    instant refused_until{};
};

struct open_loan {
    std::string team;
    quota_keeper::handler done;
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
          timer(loop),
          loan_timer(loop),
          lenders(shard_count, quota_lender(rules)) {}

    void tick() {
        this->timer.expires_after(this->pace().endorse_interval);
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const keeper = weak.lock();
                if (keeper && !failure) {
                    keeper->endorse();
                    keeper->tick();
                }
            });
    }

    fleet_pace pace() const { return pace_for(this->view.host_count()); }

    void endorse() {
        std::vector<registered_host> const hosts = this->mesh->usable_hosts();
        instant const now = this->time.now();
        for (std::size_t i = 0; i < shard_count; ++i) {
            std::string const wanted =
                rank_owners("quota " + std::to_string(i), {}, hosts).front();
            this->endorse_shard(static_cast<std::uint32_t>(i), wanted, now);
        }
    }

    void endorse_shard(std::uint32_t index, std::string const& wanted, instant now) {
        lender_choice& choice = this->choices[index];
        std::string const before = choice.current();
        fleet_pace const pace = this->pace();
        auto const next = choice.choose(
            wanted, this->mesh->has_ended(before),
            this->mesh->heard_within(before, pace.lender_silence), pace.endorsement_life,
            now);
        if (next == lender_choice::step::wait) {
            return;
        }
        endorsement_message const message{
            index, next == lender_choice::step::withdraw,
            static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    pace.endorsement_life)
                    .count())};
        std::string const lender = choice.current();
        if (lender != this->self) {
            this->mesh->send(lender, message);
            return;
        }
        this->on_endorsement(this->self, message);
        if (message.withdrawn) {
            choice.released();
            this->endorse_shard(index, wanted, now);
        }
    }

    void on_endorsement(std::string const& host, endorsement_message const& message) {
        if (message.shard >= shard_count) {
            return;
        }
        quota_lender& lender = this->lenders[message.shard];
        if (message.withdrawn) {
            lender.withdrawn(host, this->time.now());
        } else {
            lender.endorsed(
                host, std::chrono::milliseconds(message.life_ms), this->time.now());
        }
    }

    void on_release(std::string const& host, release_message const& message) {
        bool const known =
            message.shard < shard_count && this->choices[message.shard].current() == host;
        if (!known) {
            return;
        }
        this->choices[message.shard].released();
        this->endorse();
    }

    void refresh() {
        instant const now = this->time.now();
        std::size_t const hosts = this->view.host_count();
        auto const& teams = this->view.configuration->teams;
        std::erase_if(this->quotas, [&](auto const& each) {
            bool const gone = teams.count(each.first) == 0;
            if (gone) {
                this->lenders[shard_of(each.first)].forget_team(each.first);
            }
            return gone;
        });
        for (quota_lender& each : this->lenders) {
            each.set_host_count(hosts);
        }
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
            this->lenders[shard_of(name)].set_limit(name, whole, now);
        }
    }

    void take(std::string_view team, handler done) {
        instant const now = this->time.now();
        auto const found = this->quotas.find(team);
        if (found == this->quotas.end()) {
            done(no_answer_wait);
            return;
        }
        duration const wait = found->second.own.take(now);
        if (wait <= duration(0)) {
            done(duration(0));
            return;
        }
        std::size_t const shard = shard_of(team);
        if (now < found->second.refused_until) {
            done(std::min(wait, found->second.refused_until - now));
        } else if (!this->choices[shard].may_borrow()) {
            done(std::min(wait, no_answer_wait));
        } else {
            this->borrow(found->first, shard, std::move(done));
        }
    }

    void borrow(std::string const& team, std::size_t shard, handler done) {
        borrow_message const message{++this->last_number, team};
        std::string const lender = this->choices[shard].current();
        this->loans.emplace(
            message.number, open_loan{team, std::move(done), this->time.now()});
        if (lender == this->self) {
            this->on_loan(this->on_borrow(message));
            return;
        }
        this->mesh->send(lender, message);
        this->watch_loans();
    }

    loan_message on_borrow(borrow_message const& message) {
        duration const wait =
            this->lenders[shard_of(message.team)].borrow(message.team, this->time.now());
        return loan_message{
            message.number,
            std::chrono::duration_cast<std::chrono::microseconds>(wait).count()};
    }

    void on_loan(loan_message const& message) {
        auto const found = this->loans.find(message.number);
        if (found == this->loans.end()) {
            return;
        }
        open_loan loan = std::move(found->second);
        this->loans.erase(found);
        duration const wait = std::chrono::microseconds(message.wait_us);
        auto const quota = this->quotas.find(loan.team);
        if (wait > duration(0) && quota != this->quotas.end()) {
            quota->second.refused_until =
                this->time.now() + std::min(wait, no_answer_wait);
        }
        loan.done(wait);
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
            each.done(no_answer_wait);
        }
        if (!this->loans.empty()) {
            this->watch_loans();
        }
    }

    clock const& time;
    fleet_view const& view;
    std::string self;
    quota_rules rules;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer loan_timer;
    peer_mesh* mesh = nullptr;
    std::map<std::string, team_quota, std::less<>> quotas;
    std::vector<quota_lender> lenders;
    std::array<lender_choice, shard_count> choices;
    std::map<std::uint64_t, open_loan> loans;
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
    this->impl->timer.cancel();
    this->impl->loan_timer.cancel();
}

void quota_keeper::start(peer_mesh& mesh) {
    this->impl->mesh = &mesh;
    this->impl->tick();
}

void quota_keeper::refresh() {
    this->impl->refresh();
}

void quota_keeper::take(std::string_view team, handler done) {
    this->impl->take(team, std::move(done));
}

void quota_keeper::on_endorsement(
    std::string const& host, endorsement_message const& message) {
    this->impl->on_endorsement(host, message);
}

void quota_keeper::on_release(std::string const& host, release_message const& message) {
    this->impl->on_release(host, message);
}

void quota_keeper::retire() {
    for (quota_lender& each : this->impl->lenders) {
        each.retire();
    }
}

loan_message quota_keeper::on_borrow(borrow_message const& message) {
    return this->impl->on_borrow(message);
}

void quota_keeper::on_loan(loan_message const& message) {
    this->impl->on_loan(message);
}

} // namespace persimmonpoint::engine
