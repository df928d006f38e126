#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/net/send_queue.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/platform/line_listener.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::platform {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto unacknowledged_limit = std::chrono::milliseconds(5000);
constexpr auto accept_pause = std::chrono::milliseconds(20);
constexpr std::size_t read_bytes = 2048;
/// A caller that has more than this to take is given no further answers: a crowd that
/// reads none makes databases work for one answer each.
constexpr std::size_t most_untaken_bytes = 64 * 1024;
/// Time for a caller to close after it was told that its session ends.
constexpr auto dismissal_limit = std::chrono::milliseconds(1000);
/// How often callers are looked for whose messages don't come to their end.
constexpr auto sweep_interval = std::chrono::milliseconds(500);
/// A statement that is carried out stands in the session, in an order and in a message.
constexpr std::size_t copies_of_statement = 3;
/// A statement of this size is no burden.
constexpr std::size_t small_statement_bytes = 8 * 1024;

using steady_time = std::chrono::steady_clock::time_point;

class line_channel;

/// What the connections of all callers hold, and which of them have to end a message in
/// time.
class caller_intake {
public:
    explicit caller_intake(caller_limits const& limits)
        : limits(limits), budget(limits.held_bytes) {}

    std::uint64_t join(std::weak_ptr<line_channel> channel);
    void leave(std::uint64_t id);
    void hold(std::uint64_t id, std::size_t bytes, bool has_request);
    bool has_room(std::size_t bytes) const { return this->budget.has_room(bytes); }
    bool has_any() const { return !this->channels.empty(); }
    bool is_full() const { return this->channels.size() >= this->limits.connections; }
    void await_start(std::uint64_t id) { this->await(id, this->limits.start_time); }
    void await_message(std::uint64_t id) { this->await(id, this->limits.message_time); }
    void settled(std::uint64_t id) { this->deadlines.erase(id); }
    /// Closes those that are late.
    void sweep();

    caller_closings closings;

private:
    void await(std::uint64_t id, std::chrono::milliseconds limit) {
        this->deadlines.emplace(id, std::chrono::steady_clock::now() + limit);
    }
    void close(std::uint64_t id, std::string_view reason);

    caller_limits limits;
    intake_budget budget;
    std::map<std::uint64_t, std::weak_ptr<line_channel>> channels;
    std::map<std::uint64_t, steady_time> deadlines;
};

/// One caller.
class line_channel final : public caller_channel,
                           public std::enable_shared_from_this<line_channel> {
public:
    line_channel(tcp::socket given, std::shared_ptr<caller_intake> all)
        : socket(std::move(given)),
          intake(std::move(all)),
          outgoing(this->socket, [this](bool sent) { this->written(sent); }) {}

    void start(std::shared_ptr<caller_observer> watcher) {
        this->observer = std::move(watcher);
        this->id = this->intake->join(this->weak_from_this());
        this->intake->await_start(this->id);
        net::set_tcp_options(this->socket, unacknowledged_limit);
        this->read();
    }

    void accept() override {
        this->started = true;
        this->send(format_ready(transaction_state::idle, std::nullopt));
        this->request_done();
    }

    void refuse(statement_error error, std::string_view text) override {
        this->send_error(error, text);
        this->close_after_write = true;
        this->observer.reset();
    }

    void answer(caller_answer const& answer) override {
        this->send(format_answer(answer));
        this->request_done();
        this->account();
    }

    bool all_sent() const override { return this->closed || this->outgoing.is_idle(); }

    void dismiss(std::string_view reason) override {
        this->dismissal = reason;
        this->send_error(statement_error::busy, this->dismissal);
        this->dismissal_timer =
            std::make_unique<asio::steady_timer>(this->socket.get_executor());
        this->dismissal_timer->expires_after(dismissal_limit);
        this->dismissal_timer->async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const self = weak.lock();
                if (self && !failure) {
                    self->gone();
                }
            });
    }

    /// Ends the connection for what its caller does, once whoever uses it now is done.
    void give_up(std::string reason) {
        asio::post(
            this->socket.get_executor(),
            [self = this->shared_from_this(), reason = std::move(reason)] {
                observe::log_event(
                    observe::log_level::warning, "caller_closed",
                    {{"reason", reason},
                     {"held_bytes", self->held_bytes()},
                     {"busy", self->busy}});
                self->gone();
            });
    }

private:
    std::size_t held_bytes() const {
        return this->lines.held_bytes() + this->outgoing.held_bytes() +
               this->statement_bytes * copies_of_statement;
    }

    /// Tells what the connection holds now; it may be closed for it.
    void account() {
        if (this->closed) {
            return;
        }
        bool const is_partial = !this->busy && this->lines.has_pending();
        if (is_partial) {
            this->awaits_message = true;
            this->intake->await_message(this->id);
        } else if (this->started && std::exchange(this->awaits_message, false)) {
            this->intake->settled(this->id);
        }
        std::size_t const bytes = this->held_bytes();
        bool const is_small = std::max(bytes, this->accounted) <= uncounted_caller_bytes;
        if (!is_small) {
            this->accounted = bytes;
            this->intake->hold(this->id, bytes, this->busy);
        }
    }

    void read() {
        if (this->reading || this->closed) {
            return;
        }
        this->reading = true;
        this->socket.async_read_some(
            asio::buffer(this->received),
            [self = this->shared_from_this()](
                boost::system::error_code failure, std::size_t size) {
                self->reading = false;
                if (failure) {
                    self->gone();
                    return;
                }
                self->lines.add(std::string_view(self->received.data(), size));
                if (!self->take_lines_guarded()) {
                    return;
                }
                self->account();
                self->read_on();
            });
    }

    void read_on() {
        if (!this->lines.is_over_long()) {
            this->read();
        } else if (!this->busy && !this->waits_for_caller) {
            this->break_off("message is too long", statement_error::too_large);
        }
    }

    /// False if an unexpected error ended the session.
    bool take_lines_guarded() {
        bool const taken =
            net::run_guarded("caller_session", [this] { this->take_lines(); });
        if (!taken) {
            this->gone();
        }
        return taken;
    }

    void take_lines() {
        while (!this->busy && !this->closed && this->observer) {
            this->waits_for_caller = this->outgoing.held_bytes() > most_untaken_bytes;
            if (this->waits_for_caller) {
                return;
            }
            auto const line = this->lines.next();
            if (!line) {
                return;
            }
            this->take_line(*line);
        }
    }

    void take_line(std::string_view line) {
        std::string_view rest = line;
        std::string_view const word = take_word(rest);
        if (this->dismissal_timer) {
            this->take_line_after_dismissal(word);
        } else if (has_stray_control(line)) {
            this->break_off("stray control character", statement_error::malformed);
        } else if (!this->started && word == "START") {
            std::string_view const database = take_word(rest);
            this->busy = true;
            this->observer_alive()->on_start(database, rest);
        } else if (this->started && word == "QUERY") {
            this->take_query(rest);
        } else if (word == "TERMINATE") {
            this->gone();
        } else {
            this->break_off("message is not known here", statement_error::malformed);
        }
    }

    /// The caller takes the ERROR of the dismissal for the answer to a request that
    /// crossed it: the rest of that answer follows, and the next last word behind it.
    void take_line_after_dismissal(std::string_view word) {
        if (!this->started || word != "QUERY") {
            this->gone();
            return;
        }
        this->send(format_ready(transaction_state::idle, std::nullopt));
        this->send_error(statement_error::busy, this->dismissal);
    }

    void take_query(std::string_view rest) {
        std::string_view const id = take_word(rest);
        auto const parsed = parse_statement(id, rest);
        // A dash would pass for a statement of the system's own.
        if (id.empty() || id == "-" || !parsed) {
            this->break_off("statement can't be read", statement_error::malformed);
            return;
        }
        bool const is_small = rest.size() <= small_statement_bytes;
        if (!is_small && !this->intake->has_room(rest.size() * copies_of_statement)) {
            this->refuse_statement();
            return;
        }
        this->busy = true;
        this->statement_bytes = is_small ? 0 : rest.size();
        this->observer_alive()->on_statement(*parsed);
    }

    /// Nothing of it runs; the session goes on.
    void refuse_statement() {
        caller_answer refusal;
        refusal.error = statement_error::busy;
        refusal.error_text = "the host holds too much for its callers";
        this->send(format_answer(refusal));
    }

    /// Keeps the observer while it is called.
    std::shared_ptr<caller_observer> observer_alive() const { return this->observer; }

    void request_done() {
        this->busy = false;
        this->statement_bytes = 0;
        if (this->closed) {
            return;
        }
        asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            self->take_next();
        });
    }

    void take_next() {
        if (!this->take_lines_guarded()) {
            return;
        }
        this->account();
        if (!this->busy && !this->waits_for_caller) {
            this->read_on();
        }
    }

    void break_off(std::string_view text, statement_error error) {
        this->send_error(error, text);
        this->close_after_write = true;
        if (auto const watcher = std::exchange(this->observer, nullptr)) {
            watcher->on_closed();
        }
    }

    void send_error(statement_error error, std::string_view text) {
        std::string line = "ERROR ";
        line.append(error_word(error)).append(" ").append(text).append("\r\n");
        this->send(std::move(line));
    }

    void send(std::string bytes) {
        if (!this->closed) {
            this->outgoing.add(bytes, this->shared_from_this());
        }
    }

    void written(bool sent) {
        if (!sent) {
            this->gone();
        } else if (this->close_after_write) {
            this->shut();
        } else if (this->waits_for_caller) {
            this->take_next();
        }
    }

    void gone() {
        this->shut();
        if (auto const watcher = std::exchange(this->observer, nullptr)) {
            watcher->on_closed();
        }
    }

    void shut() {
        if (std::exchange(this->closed, true)) {
            return;
        }
        this->intake->leave(this->id);
        // A request that is under way keeps this object: what it holds counts no more.
        this->lines.drop();
        if (this->dismissal_timer) {
            this->dismissal_timer->cancel();
        }
        boost::system::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
    }

    tcp::socket socket;
    std::shared_ptr<caller_intake> intake;
    std::uint64_t id = 0; ///< Of this connection in `intake`.
    std::shared_ptr<caller_observer> observer;
    std::array<char, read_bytes> received{};
    line_reader lines;
    net::send_queue outgoing;
    std::unique_ptr<asio::steady_timer> dismissal_timer; ///< Set once it is dismissed.
    std::string dismissal;                               ///< What the caller was told.
    std::size_t statement_bytes = 0; ///< Of a large statement that is carried out.
    std::size_t accounted = 0;       ///< Bytes that `intake` was told of last.
    bool awaits_message = true;      ///< `intake` waits for the end of one.
    bool started = false;
    bool busy = false; ///< A request is outstanding.
    bool reading = false;
    bool closed = false;
    bool close_after_write = false;
    bool waits_for_caller = false; ///< To take what was sent to it.
};

std::uint64_t caller_intake::join(std::weak_ptr<line_channel> channel) {
    std::uint64_t const id = this->budget.join();
    this->channels.emplace(id, std::move(channel));
    return id;
}

void caller_intake::leave(std::uint64_t id) {
    this->budget.leave(id);
    this->channels.erase(id);
    this->deadlines.erase(id);
}

void caller_intake::hold(std::uint64_t id, std::size_t bytes, bool has_request) {
    for (std::uint64_t const each : this->budget.hold(id, bytes, has_request)) {
        ++this->closings.over_budget;
        this->close(each, "callers hold too much together");
    }
}

void caller_intake::sweep() {
    auto const now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> late;
    for (auto const& [id, deadline] : this->deadlines) {
        if (deadline <= now) {
            late.push_back(id);
        }
    }
    for (std::uint64_t const each : late) {
        ++this->closings.too_late;
        this->close(each, "a message did not come to its end");
    }
}

void caller_intake::close(std::uint64_t id, std::string_view reason) {
    auto const found = this->channels.find(id);
    if (found == this->channels.end()) {
        return;
    }
    if (auto const channel = found->second.lock()) {
        channel->give_up(std::string(reason));
    }
}

} // namespace

struct line_listener::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        asio::io_context& loop,
        tcp::endpoint const& address,
        caller_acceptor take,
        caller_limits const& limits)
        : loop(loop),
          acceptor(loop, address),
          timer(loop),
          sweeper(loop),
          take(std::move(take)),
          intake(std::make_shared<caller_intake>(limits)) {}

    void sweep_later() {
        this->sweeper.expires_after(sweep_interval);
        this->sweeper.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const self = weak.lock();
                if (!self || failure) {
                    return;
                }
                self->intake->sweep();
                self->sweeping = self->intake->has_any();
                if (self->sweeping) {
                    self->sweep_later();
                }
            });
    }

    void accept() {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](
                boost::system::error_code failure, tcp::socket socket) {
                self->accepted(failure, std::move(socket));
            });
    }

    void accepted(boost::system::error_code failure, tcp::socket socket) {
        if (failure && !this->acceptor.is_open()) {
            return;
        }
        if (failure) {
            // Out of descriptors, most likely: a pause gives others the time to close.
            this->timer.expires_after(accept_pause);
            this->timer.async_wait(
                [self = this->shared_from_this()](boost::system::error_code stopped) {
                    if (!stopped) {
                        self->accept();
                    }
                });
            return;
        }
        this->adopt(std::move(socket));
        if (this->acceptor.is_open()) {
            this->accept();
        }
    }

    void adopt(tcp::socket socket) {
        if (this->intake->is_full()) {
            ++this->intake->closings.over_connections;
            return; // Its socket is closed with it.
        }
        net::run_guarded("line_listener", [this, &socket] {
            auto const channel =
                std::make_shared<line_channel>(std::move(socket), this->intake);
            channel->start(this->take(channel));
        });
        if (!std::exchange(this->sweeping, true)) {
            this->sweep_later();
        }
    }

    /// The kernel has established connections that nobody has taken yet. Closing the
    /// listening socket would reset them, with what their callers have sent.
    void adopt_waiting() {
        boost::system::error_code failure;
        this->acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp::socket socket(this->loop);
            this->acceptor.accept(socket, failure);
            if (!failure) {
                this->adopt(std::move(socket));
            }
        }
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    asio::steady_timer timer;
    asio::steady_timer sweeper; ///< Runs while `sweeping`.
    caller_acceptor take;
    std::shared_ptr<caller_intake> intake;
    bool sweeping = false; ///< While there are callers.
};

line_listener::line_listener(
    asio::io_context& loop,
    tcp::endpoint const& address,
    caller_acceptor acceptor,
    caller_limits limits)
    : impl(std::make_shared<implementation>(loop, address, std::move(acceptor), limits)) {
    this->impl->accept();
}

line_listener::~line_listener() {
    this->impl->sweeper.cancel();
}

caller_closings const& line_listener::closings() const {
    return this->impl->intake->closings;
}

void line_listener::stop() {
    if (!this->impl->acceptor.is_open()) {
        return;
    }
    this->impl->adopt_waiting();
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
}

} // namespace persimmonpoint::platform
