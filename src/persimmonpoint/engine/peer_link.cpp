#include <persimmonpoint/engine/peer_link.hpp>
#include <persimmonpoint/net/read_loop.hpp>
#include <persimmonpoint/net/send_queue.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>

namespace persimmonpoint::engine {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto unacknowledged_limit = std::chrono::milliseconds(1000);
constexpr std::size_t read_bytes = 16 * 1024;
/// A peer that doesn't read is cut off before its messages fill the memory.
constexpr std::size_t most_unsent_bytes = 8 * 1024 * 1024;

} // namespace

struct peer_link::implementation : std::enable_shared_from_this<implementation> {
    explicit implementation(tcp::socket given)
        : socket(std::move(given)),
          incoming(
              this->socket,
              read_bytes,
              [this](std::string_view bytes) { return this->take(bytes); },
              [this] { this->broken(); }),
          outgoing(this->socket, [this](bool written) {
              if (!written) {
                  this->broken();
              }
          }) {
        net::set_tcp_options(this->socket, unacknowledged_limit);
    }

    bool take(std::string_view bytes) {
        this->decoder.add(bytes);
        this->take_messages();
        return !this->closed;
    }

    void take_messages() {
        while (!this->closed) {
            auto message = this->decoder.next();
            if (!message) {
                break;
            }
            this->on_message(std::move(*message));
        }
        if (this->decoder.broken()) {
            observe::log_event(observe::log_level::error, "peer_message_malformed", {});
            this->broken();
        } else if (!this->closed && this->on_partial && this->decoder.pending() > 0) {
            this->on_partial(this->decoder.pending());
        }
    }

    void send(peer_message const& message) {
        if (this->closed) {
            return;
        }
        std::string const bytes = encode(message);
        if (bytes.size() > most_message_bytes) {
            // The receiver would take it for a malformed one and close the link.
            observe::log_event(
                observe::log_level::error, "peer_message_too_large",
                {{"kind", message.index()}, {"bytes", bytes.size()}});
            return;
        }
        bool const reads_too_slowly = this->outgoing.unsent() > most_unsent_bytes;
        this->outgoing.add(bytes, this->shared_from_this());
        if (reads_too_slowly) {
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
                self->broken();
            });
        }
    }

    void broken() {
        if (this->closed) {
            return;
        }
        closed_handler const handler = this->on_closed;
        this->shut();
        if (handler) {
            handler();
        }
    }

    void shut() {
        if (std::exchange(this->closed, true)) {
            return;
        }
        this->on_closed = nullptr;
        this->on_partial = nullptr;
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    tcp::socket socket;
    message_handler on_message;
    closed_handler on_closed;
    partial_handler on_partial;
    net::read_loop incoming;
    peer_decoder decoder;
    net::send_queue outgoing;
    bool closed = false;
};

peer_link::peer_link(tcp::socket socket)
    : impl(std::make_shared<implementation>(std::move(socket))) {}

peer_link::~peer_link() {
    this->impl->shut();
}

void peer_link::start(
    message_handler on_message, closed_handler on_closed, partial_handler on_partial) {
    this->impl->on_partial = std::move(on_partial);
    this->impl->on_message = std::move(on_message);
    this->impl->on_closed = std::move(on_closed);
    this->impl->incoming.start(this->impl);
}

void peer_link::send(peer_message const& message) {
    this->impl->send(message);
}

bool peer_link::all_sent() const {
    return this->impl->closed || this->impl->outgoing.is_idle();
}

void peer_link::close() {
    this->impl->shut();
}

} // namespace persimmonpoint::engine
