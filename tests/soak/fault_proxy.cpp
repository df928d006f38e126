#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <optional>
#include <set>
#include <soak/fault_proxy.hpp>
#include <string_view>
#include <utility>

namespace persimmonpoint::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto delay = std::chrono::milliseconds(120);
/// Caller of a connection whose end isn't known.
constexpr std::size_t nobody = std::numeric_limits<std::size_t>::max();

tcp::endpoint on_loopback(std::uint16_t port) {
    return {asio::ip::address_v4::loopback(), port};
}

/// One direction of a connection: reads a piece, holds it while it may not pass, writes
/// it.
class pump {
public:
    pump(tcp::socket& from, tcp::socket& to, asio::io_context& loop)
        : from(from), to(to), timer(loop) {}

    void read(std::shared_ptr<void> keep, std::function<void()> on_end) {
        this->from.async_read_some(
            asio::buffer(this->bytes),
            [this, keep, on_end](boost::system::error_code failure, std::size_t size) {
                if (failure) {
                    on_end();
                    return;
                }
                this->size = size;
                this->keep = keep;
                this->on_end = on_end;
                this->forward();
            });
    }

    void hold(bool value) {
        this->held = value;
        this->forward();
    }
    void set_delayed(bool value) { this->delayed = value; }

    void forward() {
        if (this->held || this->size == 0) {
            return;
        }
        if (!this->delayed) {
            this->write();
            return;
        }
        this->timer.expires_after(delay);
        this->timer.async_wait(
            [this, keep = this->keep](boost::system::error_code failure) {
                if (!failure && !this->held) {
                    this->write();
                }
            });
    }

    /// Lets go of a piece that will never be sent.
    void drop() {
        this->size = 0;
        this->timer.cancel();
        this->keep.reset();
        this->on_end = nullptr;
    }

private:
    void write() {
        std::size_t const piece = std::exchange(this->size, 0);
        if (piece == 0) {
            return;
        }
        auto const kept = std::exchange(this->keep, nullptr);
        auto const ended = std::exchange(this->on_end, nullptr);
        asio::async_write(
            this->to, asio::buffer(this->bytes.data(), piece),
            [this, kept, ended](boost::system::error_code failure, std::size_t) {
                if (failure) {
                    ended();
                } else {
                    this->read(kept, ended);
                }
            });
    }

    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    std::array<char, 8192> bytes{};
    std::size_t size = 0;
    bool held = false;
    bool delayed = false;
    std::shared_ptr<void> keep;
    std::function<void()> on_end;
};

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(asio::io_context& loop, tcp::socket accepted)
        : near(std::move(accepted)),
          far(loop),
          to_target(this->near, this->far, loop),
          from_target(this->far, this->near, loop) {}

    void connect(std::uint16_t target) {
        if (std::exchange(this->dialled, true)) {
            return;
        }
        this->far.async_connect(
            on_loopback(target),
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (failure) {
                    self->close();
                    return;
                }
                boost::system::error_code ignored;
                self->near.set_option(tcp::no_delay(true), ignored);
                self->far.set_option(tcp::no_delay(true), ignored);
                self->to_target.read(self, [self] { self->close(); });
                self->from_target.read(self, [self] { self->close(); });
            });
    }

    void apply(link_fault fault, std::uint16_t target) {
        bool const cut = fault == link_fault::cut;
        if (!cut) {
            this->connect(target);
        }
        bool const delayed = fault == link_fault::delayed;
        this->to_target.set_delayed(delayed);
        this->from_target.set_delayed(delayed);
        this->to_target.hold(this->silent || cut || fault == link_fault::one_way);
        this->from_target.hold(this->silent || cut);
    }

    void silence() {
        this->silent = true;
        this->to_target.hold(true);
        this->from_target.hold(true);
    }

    void close() {
        boost::system::error_code ignored;
        // Lost data must not look like an orderly end.
        this->near.set_option(asio::socket_base::linger(true, 0), ignored);
        this->far.set_option(asio::socket_base::linger(true, 0), ignored);
        this->near.close(ignored);
        this->far.close(ignored);
        this->to_target.drop();
        this->from_target.drop();
    }

    bool closed() const { return !this->near.is_open(); }

    /// Asks for it once.
    std::size_t caller(fault_proxy::caller_lookup const& caller_at) {
        if (!this->known_caller) {
            boost::system::error_code failure;
            std::uint16_t const far = this->near.local_endpoint(failure).port();
            std::uint16_t const port = this->near.remote_endpoint(failure).port();
            this->known_caller = failure ? nobody : caller_at(port, far);
        }
        return *this->known_caller;
    }

private:
    tcp::socket near;
    tcp::socket far;
    pump to_target;
    pump from_target;
    bool silent = false;
    bool dialled = false;
    std::optional<std::size_t> known_caller;
};

} // namespace

struct fault_proxy::implementation
    : std::enable_shared_from_this<fault_proxy::implementation> {
    implementation(asio::io_context& loop, std::uint16_t target, caller_lookup caller_at)
        : loop(loop),
          acceptor(loop, on_loopback(0)),
          target(target),
          caller_at(std::move(caller_at)) {}

    void accept() {
        this->acceptor.async_accept(
            [weak = this->weak_from_this()](
                boost::system::error_code failure, tcp::socket socket) {
                auto const self = weak.lock();
                if (self && !failure) {
                    self->accepted(std::move(socket));
                    self->accept();
                }
            });
    }

    void accepted(tcp::socket socket) {
        std::erase_if(this->open, [](auto const& each) { return each->closed(); });
        auto const made = std::make_shared<connection>(this->loop, std::move(socket));
        if (this->fault == link_fault::refusing) {
            made->close();
            return;
        }
        this->open.insert(made);
        this->apply(*made);
    }

    void apply(connection& to) const {
        bool const cut =
            !this->cut.empty() && this->cut.count(to.caller(this->caller_at)) > 0;
        to.apply(cut ? link_fault::cut : this->fault, this->target);
    }

    void apply_to_all() {
        for (auto const& each : this->open) {
            this->apply(*each);
        }
    }

    void reset() {
        for (auto const& each : std::exchange(this->open, {})) {
            each->close();
        }
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::uint16_t target;
    caller_lookup caller_at;
    std::set<std::size_t> cut;
    link_fault fault = link_fault::none;
    std::set<std::shared_ptr<connection>> open;
};

fault_proxy::fault_proxy(
    asio::io_context& loop, std::uint16_t target, caller_lookup caller_at)
    : impl(std::make_shared<implementation>(loop, target, std::move(caller_at))) {
    this->impl->accept();
}

fault_proxy::~fault_proxy() {
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
    this->impl->reset();
}

std::uint16_t fault_proxy::port() const {
    return this->impl->acceptor.local_endpoint().port();
}

void fault_proxy::set_fault(link_fault fault) {
    this->impl->fault = fault;
    if (fault == link_fault::refusing) {
        this->impl->reset();
        return;
    }
    this->impl->apply_to_all();
}

void fault_proxy::cut_callers(std::set<std::size_t> callers) {
    this->impl->cut = std::move(callers);
    this->impl->apply_to_all();
}

void fault_proxy::silence() {
    for (auto const& each : this->impl->open) {
        each->silence();
    }
}

void fault_proxy::reset() {
    this->impl->reset();
}

} // namespace persimmonpoint::tests
