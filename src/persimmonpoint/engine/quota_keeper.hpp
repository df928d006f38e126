#ifndef PERSIMMONPOINT_ENGINE_QUOTA_KEEPER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_QUOTA_KEEPER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <memory>
#include <persimmonpoint/engine/fleet_view.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <string>

namespace persimmonpoint::engine {

class peer_mesh;

/// The teams' quotas on this host: spends its part, asks the teams' dividers for more, and
/// divides the quotas of the teams that are this host's to divide.
class quota_keeper {
public:
    quota_keeper(
        boost::asio::io_context& loop,
        clock const& clock,
        fleet_view const& view,
        std::string self);
    ~quota_keeper();
    void start(peer_mesh& mesh);
    /// The configuration or the number of hosts changed.
    void refresh();

    /// Takes one operation of a team. Zero if it may run, else the time until one may.
    duration take(std::string_view team);

    quota_grant_message
    on_report(std::string const& host, quota_report_message const& message);
    void on_grant(std::string const& host, quota_grant_message const& message);

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_QUOTA_KEEPER_HPP_INCLUDED
