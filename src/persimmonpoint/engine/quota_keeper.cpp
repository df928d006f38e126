#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <persimmonpoint/core/limits/quota_divider.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/engine/quota_keeper.hpp>

namespace persimmonpoint::engine {

namespace {

constexpr auto report_interval = std::chrono::milliseconds(200);
/// Teams are divided in this many parts, each with one divider.
constexpr std::size_t shard_count = 4;
/// Teams that ask for less than this aren't reported; their fixed part is enough.
constexpr double least_demand = 0.02;
/// A report without an answer may still be answered after this many more.
constexpr std::size_t most_open_reports = 10;

struct open_report {
    std::uint64_t number = 0;
    instant sent{};
    std::string divider;
};

struct shard {
    std::vector<open_report> open;
    std::uint64_t confirmed = 0;
    std::string divider;
};

std::size_t shard_of(std::string_view team) {
    return rendezvous_weight("team", team) % shard_count;
}

} // namespace

struct quota_keeper::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        boost::asio::io_context& loop,
        clock const& time,
        fleet_view const& view,
        std::string self)
        : time(time), view(view), self(std::move(self)), timer(loop), divider(time.now()) {}

    void tick() {
        this->timer.expires_after(report_interval);
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const keeper = weak.lock();
                if (keeper && !failure) {
                    keeper->report();
                    keeper->tick();
                }
            });
    }

    void report() {
        std::vector<registered_host> const hosts = this->mesh->usable_hosts();
        std::array<std::vector<team_demand>, shard_count> demands;
        instant const now = this->time.now();
        for (auto const& [team, share] : this->shares) {
            double const demand = share.demand(now);
            if (demand >= least_demand) {
                demands[shard_of(team)].push_back({team, demand});
            }
        }
        for (std::size_t i = 0; i < shard_count; ++i) {
            this->report_shard(i, std::move(demands[i]), hosts, now);
        }
    }

    void report_shard(
        std::size_t index,
        std::vector<team_demand> demands,
        std::vector<registered_host> const& hosts,
        instant now) {
        shard& part = this->shards[index];
        std::string const divider_name =
            rank_owners("quota " + std::to_string(index), {}, hosts).front();
        if (part.divider != divider_name) {
            if (!this->may_change_divider(part, now)) {
                return;
            }
            part.divider = divider_name;
            part.open.clear();
            part.confirmed = 0;
        }
        quota_report_message message{++this->last_number, part.confirmed, std::move(demands)};
        part.open.push_back({message.number, now, divider_name});
        if (part.open.size() > most_open_reports) {
            part.open.erase(part.open.begin());
        }
        if (divider_name == this->self) {
            this->on_grant(this->self, this->on_report(this->self, message));
        } else {
            this->mesh->send(divider_name, message);
        }
    }

    /// A host spends the grants of one divider at a time.
    bool may_change_divider(shard const& part, instant now) const {
        return part.divider.empty() ||
               std::all_of(part.open.begin(), part.open.end(), [now](open_report const& each) {
                   return now - each.sent >= quota_grant_life;
               });
    }

    quota_grant_message
    on_report(std::string const& host, quota_report_message const& message) {
        return quota_grant_message{
            message.number,
            this->divider.report(
                host, message.confirmed, message.number, message.demands, this->time.now())};
    }

    void on_grant(std::string const& host, quota_grant_message const& message) {
        instant const now = this->time.now();
        for (shard& part : this->shards) {
            auto const found = std::find_if(
                part.open.begin(), part.open.end(), [&](open_report const& each) {
                    return each.number == message.number && each.divider == host;
                });
            if (found == part.open.end() || message.number <= part.confirmed) {
                continue;
            }
            part.confirmed = message.number;
            for (team_grant const& each : message.grants) {
                auto const share = this->shares.find(each.team);
                if (share != this->shares.end()) {
                    share->second.set_grant(each.part, found->sent + quota_grant_life, now);
                }
            }
        }
    }

    void refresh() {
        instant const now = this->time.now();
        double const hosts =
            static_cast<double>(std::max<std::size_t>(this->view.hosts.size(), 1));
        this->divider.set_host_count(this->view.hosts.size());
        auto const& teams = this->view.configuration->teams;
        std::erase_if(this->shares, [&](auto const& each) {
            return teams.count(each.first) == 0;
        });
        for (auto const& [name, team] : teams) {
            quota_share& share = this->shares.try_emplace(name, now).first->second;
            share.set_fixed(
                {team.rate * fixed_rate_share / hosts, team.burst * fixed_burst_share / hosts},
                now);
            this->divider.set_limit(name, {team.rate, team.burst});
        }
    }

    duration take(std::string_view team) {
        auto const found = this->shares.find(team);
        return found == this->shares.end() ? duration(0) : found->second.take(this->time.now());
    }

    clock const& time;
    fleet_view const& view;
    std::string self;
    boost::asio::steady_timer timer;
    peer_mesh* mesh = nullptr;
    quota_divider divider;
    std::map<std::string, quota_share, std::less<>> shares;
    std::array<shard, shard_count> shards;
    std::uint64_t last_number = 0;
};

quota_keeper::quota_keeper(
    boost::asio::io_context& loop,
    clock const& clock,
    fleet_view const& view,
    std::string self)
    : impl(std::make_shared<implementation>(loop, clock, view, std::move(self))) {}

quota_keeper::~quota_keeper() {
    this->impl->timer.cancel();
}

void quota_keeper::start(peer_mesh& mesh) {
    this->impl->mesh = &mesh;
    this->impl->tick();
}

void quota_keeper::refresh() {
    this->impl->refresh();
}

duration quota_keeper::take(std::string_view team) {
    return this->impl->take(team);
}

quota_grant_message quota_keeper::on_report(
    std::string const& host, quota_report_message const& message) {
    return this->impl->on_report(host, message);
}

void quota_keeper::on_grant(
    std::string const& host, quota_grant_message const& message) {
    this->impl->on_grant(host, message);
}

} // namespace persimmonpoint::engine
