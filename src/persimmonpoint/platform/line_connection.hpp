#ifndef PERSIMMONPOINT_PLATFORM_LINE_CONNECTION_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_LINE_CONNECTION_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <memory>
#include <persimmonpoint/interfaces/upstream_connection.hpp>

namespace persimmonpoint::platform {

/// Makes connections to databases that speak the platform's line protocol.
class line_connector final : public upstream_connector {
public:
    explicit line_connector(boost::asio::io_context& loop);
    std::shared_ptr<upstream_connection> make() override;

private:
    boost::asio::io_context& loop;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_LINE_CONNECTION_HPP_INCLUDED
