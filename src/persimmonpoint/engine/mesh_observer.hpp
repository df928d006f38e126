#ifndef PERSIMMONPOINT_ENGINE_MESH_OBSERVER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_MESH_OBSERVER_HPP_INCLUDED

#include <functional>
#include <persimmonpoint/engine/database_owner.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <string>

namespace persimmonpoint::engine {

/// What this host does for others.
class mesh_observer {
public:
    virtual ~mesh_observer() = default;
    virtual void
    on_order(upstream_request order, order_source source, response_handler done) = 0;
    /// The host that gave orders as `source` is gone.
    virtual void on_source_gone(order_source source) = 0;
    virtual void on_configuration(configuration_message message) = 0;
    virtual void on_directory(directory_message message) = 0;
    virtual void on_evacuations(evacuation_list const& /*told*/) {}
    virtual void on_leader(leader_message const& message) = 0;
    virtual void
    on_endorsement(std::string const& host, endorsement_message const& message) = 0;
    virtual void on_release(std::string const& host, release_message const& message) = 0;
    virtual loan_message on_borrow(borrow_message const& message) = 0;
    virtual void on_loan(loan_message const& message) = 0;
    virtual void
    on_reach_query(std::string const& database, std::function<void(bool)> done) = 0;
    /// `answer` is called once the notice is complied with, with what was acknowledged.
    virtual void on_fence(
        std::string const& host,
        fence_message const& message,
        std::function<void(std::vector<told_commit>)> answer) = 0;
    virtual void
    on_fence_answer(std::string const& host, fence_answer_message const& message) = 0;
    /// What a host that links up must know before anything else; nothing if no primary is
    /// fenced by this host.
    virtual std::optional<fence_message> own_fences() = 0;
    /// A host became usable, or is no longer.
    virtual void on_peers_changed() = 0;
    /// A host that was taken to be there has answered over a new link.
    virtual void on_peer_linked() = 0;
    /// What this host tells of itself.
    virtual alive_message own_state() = 0;
    virtual bool reaches_store() const = 0;
    /// True while a configuration is on its way from the store.
    virtual bool reads_configuration() const = 0;
    virtual configuration_message own_configuration() = 0;
    virtual directory_message own_directory() = 0;
    virtual void on_hosts(hosts_message message) = 0;
    virtual hosts_message own_hosts() = 0;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_MESH_OBSERVER_HPP_INCLUDED
