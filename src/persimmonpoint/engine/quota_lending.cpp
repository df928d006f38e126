#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/core/limits/quota_lender.hpp>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/engine/quota_lending.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::engine {

namespace {

/// Teams are lent in this many parts, each by one host.
constexpr std::size_t shard_count = 4;

/// From the start of a process. Where all were restarted, all endorse their lenders in
/// this time.
constexpr duration young_time = std::chrono::seconds(3);
/// Hosts that are linked to in case the lender can't be reached.
constexpr std::size_t spare_lenders = 2;

std::uint32_t to_milliseconds(duration time) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

struct quota_lending::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        boost::asio::io_context& loop,
        clock const& time,
        fleet_view const& view,
        std::string self,
        quota_rules const& rules,
        change_handler on_lender_changed)
        : time(time),
          view(view),
          self(std::move(self)),
          on_lender_changed(std::move(on_lender_changed)),
          timer(loop),
          lenders(shard_count, quota_lender(rules)) {
        for (quota_lender& each : this->lenders) {
            each.set_young_until(time.now() + young_time);
        }
    }

    void tick() {
        fleet_pace const pace = this->pace();
        this->timer.expires_after(std::min(pace.endorse_interval, pace.lender_search));
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const lending = weak.lock();
                if (lending && !failure) {
                    lending->look();
                    lending->tick();
                }
            });
    }

    /// Renews all endorsements at their interval, and looks for a lender where one is
    /// missing in between.
    void look() {
        instant const now = this->time.now();
        if (now >= this->next_renewal) {
            this->next_renewal = now + this->pace().endorse_interval;
            this->endorse();
        } else if (this->lacks_lender()) {
            this->follow();
        }
    }

    bool lacks_lender() const {
        duration const silence = this->pace().lender_silence;
        return std::any_of(
            this->choices.begin(), this->choices.end(),
            [this, silence](lender_choice const& each) {
                return !each.may_borrow() ||
                       !this->mesh->heard_within(each.current(), silence);
            });
    }

    fleet_pace pace() const { return pace_for(this->view.host_count()); }

    /// Hosts that may lend from now on.
    std::vector<registered_host> candidates() const {
        std::vector<registered_host> hosts = this->mesh->usable_hosts();
        if (this->leaving && hosts.size() > 1) {
            std::erase_if(
                hosts, [this](auto const& each) { return each.name == this->self; });
        }
        return hosts;
    }

    static std::vector<std::string>
    rank_lenders(std::uint32_t shard, std::span<registered_host const> hosts) {
        return rank_owners("quota " + std::to_string(shard), {}, hosts);
    }

    void endorse() {
        std::vector<registered_host> const hosts = this->candidates();
        instant const now = this->time.now();
        for (std::uint32_t i = 0; i < shard_count; ++i) {
            this->endorse_shard(i, rank_lenders(i, hosts), now);
        }
    }

    void follow() {
        std::vector<registered_host> const hosts = this->candidates();
        instant const now = this->time.now();
        for (std::uint32_t i = 0; i < shard_count; ++i) {
            std::vector<std::string> const ranked = rank_lenders(i, hosts);
            if (ranked.front() != this->choices[i].current()) {
                this->endorse_shard(i, ranked, now);
            }
        }
    }

    /// Whether the next ones can be reached shows by the time that the first one is given
    /// up.
    void link_to_lenders(std::span<std::string const> ranked) {
        for (std::string const& each :
             ranked.first(std::min(ranked.size(), 1 + spare_lenders))) {
            if (each != this->self && !this->mesh->is_linked(each)) {
                this->mesh->link_to(each);
            }
        }
    }

    void
    endorse_shard(std::uint32_t shard, std::span<std::string const> ranked, instant now) {
        std::string const& wanted = ranked.front();
        lender_choice& choice = this->choices[shard];
        std::string const before = choice.current();
        fleet_pace const pace = this->pace();
        lender_candidate const candidate{wanted, this->mesh->is_linked(wanted)};
        if (!candidate.linked) {
            this->link_to_lenders(ranked);
        }
        auto const next = choice.choose(
            candidate, this->mesh->has_stopped(before),
            this->mesh->heard_within(before, pace.lender_silence), pace.endorsement_life,
            now);
        if (next == lender_choice::step::wait) {
            return;
        }
        endorsement_message const message{
            shard, next == lender_choice::step::withdraw,
            to_milliseconds(pace.endorsement_life)};
        std::string const lender = choice.current();
        if (lender != this->self) {
            this->mesh->send(lender, message);
        } else {
            this->take_endorsement(this->self, message);
            if (message.withdrawn) {
                choice.released();
                this->endorse_shard(shard, ranked, now);
                return;
            }
        }
        if (lender != before) {
            this->on_lender_changed(shard);
        }
    }

    void take_endorsement(std::string const& host, endorsement_message const& message) {
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

    clock const& time;
    fleet_view const& view;
    std::string self;
    change_handler on_lender_changed;
    boost::asio::steady_timer timer;
    peer_mesh* mesh = nullptr;
    std::vector<quota_lender> lenders;
    std::array<lender_choice, shard_count> choices;
    instant next_renewal{};
    bool leaving = false;
};

quota_lending::quota_lending(
    boost::asio::io_context& loop,
    clock const& clock,
    fleet_view const& view,
    std::string self,
    quota_rules const& rules,
    change_handler on_lender_changed)
    : impl(std::make_shared<implementation>(
          loop, clock, view, std::move(self), rules, std::move(on_lender_changed))) {}

quota_lending::~quota_lending() {
    this->impl->timer.cancel();
}

void quota_lending::start(peer_mesh& mesh) {
    this->impl->mesh = &mesh;
    this->impl->tick();
}

std::size_t quota_lending::shard_of(std::string_view team) {
    return rendezvous_weight("team", team) % shard_count;
}

std::string_view quota_lending::lender_of(std::string_view team) const {
    lender_choice const& choice = this->impl->choices[shard_of(team)];
    return choice.may_borrow() ? std::string_view(choice.current()) : std::string_view();
}

void quota_lending::set_host_count(std::size_t hosts) {
    for (quota_lender& each : this->impl->lenders) {
        each.set_host_count(hosts);
    }
}

void quota_lending::set_limit(std::string_view team, quota_part whole) {
    this->impl->lenders[shard_of(team)].set_limit(team, whole, this->impl->time.now());
}

void quota_lending::forget_team(std::string_view team) {
    this->impl->lenders[shard_of(team)].forget_team(team);
}

void quota_lending::hosts_changed() {
    // None is linked yet while the host is being put together.
    if (this->impl->mesh != nullptr) {
        this->impl->follow();
    }
}

void quota_lending::retire() {
    this->impl->leaving = true;
    this->impl->endorse();
}

void quota_lending::on_endorsement(
    std::string const& host, endorsement_message const& message) {
    this->impl->take_endorsement(host, message);
}

void quota_lending::on_release(std::string const& host, release_message const& message) {
    bool const known = message.shard < shard_count &&
                       this->impl->choices[message.shard].current() == host;
    if (known) {
        this->impl->choices[message.shard].released();
        this->impl->endorse();
    }
}

loan_message quota_lending::on_borrow(borrow_message const& message) {
    quota_lender& lender = this->impl->lenders[shard_of(message.team)];
    duration const wait = lender.borrow(message.team, this->impl->time.now());
    return loan_message{
        message.number,
        std::chrono::duration_cast<std::chrono::microseconds>(wait).count()};
}

} // namespace persimmonpoint::engine
