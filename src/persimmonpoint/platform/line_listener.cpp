#include <array>
#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/net/send_queue.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/platform/line_listener.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <utility>

namespace persimmonpoint::platform {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto unacknowledged_limit = std::chrono::milliseconds(5000);
constexpr auto accept_pause = std::chrono::milliseconds(20);
constexpr std::size_t read_bytes = 2048;
/// A caller with more answers than this to take is given no further ones.
constexpr std::size_t most_unsent_bytes = 1024 * 1024;
/// Time for a caller to close after it was told that its session ends.
constexpr auto dismissal_limit = std::chrono::milliseconds(1000);

/// One caller.
class line_channel final : public caller_channel,
                           public std::enable_shared_from_this<line_channel> {
public:
    explicit line_channel(tcp::socket given)
        : socket(std::move(given)),
          outgoing(this->socket, [this](bool sent) { this->written(sent); }) {}

    void start(std::shared_ptr<caller_observer> watcher) {
        this->observer = std::move(watcher);
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

private:
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
                self->go_on_reading();
            });
    }

    void go_on_reading() {
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
            this->waits_for_caller = this->outgoing.unsent() > most_unsent_bytes;
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
        this->busy = true;
        this->observer_alive()->on_statement(*parsed);
    }

    /// Keeps the observer while it is called.
    std::shared_ptr<caller_observer> observer_alive() const { return this->observer; }

    void request_done() {
        this->busy = false;
        if (this->closed) {
            return;
        }
        asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            self->take_next();
        });
    }

    void take_next() {
        if (this->take_lines_guarded() && !this->busy && !this->waits_for_caller) {
            this->go_on_reading();
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
        if (this->dismissal_timer) {
            this->dismissal_timer->cancel();
        }
        boost::system::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
    }

    tcp::socket socket;
    std::shared_ptr<caller_observer> observer;
    std::array<char, read_bytes> received{};
    line_reader lines;
    net::send_queue outgoing;
    std::unique_ptr<asio::steady_timer> dismissal_timer; ///< Set once it is dismissed.
    std::string dismissal;                               ///< What the caller was told.
    bool started = false;
    bool busy = false; ///< A request is outstanding.
    bool reading = false;
    bool closed = false;
    bool close_after_write = false;
    bool waits_for_caller = false; ///< To take what was sent to it.
};

} // namespace

struct line_listener::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        asio::io_context& loop, tcp::endpoint const& address, caller_acceptor take)
        : loop(loop), acceptor(loop, address), timer(loop), take(std::move(take)) {}

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
        net::run_guarded("line_listener", [this, &socket] {
            auto const channel = std::make_shared<line_channel>(std::move(socket));
            channel->start(this->take(channel));
        });
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
    caller_acceptor take;
};

line_listener::line_listener(
    asio::io_context& loop, tcp::endpoint const& address, caller_acceptor acceptor)
    : impl(std::make_shared<implementation>(loop, address, std::move(acceptor))) {
    this->impl->accept();
}

line_listener::~line_listener() = default;

void line_listener::stop() {
    if (!this->impl->acceptor.is_open()) {
        return;
    }
    this->impl->adopt_waiting();
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
}

} // namespace persimmonpoint::platform
