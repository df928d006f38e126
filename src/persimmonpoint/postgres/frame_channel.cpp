#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <optional>
#include <persimmonpoint/net/byte_stream.hpp>
#include <persimmonpoint/postgres/frame_channel.hpp>

namespace persimmonpoint::postgres {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Reading stops while this much waits to be decoded (bytes beyond the frame limit).
constexpr std::size_t read_ahead_bytes = 65536;

} // namespace

struct frame_channel::implementation {
    implementation(tcp::socket accepted, std::size_t max_frame)
        : executor(accepted.get_executor()),
          socket(std::move(accepted)),
          max_frame(max_frame),
          writer(this->pending) {}

    asio::any_io_executor executor;
    std::optional<tcp::socket> socket; ///< Until the stream is made.
    std::unique_ptr<net::byte_stream> stream;
    std::shared_ptr<frame_handler> handler;
    std::size_t max_frame;
    decoder_phase phase = decoder_phase::startup;

    std::string input;
    std::size_t consumed = 0;
    bool reading = false;
    bool paused = false;
    bool delivering = false;
    bool resume_posted = false;
    bool failed = false;

    std::string pending;
    std::string in_flight;
    backend_writer writer;
    bool writing = false;
    bool closing = false;
    bool open = true;
    std::function<void()> drained;

    std::string_view unread() const {
        return std::string_view(this->input).substr(this->consumed);
    }

    /// Drops what was decoded, and the buffer itself once nothing is left.
    void compact() {
        if (this->consumed == this->input.size()) {
            this->consumed = 0;
            this->input.clear();
            this->input.shrink_to_fit();
        } else if (this->consumed > read_ahead_bytes) {
            this->input.erase(0, this->consumed);
            this->consumed = 0;
        }
    }

    bool wants_more() const {
        return this->open && !this->reading && !this->failed &&
               this->unread().size() <= this->max_frame + read_ahead_bytes;
    }

    void read(std::shared_ptr<frame_channel> self) {
        if (!this->wants_more() || !this->stream) {
            return;
        }
        this->reading = true;
        this->stream->async_read(
            [this, self](boost::system::error_code failure, std::string_view bytes) {
                this->reading = false;
                if (failure) {
                    this->lose();
                    return;
                }
                this->input.append(bytes);
                this->deliver();
                this->read(self);
            });
    }

    void deliver() {
        if (this->delivering) {
            return;
        }
        this->delivering = true;
        do {
            while (this->open && !this->paused && !this->failed && this->deliver_one()) {}
            if (this->open && this->paused && this->handler) {
                auto const keep = this->handler;
                keep->on_held_input();
            } else {
                break;
            }
        } while (!this->paused);
        this->delivering = false;
        this->compact();
    }

    bool deliver_one() {
        auto decoded = decode_frontend(this->unread(), this->phase, this->max_frame);
        if (!decoded) {
            this->failed = true;
            auto const keep = this->handler;
            keep->on_bad_frame(decoded.error());
            return false;
        }
        if (!decoded.value()) {
            return false;
        }
        this->consumed += decoded.value()->size;
        auto const keep = this->handler;
        keep->on_message(decoded.value()->message);
        return true;
    }

    void flush(std::shared_ptr<frame_channel> self) {
        if (this->writing || !this->open || this->pending.empty() || !this->stream) {
            return;
        }
        this->writing = true;
        this->in_flight.swap(this->pending);
        this->stream->async_write(
            this->in_flight, [this, self](boost::system::error_code failure) {
                this->writing = false;
                this->in_flight.clear();
                this->in_flight.shrink_to_fit();
                if (failure) {
                    this->lose();
                    return;
                }
                this->written(self);
            });
    }

    void written(std::shared_ptr<frame_channel> const& self) {
        if (!this->pending.empty()) {
            this->flush(self);
            return;
        }
        if (this->closing) {
            self->close();
            return;
        }
        if (auto const ready = std::exchange(this->drained, nullptr)) {
            ready();
        }
    }

    void lose() {
        if (!this->open) {
            return;
        }
        this->open = false;
        if (this->stream) {
            this->stream->close();
        }
        if (auto const last = std::exchange(this->handler, nullptr)) {
            last->on_closed();
        }
        this->drained = nullptr;
    }
};

frame_channel::frame_channel(tcp::socket socket, std::size_t max_frame)
    : impl(std::make_unique<implementation>(std::move(socket), max_frame)) {}

frame_channel::~frame_channel() = default;

std::shared_ptr<frame_channel>
frame_channel::create(tcp::socket socket, std::size_t max_frame) {
    return std::shared_ptr<frame_channel>(
        new frame_channel(std::move(socket), max_frame));
}

void frame_channel::start(std::shared_ptr<frame_handler> handler) {
    this->impl->handler = std::move(handler);
    // The socket stays at hand until the first bytes tell whether TLS follows.
    this->impl->reading = true;
    auto self = this->shared_from_this();
    this->impl->socket->async_wait(
        tcp::socket::wait_read, [self](boost::system::error_code failure) {
            implementation& impl = *self->impl;
            impl.reading = false;
            if (failure || !impl.open) {
                impl.lose();
                return;
            }
            constexpr std::size_t ssl_request_bytes = 8;
            std::string first(ssl_request_bytes, '\0');
            boost::system::error_code broken;
            std::size_t const count = impl.socket->read_some(asio::buffer(first), broken);
            if (broken) {
                impl.lose();
                return;
            }
            impl.input.append(first, 0, count);
            auto const decoded = decode_frontend(impl.input, impl.phase, impl.max_frame);
            bool const is_ssl =
                decoded && decoded.value() &&
                std::holds_alternative<ssl_request>(decoded.value()->message);
            if (!is_ssl) {
                impl.stream = net::make_plain_stream(std::move(*impl.socket));
                impl.socket.reset();
            }
            impl.deliver();
            if (!impl.open) {
                return;
            }
            if (!impl.stream && impl.socket) {
                impl.stream = net::make_plain_stream(std::move(*impl.socket));
                impl.socket.reset();
                impl.flush(self);
            }
            impl.read(self);
        });
}

void frame_channel::upgrade_to_tls(asio::ssl::context& context) {
    if (!this->impl->socket) {
        this->close();
        return;
    }
    this->pause();
    boost::system::error_code failure;
    this->impl->socket->write_some(asio::buffer("S", 1), failure);
    if (failure) {
        this->impl->lose();
        return;
    }
    auto self = this->shared_from_this();
    tcp::socket raw = std::move(*this->impl->socket);
    this->impl->socket.reset();
    net::async_accept_tls(
        std::move(raw), context,
        [self](
            boost::system::error_code failed, std::unique_ptr<net::byte_stream> stream) {
            self->impl->stream = std::move(stream);
            if (failed || !self->impl->open) {
                self->impl->lose();
                return;
            }
            self->resume();
            self->impl->read(self);
        });
}

void frame_channel::reject_encryption() {
    this->impl->pending.push_back('N');
    this->flush();
}

void frame_channel::set_phase(decoder_phase phase) {
    this->impl->phase = phase;
}

void frame_channel::pause() {
    this->impl->paused = true;
}

void frame_channel::resume() {
    this->impl->paused = false;
    if (this->impl->delivering || this->impl->resume_posted) {
        return; // The running loop goes on by itself.
    }
    this->impl->resume_posted = true;
    asio::post(this->impl->executor, [self = this->shared_from_this()] {
        self->impl->resume_posted = false;
        self->impl->deliver();
        self->impl->read(self);
    });
}

std::optional<frontend_message> frame_channel::peek() const {
    auto decoded =
        decode_frontend(this->impl->unread(), this->impl->phase, this->impl->max_frame);
    if (!decoded || !decoded.value()) {
        return std::nullopt;
    }
    return std::move(decoded.value()->message);
}

backend_writer& frame_channel::writer() {
    return this->impl->writer;
}

void frame_channel::flush() {
    this->impl->flush(this->shared_from_this());
}

void frame_channel::append(std::string_view bytes) {
    this->impl->pending.append(bytes);
}

void frame_channel::send(std::string_view bytes) {
    this->append(bytes);
    this->flush();
}

std::size_t frame_channel::unsent_bytes() const {
    return this->impl->pending.size() + this->impl->in_flight.size();
}

void frame_channel::when_drained(std::function<void()> handler) {
    if (this->unsent_bytes() == 0) {
        asio::post(this->impl->executor, std::move(handler));
        return;
    }
    this->impl->drained = std::move(handler);
    this->flush();
}

void frame_channel::close_after_flush() {
    this->impl->closing = true;
    this->pause();
    if (this->unsent_bytes() == 0) {
        this->close();
        return;
    }
    this->flush();
}

void frame_channel::close() {
    auto const keep = this->shared_from_this();
    if (!this->impl->open) {
        return;
    }
    if (this->impl->socket) {
        boost::system::error_code ignored;
        this->impl->socket->close(ignored);
    }
    this->impl->lose();
}

bool frame_channel::is_open() const {
    return this->impl->open;
}

} // namespace persimmonpoint::postgres
