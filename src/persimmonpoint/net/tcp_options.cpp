#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <persimmonpoint/net/tcp_options.hpp>
#include <string>
#include <sys/socket.h>

namespace persimmonpoint::net {

namespace {

constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

} // namespace

void set_tcp_options(
    boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds unacknowledged) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    auto const limit = static_cast<unsigned>(unacknowledged.count());
    // A kernel that refuses the option leaves the time-outs of the layers above.
    ::setsockopt(
        socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

void set_keep_alive(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    int const native = socket.native_handle();
    // As above: without them the time-outs of the layers above remain.
    ::setsockopt(
        native, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_s, sizeof(keep_alive_idle_s));
    ::setsockopt(
        native, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_s,
        sizeof(keep_alive_interval_s));
    ::setsockopt(
        native, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof(keep_alive_probes));
}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code failure;
    auto const address =
        boost::asio::ip::make_address(std::string(text.substr(0, colon)), failure);
    std::string_view const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const [end, number_failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure || number_failure != std::errc() ||
        end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::optional<boost::asio::ip::tcp::endpoint>
parse_remote_endpoint(std::string_view text) {
    auto endpoint = parse_endpoint(text);
    if (!endpoint || endpoint->port() == 0 || endpoint->address().is_unspecified() ||
        endpoint->address().is_multicast()) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace persimmonpoint::net
