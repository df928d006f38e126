#ifndef PERSIMMONPOINT_STANDIN_PLATFORM_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_PLATFORM_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <persimmonpoint/interfaces/host_list.hpp>
#include <persimmonpoint/interfaces/table_service.hpp>
#include <string>
#include <vector>

namespace persimmonpoint::standin {

/// Stand-in for the platform: table service, object store and host list over HTTP.
/// All members run on the event loop given at construction.
class platform {
public:
    explicit platform(boost::asio::io_context& loop, std::uint16_t port = 0);
    ~platform();

    std::uint16_t port() const;
    /// Commits at once, without conditions.
    void write(std::string key, std::string value);
    void set_hosts(std::vector<listed_host> hosts);
    table_range range(std::string const& prefix) const;

    /// @name Faults
    /// @{
    void set_down(bool down); ///< Requests are swallowed and never answered.
    void set_delay(std::chrono::milliseconds delay);
    void lose_next_answers(std::size_t count); ///< Takes effect, then closes unanswered.
    /// @}

private:
    struct implementation;
    class connection;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_PLATFORM_HPP_INCLUDED
