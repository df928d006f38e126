#include <boost/asio/write.hpp>
#include <persimmonpoint/net/send_queue.hpp>
#include <utility>

namespace persimmonpoint::net {

send_queue::send_queue(boost::asio::ip::tcp::socket& socket, handler on_written)
    : socket(socket), on_written(std::move(on_written)) {}

void send_queue::add(std::string_view bytes, std::shared_ptr<void> keep_alive) {
    this->waiting.append(bytes);
    if (!this->writing && !this->waiting.empty()) {
        this->write(std::move(keep_alive));
    }
}

void send_queue::write(std::shared_ptr<void> keep_alive) {
    this->writing = true;
    this->in_flight = std::exchange(this->waiting, {});
    auto const buffer = boost::asio::buffer(this->in_flight);
    boost::asio::async_write(
        this->socket, buffer,
        [this, keep_alive = std::move(keep_alive)](
            boost::system::error_code failure, std::size_t) mutable {
            this->writing = false;
            // Whoever owns the queue may live on for long with nothing to send.
            std::string().swap(this->in_flight);
            if (failure) {
                std::string().swap(this->waiting);
                this->on_written(false);
            } else if (this->waiting.empty()) {
                this->on_written(true);
            } else {
                this->write(std::move(keep_alive));
            }
        });
}

} // namespace persimmonpoint::net
