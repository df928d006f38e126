#include <boost/json.hpp>
#include <persimmonpoint/platform/http_platform.hpp>
#include <persimmonpoint/platform/table_json.hpp>

namespace persimmonpoint::platform {

namespace {

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;

error unexpected_status(http_reply const& reply) {
    return error{
        "58000", "platform answered with status " + std::to_string(reply.status),
        effect::unknown};
}

/// Hands the body of a successful reply to a reader, everything else on as an error.
template <class Handler, class Reader>
http_client::handler reading(Handler handler, Reader reader) {
    return [handler = std::move(handler), reader](result<http_reply> reply) {
        if (!reply) {
            handler(reply.error());
        } else if (reply.value().status != http_ok) {
            handler(unexpected_status(reply.value()));
        } else {
            handler(reader(reply.value().body));
        }
    };
}

} // namespace

http_platform::http_platform(
    boost::asio::io_context& loop,
    std::string address,
    std::uint16_t port,
    std::chrono::milliseconds timeout)
    : client(loop, std::move(address), port, timeout) {}

void http_platform::range(std::string_view prefix, range_handler handler) {
    std::string body = boost::json::serialize(boost::json::value{{"prefix", prefix}});
    this->client.request(
        "POST", "/v1/table/range", std::move(body),
        reading(std::move(handler), range_from_json));
}

void http_platform::commit(table_commit const& commit, commit_handler handler) {
    this->client.request(
        "POST", "/v1/table/commit", to_json(commit),
        reading(std::move(handler), commit_result_from_json));
}

void http_platform::get(std::string_view name, get_handler handler) {
    this->client.request(
        "GET", "/v1/objects/" + std::string(name), "",
        [handler = std::move(handler),
         name = std::string(name)](result<http_reply> reply) {
            if (!reply) {
                handler(reply.error());
            } else if (reply.value().status == http_not_found) {
                handler(error{"58000", "object \"" + name + "\" does not exist"});
            } else if (reply.value().status != http_ok) {
                handler(unexpected_status(reply.value()));
            } else {
                handler(std::move(reply.value().body));
            }
        });
}

void http_platform::put(
    std::string_view name, std::string_view body, put_handler handler) {
    this->client.request(
        "PUT", "/v1/objects/" + std::string(name), std::string(body),
        [handler = std::move(handler)](result<http_reply> reply) {
            if (!reply) {
                handler(reply.error());
            } else if (reply.value().status != http_ok) {
                handler(unexpected_status(reply.value()));
            } else {
                handler(boost::outcome_v2::success());
            }
        });
}

void http_platform::list(host_list::handler handler) {
    this->client.request(
        "GET", "/v1/hosts", "", reading(std::move(handler), hosts_from_json));
}

} // namespace persimmonpoint::platform
