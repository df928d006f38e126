#ifndef PERSIMMONPOINT_ENGINE_PEER_NEWS_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_NEWS_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/membership/news_desk.hpp>
#include <persimmonpoint/engine/mesh_observer.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <vector>

namespace persimmonpoint::engine {

/// What two linked hosts tell each other of configuration, databases and hosts. The same
/// in both directions of a link.
class peer_news {
public:
    peer_news(clock const& time, mesh_observer& observer);

    /// How long the store is waited for depends on the fleet's size.
    void set_pace(fleet_pace const& pace);
    /// Takes what another host tells with its sign of life. The versions to ask it to go
    /// beyond; empty if it need not be asked.
    std::optional<news_versions> heard(alive_message const& theirs);
    /// A part of a message has arrived from another host.
    void receiving(std::size_t bytes);
    /// What this host knows that is newer.
    std::vector<peer_message> newer_than(news_versions const& theirs) const;
    /// Passes news on to the observer. Other messages are left alone.
    void take(peer_message message);

private:
    clock const& time;
    mesh_observer& observer;
    fleet_pace pace = pace_for(1);
    news_desk desk;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_NEWS_HPP_INCLUDED
