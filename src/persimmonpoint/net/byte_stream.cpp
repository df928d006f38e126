#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <persimmonpoint/net/byte_stream.hpp>

namespace persimmonpoint::net {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t scratch_bytes = 65536;
constexpr std::size_t tls_read_bytes = 16384;

/// All plain streams of a thread read into one buffer, since a handler uses it up at
/// once.
std::array<char, scratch_bytes>& thread_scratch() {
    thread_local std::array<char, scratch_bytes> scratch;
    return scratch;
}

class plain_stream final : public byte_stream {
public:
    explicit plain_stream(tcp::socket accepted) : socket(std::move(accepted)) {
        boost::system::error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->socket.non_blocking(true, ignored);
    }

    void async_read(read_handler handler) override {
        this->socket.async_wait(
            tcp::socket::wait_read, [this, handler = std::move(handler)](
                                        boost::system::error_code failure) mutable {
                this->read_ready(failure, std::move(handler));
            });
    }

    void async_write(std::string_view bytes, write_handler handler) override {
        boost::system::error_code failure;
        std::size_t const sent =
            this->socket.write_some(asio::buffer(bytes.data(), bytes.size()), failure);
        bool const blocked = failure == asio::error::would_block;
        if (!failure && sent == bytes.size()) {
            asio::post(this->socket.get_executor(), [handler = std::move(handler)] {
                handler({});
            });
            return;
        }
        if (failure && !blocked) {
            asio::post(
                this->socket.get_executor(),
                [handler = std::move(handler), failure] { handler(failure); });
            return;
        }
        std::string_view const rest = bytes.substr(failure ? 0 : sent);
        asio::async_write(
            this->socket, asio::buffer(rest.data(), rest.size()),
            [handler = std::move(handler)](
                boost::system::error_code failed, std::size_t) { handler(failed); });
    }

    void close() override {
        boost::system::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
    }

private:
    void read_ready(boost::system::error_code failure, read_handler handler) {
        if (failure) {
            handler(failure, {});
            return;
        }
        auto& scratch = thread_scratch();
        std::size_t const count = this->socket.read_some(asio::buffer(scratch), failure);
        if (failure == asio::error::would_block) {
            this->async_read(std::move(handler));
            return;
        }
        handler(failure, std::string_view(scratch.data(), count));
    }

    tcp::socket socket;
};

class tls_stream final : public byte_stream {
public:
    tls_stream(tcp::socket accepted, asio::ssl::context& context)
        : stream(std::move(accepted), context) {
        boost::system::error_code ignored;
        this->stream.next_layer().set_option(tcp::no_delay(true), ignored);
    }

    void async_handshake(write_handler handler) {
        this->stream.async_handshake(asio::ssl::stream_base::server, std::move(handler));
    }

    void async_read(read_handler handler) override {
        this->stream.async_read_some(
            asio::buffer(this->input),
            [this, handler = std::move(handler)](
                boost::system::error_code failure, std::size_t count) {
                handler(failure, std::string_view(this->input.data(), count));
            });
    }

    void async_write(std::string_view bytes, write_handler handler) override {
        asio::async_write(
            this->stream, asio::buffer(bytes.data(), bytes.size()),
            [handler = std::move(handler)](
                boost::system::error_code failure, std::size_t) { handler(failure); });
    }

    void close() override {
        boost::system::error_code ignored;
        this->stream.next_layer().shutdown(tcp::socket::shutdown_both, ignored);
        this->stream.next_layer().close(ignored);
    }

private:
    asio::ssl::stream<tcp::socket> stream;
    std::array<char, tls_read_bytes> input{};
};

} // namespace

std::unique_ptr<byte_stream> make_plain_stream(tcp::socket socket) {
    return std::make_unique<plain_stream>(std::move(socket));
}

void async_accept_tls(
    tcp::socket socket, asio::ssl::context& context, handshake_handler handler) {
    auto stream = std::make_unique<tls_stream>(std::move(socket), context);
    tls_stream& started = *stream;
    auto shared = std::make_shared<std::unique_ptr<byte_stream>>(std::move(stream));
    started.async_handshake(
        [shared, handler = std::move(handler)](boost::system::error_code failure) {
            handler(failure, std::move(*shared));
        });
}

} // namespace persimmonpoint::net
