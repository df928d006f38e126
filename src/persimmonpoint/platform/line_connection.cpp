#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <persimmonpoint/net/read_loop.hpp>
#include <persimmonpoint/net/send_queue.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/platform/line_connection.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <string>
#include <utility>

namespace persimmonpoint::platform {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// From the first packet to the database's greeting.
constexpr auto open_limit = std::chrono::milliseconds(400);
constexpr auto unacknowledged_limit = std::chrono::milliseconds(1500);
constexpr std::size_t read_bytes = 4096;
/// Rows of one answer; a longer one is cut off, as it could not be passed on.
constexpr std::size_t most_answer_bytes = 16 * 1024 * 1024;
/// What a row takes in memory beside its text.
constexpr std::size_t row_overhead_bytes = sizeof(std::string);

class line_connection final : public upstream_connection,
                              public std::enable_shared_from_this<line_connection> {
public:
    explicit line_connection(asio::io_context& loop)
        : socket(loop),
          timer(loop),
          outgoing(
              this->socket,
              [this](bool written) {
                  if (!written) {
                      this->broken();
                  }
              }),
          incoming(
              this->socket,
              read_bytes,
              [this](std::string_view bytes) { return this->take(bytes); },
              [this] { this->broken(); }) {}

    void open(upstream_target const& target, open_handler handler) override {
        this->opened = std::move(handler);
        auto const endpoint = net::parse_endpoint(target.address);
        if (!endpoint) {
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
                self->finish_open(open_result::refused, std::nullopt);
            });
            return;
        }
        this->greeting = format_start(target);
        this->timer.expires_after(open_limit);
        this->timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (!failure) {
                    self->finish_open(open_result::silent, std::nullopt);
                }
            });
        this->socket.async_connect(
            *endpoint,
            [self = this->shared_from_this()](boost::system::error_code failure) {
                self->connected(failure);
            });
    }

    void execute(upstream_command const& command, command_handler handler) override {
        this->waiting.push_back(std::move(handler));
        if (this->closed) {
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
                self->lose();
            });
            return;
        }
        this->outgoing.add(format_command(command), this->shared_from_this());
    }

    void close() override {
        this->opened = nullptr;
        this->waiting.clear();
        this->shut();
    }

private:
    void connected(boost::system::error_code failure) {
        if (this->closed) {
            return;
        }
        if (failure) {
            bool const refused = failure == asio::error::connection_refused ||
                                 failure == asio::error::connection_reset;
            this->finish_open(
                refused ? open_result::refused : open_result::silent, std::nullopt);
            return;
        }
        net::set_tcp_options(this->socket, unacknowledged_limit);
        this->outgoing.add(this->greeting, this->shared_from_this());
        this->incoming.start(this->shared_from_this());
    }

    bool take(std::string_view bytes) {
        this->lines.add(bytes);
        this->take_lines();
        return !this->closed;
    }

    void take_lines() {
        while (!this->closed) {
            auto const line = this->lines.next();
            if (!line) {
                break;
            }
            this->take_line(*line);
        }
        if (!this->closed && this->lines.is_over_long()) {
            this->broken();
        }
    }

    void take_line(std::string_view line) {
        std::string_view rest = line;
        std::string_view const word = take_word(rest);
        if (word == "READY") {
            this->answer.state = parse_state(take_word(rest));
            this->answer.position = parse_position(rest);
            this->deliver();
        } else if (word == "ROW") {
            this->take_row(rest);
        } else if (word == "COMPLETE") {
            this->answer.signature = rest;
            this->complete = true;
        } else if (word == "ERROR") {
            this->answer.error = parse_error(take_word(rest));
            this->answer.error_text = rest;
            this->complete = true;
            if (this->opened) {
                this->open_rejected();
            }
        } else {
            this->broken();
        }
    }

    void take_row(std::string_view row) {
        this->answer_bytes += row.size() + row_overhead_bytes;
        if (this->answer_bytes > most_answer_bytes) {
            observe::log_event(
                observe::log_level::error, "answer_too_large",
                {{"most_bytes", most_answer_bytes}});
            this->broken();
            return;
        }
        this->answer.rows.emplace_back(row);
    }

    void open_rejected() {
        switch (this->answer.error) {
        case statement_error::too_many_connections:
            this->finish_open(open_result::crowded, std::nullopt);
            return;
        case statement_error::wrong_database:
            this->finish_open(open_result::wrong_database, std::nullopt);
            return;
        default:
            this->finish_open(open_result::silent, std::nullopt);
        }
    }

    void deliver() {
        upstream_answer done = std::exchange(this->answer, {});
        bool const whole = std::exchange(this->complete, false);
        this->answer_bytes = 0;
        if (this->opened) {
            this->finish_open(open_result::opened, done.position);
            return;
        }
        if (this->waiting.empty() || !whole) {
            this->broken();
            return;
        }
        if (done.rows.size() == 1) {
            done.report = parse_report(done.rows.front());
        }
        command_handler const handler = std::move(this->waiting.front());
        this->waiting.pop_front();
        handler(std::move(done));
    }

    void finish_open(open_result result, std::optional<log_position> position) {
        this->timer.cancel();
        open_handler const handler = std::exchange(this->opened, nullptr);
        if (result != open_result::opened) {
            this->shut();
        }
        if (handler) {
            handler(result, position);
        }
    }

    void broken() {
        if (this->closed) {
            return;
        }
        if (this->opened) {
            // A database that has too many connections breaks a new one off.
            this->finish_open(open_result::crowded, std::nullopt);
            return;
        }
        this->shut();
        this->lose();
    }

    /// Tells all that wait that no answer comes.
    void lose() {
        std::deque<command_handler> const lost = std::exchange(this->waiting, {});
        for (command_handler const& each : lost) {
            upstream_answer none;
            none.lost = true;
            each(std::move(none));
        }
    }

    void shut() {
        if (std::exchange(this->closed, true)) {
            return;
        }
        this->timer.cancel();
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    tcp::socket socket;
    asio::steady_timer timer;
    open_handler opened;
    std::deque<command_handler> waiting;
    std::string greeting;
    net::send_queue outgoing;
    bool closed = false;
    net::read_loop incoming;
    line_reader lines;
    upstream_answer answer;
    std::size_t answer_bytes = 0; ///< Memory of the present answer's rows.
    bool complete = false;
};

} // namespace

line_connector::line_connector(asio::io_context& loop) : loop(loop) {}

std::shared_ptr<upstream_connection> line_connector::make() {
    return std::make_shared<line_connection>(this->loop);
}

} // namespace persimmonpoint::platform
