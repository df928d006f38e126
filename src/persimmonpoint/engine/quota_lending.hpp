#ifndef PERSIMMONPOINT_ENGINE_QUOTA_LENDING_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_QUOTA_LENDING_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <cstddef>
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

/// Which hosts lend the teams' quotas: endorses one lender for each shard of the teams,
/// and lends what is this host's to lend.
class quota_lending {
public:
    /// Called when another host lends a shard than before.
    using change_handler = std::function<void(std::size_t shard)>;

    quota_lending(
        boost::asio::io_context& loop,
        clock const& clock,
        fleet_view const& view,
        std::string self,
        quota_rules const& rules,
        change_handler on_lender_changed);
    ~quota_lending();
    void start(peer_mesh& mesh);

    static std::size_t shard_of(std::string_view team);
    /// Empty if none may be borrowed from now.
    std::string_view lender_of(std::string_view team) const;

    void set_host_count(std::size_t hosts);
    void set_limit(std::string_view team, quota_part whole);
    void forget_team(std::string_view team);
    /// Lenders that are others by now are followed at once.
    void hosts_changed();
    /// This host is leaving: it lends to those only that have not found another lender.
    void retire();

    void on_endorsement(std::string const& host, endorsement_message const& message);
    void on_release(std::string const& host, release_message const& message);
    loan_message on_borrow(borrow_message const& message);

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_QUOTA_LENDING_HPP_INCLUDED
