#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <persimmonpoint/core/membership/peer_health.hpp>
#include <persimmonpoint/engine/peer_exchanges.hpp>
#include <persimmonpoint/engine/peer_link.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/engine/peer_server.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <set>
#include <utility>

namespace persimmonpoint::engine {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(75);
/// A link without orders is given up after this time in a large fleet.
constexpr duration unused_limit = std::chrono::seconds(20);
constexpr duration reach_limit = std::chrono::milliseconds(250);

struct outgoing {
    registered_host host;
    peer_health health;
    std::shared_ptr<tcp::socket> dialling;
    std::unique_ptr<peer_link> link;
    std::vector<peer_message> unsent; ///< Until the link is there.
    peer_exchanges exchanges;
    instant last_alive{};
    instant last_used{};
    /// It left the list of hosts, by a planned stop or because another host could not
    /// reach it. Its link stays until it closes, for the work that it still does for
    /// callers of this host; it gets no new work.
    bool departed = false;

    bool usable() const { return !this->departed && this->health.usable(); }
};

} // namespace

struct peer_mesh::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        asio::io_context& loop,
        clock const& time,
        mesh_observer& observer,
        registered_host self)
        : loop(loop),
          time(time),
          observer(observer),
          self(std::move(self)),
          ticker(loop),
          news(time, observer),
          server(loop, time, observer, this->news, this->self.address) {}

    void set_hosts(std::span<registered_host const> hosts) {
        std::set<std::string> names;
        for (registered_host const& each : hosts) {
            if (each.name == this->self.name) {
                continue;
            }
            names.insert(each.name);
            auto const found = this->peers.find(each.name);
            if (found != this->peers.end() &&
                found->second.host.address != each.address) {
                this->give_up(found->second);
                this->peers.erase(found);
            }
            this->peers[each.name].host = each;
            this->peers[each.name].departed = false;
        }
        for (auto each = this->peers.begin(); each != this->peers.end();) {
            if (names.count(each->first) > 0) {
                ++each;
                continue;
            }
            if (each->second.link && each->second.health.connected()) {
                each->second.departed = true;
                ++each;
                continue;
            }
            this->give_up(each->second);
            each = this->peers.erase(each);
        }
        this->pace = pace_for(this->peers.size() + 1);
        this->news.set_pace(this->pace);
        auto const chosen = choose_neighbours(
            this->self.name, std::vector<std::string>(names.begin(), names.end()));
        this->neighbours = std::set<std::string>(chosen.begin(), chosen.end());
        this->observer.on_peers_changed();
    }

    /// Hosts that this one keeps a link to though it has no work for them.
    bool is_neighbour(std::string const& name) const {
        return this->pace.fully_linked || this->neighbours.count(name) > 0;
    }

    void tick() {
        this->ticker.expires_after(tick_interval);
        this->ticker.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const mesh = weak.lock();
                if (mesh && !failure && !mesh->closed) {
                    mesh->look();
                    mesh->tick();
                }
            });
    }

    void look() {
        instant const now = this->time.now();
        this->retired.clear();
        this->server.look();
        std::vector<std::string> names;
        for (auto const& each : this->peers) {
            names.push_back(each.first);
        }
        for (std::string const& name : names) {
            auto const found = this->peers.find(name);
            if (found != this->peers.end()) {
                this->look_at(found->second, now);
            }
        }
        std::erase_if(this->peers, [](auto const& each) {
            return each.second.departed && !each.second.link;
        });
    }

    void look_at(outgoing& peer, instant now) {
        peer.exchanges.expire(now);
        if (peer.exchanges.empty()) {
            peer.health.answered();
        }
        if (peer.health.overdue(this->pace, now)) {
            this->lose(peer, "silent");
            return;
        }
        bool const wanted = !peer.departed && (this->is_neighbour(peer.host.name) ||
                                               now - peer.last_used < unused_limit);
        if (wanted && peer.health.may_connect(now)) {
            this->dial(peer, now);
            return;
        }
        duration const heartbeat = peer.health.awaited() ? this->pace.awaited_heartbeat
                                                         : this->pace.idle_heartbeat;
        if (now - peer.last_alive >= heartbeat) {
            this->say_alive(peer, now);
        }
    }

    void say_alive(outgoing& peer, instant now) {
        if (peer.link) {
            peer.last_alive = now;
            peer.link->send(this->observer.own_state());
        }
    }

    /// An answer is awaited from now on: the link is watched closely.
    void await(outgoing& peer) {
        instant const now = this->time.now();
        peer.health.asked(now);
        if (now - peer.last_alive >= this->pace.awaited_heartbeat) {
            this->say_alive(peer, now);
        }
    }

    void tell_news() {
        alive_message const state = this->observer.own_state();
        for (auto& each : this->peers) {
            if (each.second.link && this->is_neighbour(each.first)) {
                each.second.link->send(state);
            }
        }
        if (this->pace.fully_linked) {
            this->server.tell(state);
        }
    }

    void dial(outgoing& peer, instant now) {
        auto const endpoint = net::parse_endpoint(peer.host.address);
        if (!endpoint) {
            peer.health.lost(now);
            return;
        }
        peer.health.connecting(now);
        peer.dialling = std::make_shared<tcp::socket>(this->loop);
        peer.dialling->async_connect(
            *endpoint, [weak = this->weak_from_this(), name = peer.host.name,
                        socket = peer.dialling](boost::system::error_code failure) {
                auto const mesh = weak.lock();
                if (mesh) {
                    mesh->dialled(name, socket, failure);
                }
            });
    }

    void dialled(
        std::string const& name,
        std::shared_ptr<tcp::socket> const& socket,
        boost::system::error_code failure) {
        auto const found = this->peers.find(name);
        if (found == this->peers.end() || found->second.dialling != socket) {
            return;
        }
        outgoing& peer = found->second;
        peer.dialling.reset();
        if (failure) {
            this->lose(peer, failure.message());
            if (failure == asio::error::connection_refused) {
                peer.health.ended();
            }
            return;
        }
        peer.link = std::make_unique<peer_link>(std::move(*socket));
        peer.link->start(
            [this, name](peer_message message) {
                this->take_outgoing(name, std::move(message));
            },
            [this, name] {
                auto const broken = this->peers.find(name);
                if (broken == this->peers.end()) {
                    return;
                }
                this->lose(broken->second, "closed by the other side");
                if (!broken->second.departed) {
                    // Whether the process is gone shows at once.
                    this->dial(broken->second, this->time.now());
                }
            },
            [this, name](std::size_t bytes) {
                auto const from = this->peers.find(name);
                if (from != this->peers.end()) {
                    from->second.health.receiving(this->time.now());
                    this->news.receiving(bytes);
                }
            });
        peer.link->send(hello_message{peer_protocol_version, this->self.name});
        if (auto const fences = this->observer.own_fences()) {
            peer.link->send(*fences);
        }
        peer.last_alive = this->time.now();
        peer.link->send(this->observer.own_state());
        for (peer_message const& each : std::exchange(peer.unsent, {})) {
            peer.link->send(each);
        }
    }

    void take_outgoing(std::string const& name, peer_message message) {
        auto const found = this->peers.find(name);
        if (found == this->peers.end()) {
            return;
        }
        outgoing& peer = found->second;
        bool const was_usable = peer.health.usable();
        bool const was_connected = peer.health.connected();
        peer.health.heard(this->time.now());
        if (!was_connected) {
            observe::log_event(
                observe::log_level::info, "peer_connected", {{"peer", name}});
        }
        if (auto* const answer = std::get_if<answer_message>(&message)) {
            peer.exchanges.take(std::move(*answer));
        } else if (auto* const alive = std::get_if<alive_message>(&message)) {
            peer.health.leaving(alive->leaving);
            auto const wanted = this->news.heard(*alive);
            if (wanted && peer.link) {
                peer.link->send(news_request_message{*wanted});
            }
        } else if (auto* const request = std::get_if<news_request_message>(&message)) {
            for (peer_message const& news : this->news.newer_than(request->versions)) {
                if (peer.link) {
                    peer.link->send(news);
                }
            }
        } else if (auto* const loan = std::get_if<loan_message>(&message)) {
            this->observer.on_loan(*loan);
        } else if (auto* const release = std::get_if<release_message>(&message)) {
            this->observer.on_release(name, *release);
        } else if (auto* const reach = std::get_if<reach_answer_message>(&message)) {
            peer.exchanges.take(*reach);
        } else if (auto* const fence = std::get_if<fence_message>(&message)) {
            this->take_fence(name, *fence);
        } else if (auto* const done = std::get_if<fence_answer_message>(&message)) {
            this->observer.on_fence_answer(name, *done);
        } else {
            this->news.take(std::move(message));
        }
        auto const again = this->peers.find(name);
        if (again != this->peers.end() && again->second.health.usable() != was_usable) {
            this->observer.on_peers_changed();
        } else if (!was_connected) {
            this->observer.on_peer_linked();
        }
    }

    void take_fence(std::string const& name, fence_message const& fence) {
        this->observer.on_fence(
            name, fence,
            [weak = this->weak_from_this(), name,
             number = fence.number](std::vector<told_commit> acknowledged) {
                auto const mesh = weak.lock();
                if (!mesh) {
                    return;
                }
                auto const found = mesh->peers.find(name);
                if (found != mesh->peers.end() && found->second.link) {
                    found->second.link->send(
                        fence_answer_message{number, std::move(acknowledged)});
                }
            });
    }

    /// Drops the link; what was sent over it has no known outcome.
    void lose(outgoing& peer, std::string_view reason) {
        bool const was_usable = peer.health.usable();
        peer.health.lost(this->time.now());
        if (was_usable) {
            observe::log_event(
                observe::log_level::warning, "peer_lost",
                {{"peer", peer.host.name},
                 {"reason", reason},
                 {"orders_open", peer.exchanges.open_orders()}});
        }
        this->give_up(peer);
        if (was_usable) {
            this->observer.on_peers_changed();
        }
    }

    void give_up(outgoing& peer) {
        bool const was_linked = peer.link != nullptr;
        if (peer.link) {
            peer.link->close();
            this->retired.push_back(std::move(peer.link));
        }
        if (peer.dialling) {
            boost::system::error_code ignored;
            peer.dialling->close(ignored);
            peer.dialling.reset();
        }
        peer.unsent.clear();
        // The handlers may use the mesh; they run once it is consistent again.
        auto const open = std::make_shared<peer_exchanges>();
        std::swap(*open, peer.exchanges);
        asio::post(this->loop, [open, was_linked] { open->drop(was_linked); });
    }

    bool send(outgoing& peer, peer_message const& message) {
        instant const now = this->time.now();
        peer.last_used = now;
        if (peer.link) {
            peer.link->send(message);
            return true;
        }
        if (!peer.health.usable()) {
            return false;
        }
        peer.unsent.push_back(message);
        if (peer.health.may_connect(now)) {
            this->dial(peer, now);
        }
        return true;
    }

    asio::io_context& loop;
    clock const& time;
    mesh_observer& observer;
    registered_host self;
    asio::steady_timer ticker;
    std::map<std::string, outgoing, std::less<>> peers;
    /// Links that were given up, possibly from within their own handlers.
    std::vector<std::unique_ptr<peer_link>> retired;
    std::uint64_t last_number = 0;
    fleet_pace pace = pace_for(1);
    std::set<std::string> neighbours;
    peer_news news;
    peer_server server;
    bool closed = false;
};

peer_mesh::peer_mesh(
    asio::io_context& loop,
    clock const& clock,
    mesh_observer& observer,
    registered_host self)
    : impl(std::make_shared<implementation>(loop, clock, observer, std::move(self))) {
    this->impl->tick();
}

peer_mesh::~peer_mesh() {
    this->close();
}

void peer_mesh::set_hosts(std::span<registered_host const> hosts) {
    this->impl->set_hosts(hosts);
}

void peer_mesh::set_seeds(std::span<std::string const> addresses) {
    std::vector<registered_host> hosts;
    for (std::string const& each : addresses) {
        if (each != this->impl->self.address) {
            hosts.push_back(registered_host{"seed " + each, each, {}});
        }
    }
    this->impl->set_hosts(hosts);
}

std::vector<registered_host> peer_mesh::usable_hosts() const {
    std::vector<registered_host> hosts = {this->impl->self};
    for (auto const& each : this->impl->peers) {
        if (each.second.usable()) {
            hosts.push_back(each.second.host);
        }
    }
    return hosts;
}

bool peer_mesh::is_usable(std::string_view host) const {
    auto const found = this->impl->peers.find(host);
    return host == this->impl->self.name ||
           (found != this->impl->peers.end() && found->second.usable());
}

bool peer_mesh::has_ended(std::string_view host) const {
    if (host == this->impl->self.name) {
        return false;
    }
    auto const found = this->impl->peers.find(host);
    return found == this->impl->peers.end() || found->second.health.has_ended();
}

bool peer_mesh::has_stopped(std::string_view host) const {
    if (host == this->impl->self.name) {
        return false;
    }
    auto const found = this->impl->peers.find(host);
    return found == this->impl->peers.end() || found->second.health.has_stopped();
}

bool peer_mesh::heard_within(std::string_view host, duration age) const {
    if (host == this->impl->self.name) {
        return true;
    }
    auto const found = this->impl->peers.find(host);
    return found != this->impl->peers.end() &&
           found->second.health.heard_within(age, this->impl->time.now());
}

std::vector<std::string> peer_mesh::lost_hosts(duration age) const {
    std::vector<std::string> names;
    instant const now = this->impl->time.now();
    for (auto const& each : this->impl->peers) {
        if (each.second.health.lost_for(now) >= age) {
            names.push_back(each.first);
        }
    }
    return names;
}

bool peer_mesh::hears_neighbours() const {
    return std::all_of(
        this->impl->peers.begin(), this->impl->peers.end(), [this](auto const& each) {
            outgoing const& peer = each.second;
            return peer.departed || !this->impl->is_neighbour(each.first) ||
                   peer.health.connected() || peer.health.has_stopped();
        });
}

bool peer_mesh::hears_all(duration age) const {
    if (!this->impl->pace.fully_linked) {
        return true;
    }
    instant const now = this->impl->time.now();
    return std::all_of(
        this->impl->peers.begin(), this->impl->peers.end(), [&](auto const& each) {
            outgoing const& peer = each.second;
            return peer.departed || peer.health.has_stopped() ||
                   peer.health.heard_within(age, now);
        });
}

std::vector<fence_partner> peer_mesh::fence_partners() const {
    std::vector<fence_partner> partners;
    for (auto const& [name, peer] : this->impl->peers) {
        bool const is_linked = peer.health.connected();
        bool const counts =
            this->impl->pace.fully_linked ? !peer.health.has_stopped() : is_linked;
        if (counts && !peer.departed) {
            partners.push_back({name, is_linked});
        }
    }
    return partners;
}

bool peer_mesh::is_linked(std::string_view host) const {
    auto const found = this->impl->peers.find(host);
    return host == this->impl->self.name ||
           (found != this->impl->peers.end() && found->second.health.connected());
}

void peer_mesh::link_to(std::string_view host) {
    auto const found = this->impl->peers.find(host);
    if (found == this->impl->peers.end()) {
        return;
    }
    instant const now = this->impl->time.now();
    found->second.last_used = now;
    if (found->second.health.may_connect(now)) {
        this->impl->dial(found->second, now);
    }
}

std::vector<std::string> peer_mesh::connected_hosts() const {
    std::vector<std::string> names;
    for (auto const& each : this->impl->peers) {
        if (each.second.health.connected()) {
            names.push_back(each.first);
        }
    }
    return names;
}

void peer_mesh::submit(
    std::string const& host, upstream_request order, response_handler done) {
    auto const found = this->impl->peers.find(host);
    if (found == this->impl->peers.end()) {
        done(no_link());
        return;
    }
    outgoing& peer = found->second;
    std::uint64_t const number = ++this->impl->last_number;
    if (!this->impl->send(peer, order_message{number, std::move(order)})) {
        done(no_link());
        return;
    }
    peer.exchanges.add_order(number, std::move(done));
    this->impl->await(peer);
}

void peer_mesh::send(std::string const& host, peer_message const& message) {
    auto const found = this->impl->peers.find(host);
    if (found != this->impl->peers.end()) {
        this->impl->send(found->second, message);
    }
}

void peer_mesh::broadcast(peer_message const& message) {
    for (auto& each : this->impl->peers) {
        if (each.second.link) {
            each.second.link->send(message);
        }
    }
}

void peer_mesh::ask_reach(
    std::string const& host, std::string const& database, reach_handler done) {
    auto const found = this->impl->peers.find(host);
    if (found == this->impl->peers.end()) {
        done(reach_answer::none);
        return;
    }
    std::uint64_t const number = ++this->impl->last_number;
    if (!this->impl->send(found->second, reach_query_message{number, database})) {
        done(reach_answer::none);
        return;
    }
    found->second.exchanges.add_reach(
        number, this->impl->time.now() + reach_limit, std::move(done));
    this->impl->await(found->second);
}

void peer_mesh::tell_all(peer_message const& message) {
    this->broadcast(message);
    this->impl->server.tell(message);
}

void peer_mesh::announce() {
    alive_message const state = this->impl->observer.own_state();
    this->tell_all(state);
}

void peer_mesh::tell_news() {
    this->impl->tell_news();
}

std::size_t peer_mesh::unsent_responses() const {
    return this->impl->server.unsent_links();
}

void peer_mesh::close() {
    if (std::exchange(this->impl->closed, true)) {
        return;
    }
    this->impl->server.close();
    this->impl->ticker.cancel();
    for (auto& each : this->impl->peers) {
        this->impl->give_up(each.second);
    }
}

} // namespace persimmonpoint::engine
