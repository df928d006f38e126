#include <array>
#include <boost/json.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/platform/http_client.hpp>
#include <persimmonpoint/platform/operator_client.hpp>
#include <stdexcept>

namespace persimmonpoint::platform {

namespace {

constexpr auto call_limit = std::chrono::milliseconds(800);
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

promotion_result to_result(result<http_reply> const& reply) {
    if (!reply) {
        return reply.error().known_effect == effect::not_run
                   ? promotion_result::not_applied
                   : promotion_result::unanswered;
    }
    switch (reply.value().status) {
    case status_ok:
        return promotion_result::accepted;
    case status_conflict:
        return promotion_result::conflict;
    default:
        return promotion_result::not_applied;
    }
}

} // namespace

struct operator_client::implementation {
    boost::asio::io_context& loop;
    std::string ip;
    std::uint16_t port;
    std::string host;
};

operator_client::operator_client(
    boost::asio::io_context& loop, std::string const& address, std::string host) {
    auto const endpoint = net::parse_endpoint(address);
    if (!endpoint) {
        throw std::invalid_argument("platform.operator is no address: " + address);
    }
    this->impl = std::make_unique<implementation>(implementation{
        loop, endpoint->address().to_string(), endpoint->port(), std::move(host)});
}

operator_client::~operator_client() = default;

void operator_client::promote(
    std::string_view group,
    std::string_view database,
    std::uint64_t token,
    handler done) {
    boost::json::object body;
    body["service"] = group;
    body["id"] = database;
    std::array<http_header, 2> const headers = {{
        {"Persimmonpoint-Duty-Holder", this->impl->host},
        {"Persimmonpoint-Fencing-Token", std::to_string(token)},
    }};
    // A connection of its own for each call: an unanswered one must not hold up the next.
    auto const client = std::make_shared<http_client>(
        this->impl->loop, this->impl->ip, this->impl->port, call_limit);
    client->request(
        "POST", "/promote", boost::json::serialize(body),
        [client, done = std::move(done)](result<http_reply> reply) {
            done(to_result(reply));
        },
        headers);
}

} // namespace persimmonpoint::platform
