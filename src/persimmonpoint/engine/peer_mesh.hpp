#ifndef PERSIMMONPOINT_ENGINE_PEER_MESH_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_MESH_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <memory>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/recovery/fence_call.hpp>
#include <persimmonpoint/engine/mesh_observer.hpp>
#include <persimmonpoint/engine/peer_exchanges.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <span>
#include <string>
#include <string_view>

namespace persimmonpoint::engine {

/// The links of this host to the other hosts, and which of these may be given work.
class peer_mesh {
public:
    /// Throws boost::system::system_error if the address can't be bound.
    peer_mesh(
        boost::asio::io_context& loop,
        clock const& clock,
        mesh_observer& observer,
        registered_host self);
    ~peer_mesh();

    /// The registered hosts; this one may be among them.
    void set_hosts(std::span<registered_host const> hosts);
    /// Addresses to learn a configuration from while no host is registered.
    void set_seeds(std::span<std::string const> addresses);

    /// This host and the others that may be given work, by name.
    std::vector<registered_host> usable_hosts() const;
    bool is_usable(std::string_view host) const;
    /// True if a process of that name has certainly stopped.
    bool has_stopped(std::string_view host) const;
    /// True if a process of that name has certainly stopped, or takes no more work.
    bool has_ended(std::string_view host) const;
    /// True if the host said something within `age`; always true for this one.
    bool heard_within(std::string_view host, duration age) const;
    /// Hosts that have been out of reach for at least `age`.
    std::vector<std::string> lost_hosts(duration age) const;
    /// True if each host that tells this one its news is linked, or has certainly ended.
    bool hears_neighbours() const;
    /// True if each other host was heard within `age`, or has certainly stopped. In a
    /// fleet whose hosts aren't all linked to each other, none is expected to be heard.
    bool hears_all(duration age) const;
    /// The other hosts that may send commits: in a fleet whose hosts aren't all linked to
    /// each other, those that are linked to this one.
    std::vector<fence_partner> fence_partners() const;
    /// True if messages reach the host at once; always true for this one.
    bool is_linked(std::string_view host) const;
    /// Opens a link to the host, if there is none and it may be there.
    void link_to(std::string_view host);
    /// Hosts that are linked at present.
    std::vector<std::string> connected_hosts() const;

    /// Hands an order to another host. The answer says `unknown` if the link breaks.
    void submit(std::string const& host, upstream_request order, response_handler done);
    void send(std::string const& host, peer_message const& message);
    /// To all hosts that are linked.
    void broadcast(peer_message const& message);
    /// To all hosts that are linked, over the links of either side.
    void tell_all(peer_message const& message);
    /// Asks whether a host reaches a database.
    void
    ask_reach(std::string const& host, std::string const& database, reach_handler done);
    /// Tells all at once that this host takes no further orders.
    void announce();
    /// Tells that this host knows something newer: all others in a small fleet, the
    /// neighbours in a large one.
    void tell_news();
    /// Links with responses for other hosts that are still to be sent.
    std::size_t unsent_responses() const;
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_MESH_HPP_INCLUDED
