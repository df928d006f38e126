#include <persimmonpoint/net/read_loop.hpp>
#include <persimmonpoint/net/run_loop.hpp>
#include <utility>

namespace persimmonpoint::net {

read_loop::read_loop(
    boost::asio::ip::tcp::socket& socket,
    std::size_t most_bytes,
    bytes_handler on_bytes,
    failure_handler on_failure)
    : socket(socket),
      received(most_bytes),
      on_bytes(std::move(on_bytes)),
      on_failure(std::move(on_failure)) {}

void read_loop::start(std::shared_ptr<void> keep_alive) {
    this->socket.async_read_some(
        boost::asio::buffer(this->received),
        [this, keep_alive = std::move(keep_alive)](
            boost::system::error_code failure, std::size_t size) mutable {
            if (failure) {
                this->on_failure();
                return;
            }
            bool goes_on = false;
            bool const handled = run_guarded("connection", [&] {
                goes_on = this->on_bytes(std::string_view(this->received.data(), size));
            });
            if (!handled) {
                // What was received is lost: the connection can't be used further.
                this->on_failure();
            } else if (goes_on) {
                this->start(std::move(keep_alive));
            }
        });
}

} // namespace persimmonpoint::net
