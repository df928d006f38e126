#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <support/free_port.hpp>
#include <unistd.h>

namespace persimmonpoint::tests {

namespace asio = boost::asio;

namespace {

/// The kernel gives connections ports above these; a host must find its own free again
/// when it starts anew.
constexpr unsigned first_port = 10000;
constexpr unsigned port_count = 20000;
constexpr unsigned ports_per_process = 97;

} // namespace

std::uint16_t free_port() {
    static unsigned next = static_cast<unsigned>(::getpid()) * ports_per_process;
    asio::io_context loop;
    for (unsigned tries = 0; tries < port_count; ++tries) {
        auto const port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        boost::system::error_code failure;
        asio::ip::tcp::acceptor probe(loop, asio::ip::tcp::v4());
        probe.bind({asio::ip::address_v4::loopback(), port}, failure);
        if (!failure) {
            return port;
        }
    }
    throw std::runtime_error("no port is free");
}

} // namespace persimmonpoint::tests
