#ifndef PERSIMMONPOINT_PLATFORM_OPERATOR_CLIENT_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_OPERATOR_CLIENT_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <memory>
#include <persimmonpoint/interfaces/fleet_store.hpp>
#include <string>

namespace persimmonpoint::platform {

/// The platform's promotion call, made in the name of one host.
class operator_client final : public promoter {
public:
    /// `address`: IP number and port.
    operator_client(
        boost::asio::io_context& loop, std::string const& address, std::string host);
    ~operator_client() override;

    void promote(
        std::string_view group,
        std::string_view database,
        std::uint64_t token,
        handler done) override;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_OPERATOR_CLIENT_HPP_INCLUDED
