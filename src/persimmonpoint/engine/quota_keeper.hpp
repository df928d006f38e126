#ifndef PERSIMMONPOINT_ENGINE_QUOTA_KEEPER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_QUOTA_KEEPER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/core/limits/quota_share.hpp>
#include <persimmonpoint/engine/fleet_view.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::engine {

class peer_mesh;

/// The teams' quotas on this host: spends its own part of them, borrows what it needs
/// beyond, and lends the quotas that are this host's to lend.
class quota_keeper {
public:
    /// Zero if the operation may run, else the time until one may.
    using handler = std::function<void(duration wait)>;

    quota_keeper(
        boost::asio::io_context& loop,
        clock const& clock,
        fleet_view const& view,
        std::string self,
        quota_rules const& rules);
    ~quota_keeper();
    void start(peer_mesh& mesh);
    /// The configuration or the number of hosts changed.
    void refresh();

    /// Takes one operation of a team. The handler may be called at once.
    void take(std::string_view team, handler done);

    /// Other hosts may be given work now than before.
    void hosts_changed();
    /// This host is leaving: it lends to those only that have not found another lender.
    void retire();

    void on_endorsement(std::string const& host, endorsement_message const& message);
    void on_release(std::string const& host, release_message const& message);
    loan_message on_borrow(borrow_message const& message);
    void on_loan(loan_message const& message);

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_QUOTA_KEEPER_HPP_INCLUDED
