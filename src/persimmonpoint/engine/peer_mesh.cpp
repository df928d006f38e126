#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <persimmonpoint/core/membership/peer_health.hpp>
#include <persimmonpoint/engine/peer_link.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <set>
#include <utility>

namespace persimmonpoint::engine {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(75);
/// An incoming link that is silent for so long is closed.
constexpr duration incoming_silence_limit = std::chrono::milliseconds(1500);
/// A link without orders is given up after this time in a large fleet.
constexpr duration unused_limit = std::chrono::seconds(20);
constexpr duration reach_limit = std::chrono::milliseconds(250);

work_answer link_lost() {
    work_answer answer;
    answer.outcome = order_outcome::unknown;
    answer.refusal = order_refusal::unreachable;
    return answer;
}

work_answer no_link() {
    work_answer answer;
    answer.refusal = order_refusal::unreachable;
    return answer;
}

struct reach_waiter {
    std::function<void(bool)> done;
    instant deadline;
};

struct outgoing {
    registered_host host;
    peer_health health;
    std::shared_ptr<tcp::socket> dialling;
    std::unique_ptr<peer_link> link;
    std::vector<peer_message> unsent; ///< Until the link is there.
    std::map<std::uint64_t, answer_handler> orders;
    std::map<std::uint64_t, reach_waiter> reach;
    instant last_alive{};
    instant last_used{};
};

struct incoming {
    std::unique_ptr<peer_link> link;
    std::string host;
    instant heard{};
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
          acceptor(loop) {}

    void listen() {
        auto const endpoint = net::parse_endpoint(this->self.address);
        if (!endpoint) {
            throw std::invalid_argument(
                "peers.address is no address: " + this->self.address);
        }
        this->acceptor.open(endpoint->protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(*endpoint);
        this->acceptor.listen();
        this->accept();
        this->tick();
    }

    // Incoming links

    void accept() {
        this->acceptor.async_accept(
            [weak = this->weak_from_this()](
                boost::system::error_code failure, tcp::socket socket) {
                auto const self = weak.lock();
                if (!self || self->closed) {
                    return;
                }
                if (!failure) {
                    self->accepted(std::move(socket));
                }
                self->accept();
            });
    }

    void accepted(tcp::socket socket) {
        order_source const source = ++this->last_source;
        incoming& made = this->callers[source];
        made.link = std::make_unique<peer_link>(std::move(socket));
        made.heard = this->time.now();
        made.link->start(
            [this, source](peer_message message) {
                this->take_incoming(source, std::move(message));
            },
            [this, source] { this->incoming_gone(source); });
    }

    void incoming_gone(order_source source) {
        auto const found = this->callers.find(source);
        if (found == this->callers.end()) {
            return;
        }
        this->retired.push_back(std::move(found->second.link));
        this->callers.erase(found);
        this->observer.on_source_gone(source);
    }

    void reply(order_source source, peer_message const& message) {
        auto const found = this->callers.find(source);
        if (found != this->callers.end()) {
            found->second.link->send(message);
        }
    }

    void take_incoming(order_source source, peer_message message) {
        auto const found = this->callers.find(source);
        if (found == this->callers.end()) {
            return;
        }
        incoming& from = found->second;
        from.heard = this->time.now();
        if (auto* const hello = std::get_if<hello_message>(&message)) {
            from.host = hello->host;
            if (hello->protocol != peer_protocol_version) {
                this->incoming_gone(source);
            }
        } else if (auto* const order = std::get_if<order_message>(&message)) {
            this->take_order(source, std::move(*order));
        } else if (auto* const alive = std::get_if<alive_message>(&message)) {
            this->reply(source, this->observer.own_state());
            if (auto const wanted = this->news_to_ask(*alive)) {
                this->reply(source, news_request_message{*wanted});
            }
        } else if (auto* const request = std::get_if<news_request_message>(&message)) {
            for (peer_message const& news : this->news_since(request->versions)) {
                this->reply(source, news);
            }
        } else if (auto* const backing = std::get_if<endorsement_message>(&message)) {
            this->observer.on_endorsement(from.host, *backing);
            if (backing->withdrawn) {
                this->reply(source, release_message{backing->shard});
            }
        } else if (auto* const borrow = std::get_if<borrow_message>(&message)) {
            this->reply(source, this->observer.on_borrow(*borrow));
        } else if (auto* const query = std::get_if<reach_query_message>(&message)) {
            this->observer.on_reach_query(
                query->database, [weak = this->weak_from_this(), source,
                                  number = query->number](bool reached) {
                    if (auto const mesh = weak.lock()) {
                        mesh->reply(source, reach_answer_message{number, reached});
                    }
                });
        } else {
            this->take_news(std::move(message));
        }
    }

    void take_order(order_source source, order_message message) {
        this->observer.on_order(
            std::move(message.order), source,
            [weak = this->weak_from_this(), source,
             number = message.number](work_answer answer) {
                if (auto const mesh = weak.lock()) {
                    mesh->reply(source, answer_message{number, std::move(answer)});
                }
            });
    }

    void take_news(peer_message message) {
        if (auto* const configuration = std::get_if<configuration_message>(&message)) {
            this->observer.on_configuration(std::move(*configuration));
        } else if (auto* const directory = std::get_if<directory_message>(&message)) {
            this->observer.on_directory(std::move(*directory));
        } else if (auto* const hosts = std::get_if<hosts_message>(&message)) {
            this->observer.on_hosts(std::move(*hosts));
        } else if (auto* const leader = std::get_if<leader_message>(&message)) {
            this->observer.on_leader(*leader);
        }
    }

    std::optional<news_versions> news_to_ask(alive_message const& theirs) {
        news_desk::patience store;
        if (this->observer.reaches_store()) {
            store = {this->pace.store_patience, this->pace.hosts_patience};
        }
        return this->news.ask(
            this->observer.own_state().versions, theirs.versions, store,
            this->time.now());
    }

    std::vector<peer_message> news_since(news_versions const& theirs) {
        news_versions const mine = this->observer.own_state().versions;
        std::vector<peer_message> newer;
        if (mine.configuration > theirs.configuration) {
            newer.emplace_back(this->observer.own_configuration());
        }
        if (mine.databases > theirs.databases) {
            newer.emplace_back(this->observer.own_directory());
        }
        if (mine.hosts > theirs.hosts) {
            newer.emplace_back(this->observer.own_hosts());
        }
        return newer;
    }

    // Outgoing links

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
        }
        for (auto each = this->peers.begin(); each != this->peers.end();) {
            if (names.count(each->first) > 0) {
                ++each;
                continue;
            }
            this->give_up(each->second);
            each = this->peers.erase(each);
        }
        this->pace = pace_for(this->peers.size() + 1);
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
        std::vector<order_source> silent;
        for (auto const& [source, from] : this->callers) {
            if (now - from.heard > incoming_silence_limit) {
                silent.push_back(source);
            }
        }
        for (order_source const source : silent) {
            this->incoming_gone(source);
        }
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
    }

    void look_at(outgoing& peer, instant now) {
        this->expire_reach(peer, now);
        if (peer.orders.empty() && peer.reach.empty()) {
            peer.health.answered();
        }
        if (peer.health.overdue(this->pace, now)) {
            this->lose(peer, "silent");
            return;
        }
        bool const wanted =
            this->is_neighbour(peer.host.name) || now - peer.last_used < unused_limit;
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
        if (!this->pace.fully_linked) {
            return;
        }
        for (auto& each : this->callers) {
            each.second.link->send(state);
        }
    }

    void expire_reach(outgoing& peer, instant now) {
        std::vector<std::function<void(bool)>> expired;
        for (auto each = peer.reach.begin(); each != peer.reach.end();) {
            if (each->second.deadline <= now) {
                expired.push_back(std::move(each->second.done));
                each = peer.reach.erase(each);
            } else {
                ++each;
            }
        }
        for (auto const& each : expired) {
            each(false);
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
                if (broken != this->peers.end()) {
                    this->lose(broken->second, "closed by the other side");
                    // Whether the process is gone shows at once.
                    this->dial(broken->second, this->time.now());
                }
            });
        peer.link->send(hello_message{peer_protocol_version, this->self.name});
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
            this->take_answer(peer, std::move(*answer));
        } else if (auto* const alive = std::get_if<alive_message>(&message)) {
            peer.health.leaving(alive->leaving);
            auto const wanted = this->news_to_ask(*alive);
            if (wanted && peer.link) {
                peer.link->send(news_request_message{*wanted});
            }
        } else if (auto* const request = std::get_if<news_request_message>(&message)) {
            for (peer_message const& news : this->news_since(request->versions)) {
                if (peer.link) {
                    peer.link->send(news);
                }
            }
        } else if (auto* const loan = std::get_if<loan_message>(&message)) {
            this->observer.on_loan(*loan);
        } else if (auto* const release = std::get_if<release_message>(&message)) {
            this->observer.on_release(name, *release);
        } else if (auto* const reach = std::get_if<reach_answer_message>(&message)) {
            auto const waiter = peer.reach.find(reach->number);
            if (waiter != peer.reach.end()) {
                auto const done = std::move(waiter->second.done);
                peer.reach.erase(waiter);
                done(reach->reached);
            }
        } else {
            this->take_news(std::move(message));
        }
        auto const again = this->peers.find(name);
        if (again != this->peers.end() && again->second.health.usable() != was_usable) {
            this->observer.on_peers_changed();
        }
    }

    void take_answer(outgoing& peer, answer_message message) {
        auto const found = peer.orders.find(message.number);
        if (found == peer.orders.end()) {
            return;
        }
        answer_handler const done = std::move(found->second);
        peer.orders.erase(found);
        done(std::move(message.answer));
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
                 {"orders_open", peer.orders.size()}});
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
        auto const orders = std::exchange(peer.orders, {});
        auto const reach = std::exchange(peer.reach, {});
        // The handlers may use the mesh; they run once it is consistent again.
        asio::post(this->loop, [orders, reach, was_linked] {
            for (auto const& each : orders) {
                each.second(was_linked ? link_lost() : no_link());
            }
            for (auto const& each : reach) {
                each.second.done(false);
            }
        });
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
    tcp::acceptor acceptor;
    std::map<std::string, outgoing, std::less<>> peers;
    std::map<order_source, incoming> callers;
    /// Links that were given up, possibly from within their own handlers.
    std::vector<std::unique_ptr<peer_link>> retired;
    order_source last_source = 0;
    std::uint64_t last_number = 0;
    fleet_pace pace = pace_for(1);
    std::set<std::string> neighbours;
    news_desk news;
    bool closed = false;
};

peer_mesh::peer_mesh(
    asio::io_context& loop,
    clock const& clock,
    mesh_observer& observer,
    registered_host self)
    : impl(std::make_shared<implementation>(loop, clock, observer, std::move(self))) {
    this->impl->listen();
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
        if (each.second.health.usable()) {
            hosts.push_back(each.second.host);
        }
    }
    return hosts;
}

bool peer_mesh::is_usable(std::string_view host) const {
    auto const found = this->impl->peers.find(host);
    return host == this->impl->self.name ||
           (found != this->impl->peers.end() && found->second.health.usable());
}

bool peer_mesh::has_ended(std::string_view host) const {
    if (host == this->impl->self.name) {
        return false;
    }
    auto const found = this->impl->peers.find(host);
    return found == this->impl->peers.end() || found->second.health.has_ended();
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

std::vector<std::string> peer_mesh::connected_hosts() const {
    std::vector<std::string> names;
    for (auto const& each : this->impl->peers) {
        if (each.second.health.connected()) {
            names.push_back(each.first);
        }
    }
    return names;
}

void peer_mesh::submit(std::string const& host, work_order order, answer_handler done) {
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
    peer.orders.emplace(number, std::move(done));
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
    std::string const& host,
    std::string const& database,
    std::function<void(bool)> done) {
    auto const found = this->impl->peers.find(host);
    if (found == this->impl->peers.end()) {
        done(false);
        return;
    }
    std::uint64_t const number = ++this->impl->last_number;
    if (!this->impl->send(found->second, reach_query_message{number, database})) {
        done(false);
        return;
    }
    found->second.reach.emplace(
        number, reach_waiter{std::move(done), this->impl->time.now() + reach_limit});
    this->impl->await(found->second);
}

void peer_mesh::announce() {
    alive_message const state = this->impl->observer.own_state();
    this->broadcast(state);
    for (auto& each : this->impl->callers) {
        each.second.link->send(state);
    }
}

void peer_mesh::tell_news() {
    this->impl->tell_news();
}

void peer_mesh::close() {
    if (std::exchange(this->impl->closed, true)) {
        return;
    }
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
    this->impl->ticker.cancel();
    for (auto& each : this->impl->peers) {
        this->impl->give_up(each.second);
    }
    this->impl->callers.clear();
}

} // namespace persimmonpoint::engine
