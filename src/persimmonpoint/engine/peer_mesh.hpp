#ifndef PERSIMMONPOINT_ENGINE_PEER_MESH_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_MESH_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/engine/database_owner.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <span>
#include <string>
#include <string_view>

namespace persimmonpoint::engine {

/// What this host does for others.
class mesh_observer {
public:
    virtual ~mesh_observer() = default;
    virtual void on_order(work_order order, order_source source, answer_handler done) = 0;
    /// The host that gave orders as `source` is gone.
    virtual void on_source_gone(order_source source) = 0;
    virtual void on_configuration(configuration_message message) = 0;
    virtual void on_directory(directory_message message) = 0;
    virtual void on_leader(leader_message const& message) = 0;
    virtual void
    on_endorsement(std::string const& host, endorsement_message const& message) = 0;
    virtual void on_release(std::string const& host, release_message const& message) = 0;
    virtual loan_message on_borrow(borrow_message const& message) = 0;
    virtual void on_loan(loan_message const& message) = 0;
    virtual void
    on_reach_query(std::string const& database, std::function<void(bool)> done) = 0;
    /// A host became usable, or is no longer.
    virtual void on_peers_changed() = 0;
    /// What this host tells of itself.
    virtual alive_message own_state() = 0;
    virtual bool reaches_store() const = 0;
    virtual configuration_message own_configuration() = 0;
    virtual directory_message own_directory() = 0;
    virtual void on_hosts(hosts_message message) = 0;
    virtual hosts_message own_hosts() = 0;
};

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
    /// True if a process of that name has certainly stopped, or takes no more work.
    bool has_ended(std::string_view host) const;
    /// True if the host said something within `age`; always true for this one.
    bool heard_within(std::string_view host, duration age) const;
    /// Hosts that have been out of reach for at least `age`.
    std::vector<std::string> lost_hosts(duration age) const;
    /// Hosts that are linked at present.
    std::vector<std::string> connected_hosts() const;

    /// Hands an order to another host. The answer says `unknown` if the link breaks.
    void submit(std::string const& host, work_order order, answer_handler done);
    void send(std::string const& host, peer_message const& message);
    /// To all hosts that are linked.
    void broadcast(peer_message const& message);
    /// Asks whether a host reaches a database; false also if it does not answer.
    void ask_reach(
        std::string const& host,
        std::string const& database,
        std::function<void(bool)> done);
    /// Tells all at once that this host takes no further orders.
    void announce();
    /// Tells that this host knows something newer: all others in a small fleet, the
    /// neighbours in a large one.
    void tell_news();
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_MESH_HPP_INCLUDED
