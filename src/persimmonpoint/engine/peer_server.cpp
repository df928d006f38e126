#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <persimmonpoint/engine/peer_link.hpp>
#include <persimmonpoint/engine/peer_server.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <stdexcept>
#include <utility>

namespace persimmonpoint::engine {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A link that is silent for so long is closed.
constexpr duration silence_limit = std::chrono::milliseconds(1500);

struct incoming {
    std::unique_ptr<peer_link> link;
    std::string host;
    instant heard{};
};

} // namespace

struct peer_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        asio::io_context& loop,
        clock const& time,
        mesh_observer& observer,
        peer_news& news)
        : time(time), observer(observer), news(news), acceptor(loop) {}

    void listen(std::string_view address) {
        auto const endpoint = net::parse_endpoint(address);
        if (!endpoint) {
            throw std::invalid_argument(
                "peers.address is no address: " + std::string(address));
        }
        this->acceptor.open(endpoint->protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(*endpoint);
        this->acceptor.listen();
        this->accept();
    }

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
            [this, source] { this->incoming_gone(source); },
            [this, source](std::size_t bytes) {
                auto const from = this->callers.find(source);
                if (from != this->callers.end()) {
                    from->second.heard = this->time.now();
                    this->news.receiving(bytes);
                }
            });
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
            } else if (auto const fences = this->observer.own_fences()) {
                this->reply(source, *fences);
            }
        } else if (auto* const order = std::get_if<order_message>(&message)) {
            this->take_order(source, std::move(*order));
        } else if (auto* const alive = std::get_if<alive_message>(&message)) {
            this->reply(source, this->observer.own_state());
            if (auto const wanted = this->news.heard(*alive)) {
                this->reply(source, news_request_message{*wanted});
            }
        } else if (auto* const request = std::get_if<news_request_message>(&message)) {
            for (peer_message const& news : this->news.newer_than(request->versions)) {
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
                    if (auto const server = weak.lock()) {
                        server->reply(source, reach_answer_message{number, reached});
                    }
                });
        } else if (auto* const fence = std::get_if<fence_message>(&message)) {
            this->observer.on_fence(
                from.host, *fence,
                [weak = this->weak_from_this(), source,
                 number = fence->number](std::vector<told_commit> acknowledged) {
                    if (auto const server = weak.lock()) {
                        server->reply(
                            source,
                            fence_answer_message{number, std::move(acknowledged)});
                    }
                });
        } else if (auto* const answer = std::get_if<fence_answer_message>(&message)) {
            this->observer.on_fence_answer(from.host, *answer);
        } else {
            this->news.take(std::move(message));
        }
    }

    void take_order(order_source source, order_message message) {
        this->observer.on_order(
            std::move(message.order), source,
            [weak = this->weak_from_this(), source,
             number = message.number](upstream_response answer) {
                if (auto const server = weak.lock()) {
                    server->reply(source, answer_message{number, std::move(answer)});
                }
            });
    }

    void look() {
        this->retired.clear();
        instant const now = this->time.now();
        std::vector<order_source> silent;
        for (auto const& [source, from] : this->callers) {
            if (now - from.heard > silence_limit) {
                silent.push_back(source);
            }
        }
        for (order_source const source : silent) {
            this->incoming_gone(source);
        }
    }

    clock const& time;
    mesh_observer& observer;
    peer_news& news;
    tcp::acceptor acceptor;
    std::map<order_source, incoming> callers;
    /// Links that were given up, possibly from within their own handlers.
    std::vector<std::unique_ptr<peer_link>> retired;
    order_source last_source = 0;
    bool closed = false;
};

peer_server::peer_server(
    asio::io_context& loop,
    clock const& time,
    mesh_observer& observer,
    peer_news& news,
    std::string_view address)
    : impl(std::make_shared<implementation>(loop, time, observer, news)) {
    this->impl->listen(address);
}

peer_server::~peer_server() {
    this->close();
}

void peer_server::look() {
    this->impl->look();
}

void peer_server::tell(peer_message const& message) {
    for (auto& each : this->impl->callers) {
        each.second.link->send(message);
    }
}

std::size_t peer_server::unsent_links() const {
    return static_cast<std::size_t>(std::count_if(
        this->impl->callers.begin(), this->impl->callers.end(),
        [](auto const& each) { return !each.second.link->all_sent(); }));
}

void peer_server::close() {
    if (std::exchange(this->impl->closed, true)) {
        return;
    }
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
    this->impl->callers.clear();
}

} // namespace persimmonpoint::engine
