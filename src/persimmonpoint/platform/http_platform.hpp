#ifndef PERSIMMONPOINT_PLATFORM_HTTP_PLATFORM_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_HTTP_PLATFORM_HPP_INCLUDED

#include <persimmonpoint/interfaces/host_list.hpp>
#include <persimmonpoint/interfaces/object_store.hpp>
#include <persimmonpoint/interfaces/table_service.hpp>
#include <persimmonpoint/platform/http_client.hpp>

namespace persimmonpoint::platform {

/// The platform's services over HTTP and JSON.
class http_platform final : public table_service, public object_store, public host_list {
public:
    http_platform(
        boost::asio::io_context& loop,
        std::string address,
        std::uint16_t port,
        std::chrono::milliseconds timeout);

    void range(std::string_view prefix, range_handler handler) override;
    void commit(table_commit const& commit, commit_handler handler) override;
    void get(std::string_view name, get_handler handler) override;
    void put(std::string_view name, std::string_view body, put_handler handler) override;
    void list(host_list::handler handler) override;

private:
    http_client client;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_HTTP_PLATFORM_HPP_INCLUDED
