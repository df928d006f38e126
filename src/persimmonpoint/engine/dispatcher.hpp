#ifndef PERSIMMONPOINT_ENGINE_DISPATCHER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_DISPATCHER_HPP_INCLUDED

#include <functional>
#include <memory>
#include <persimmonpoint/core/placement/database_evacuation.hpp>
#include <persimmonpoint/core/placement/home_regions.hpp>
#include <persimmonpoint/engine/commit_guard.hpp>
#include <persimmonpoint/engine/database_owner.hpp>
#include <persimmonpoint/engine/fleet_view.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <string>
#include <utility>

namespace persimmonpoint::engine {

/// Bounds on what databases are sent, by the settings.
struct database_bounds {
    /// How long a database serves from when it tells that it leaves.
    duration drain{0};
    /// Time within which a database of an evacuated zone is sent nothing more.
    duration evacuation = default_evacuation_limit;
    /// Factor by which the rate of a cold database may be exceeded.
    double cold_overrun = 1;
};

/// Takes orders to the host that owns the database's connections, and runs the orders for
/// the databases that this host owns.
class dispatcher {
public:
    /// `owner`: the host that ran the order, which any transaction in the answer is open
    /// at.
    using handler =
        std::function<void(upstream_response answer, std::string const& owner)>;

    dispatcher(
        boost::asio::io_context& loop,
        upstream_connector& connector,
        clock const& clock,
        owner_observer& observer,
        fleet_view const& view,
        std::string self,
        database_bounds const& bounds);
    ~dispatcher();
    void use(peer_mesh& mesh);
    /// Commits are sent as far as the guard allows; all of them without one.
    void use(commit_guard& guard);

    /// Gives the order to the first owner that is usable, and to the next one if it could
    /// not be run there.
    /// @param homes Of the request: it is brought to no host elsewhere.
    void submit(upstream_request order, home_regions const& homes, handler done);
    void submit(upstream_request order, handler done) {
        this->submit(std::move(order), home_regions(), std::move(done));
    }
    /// Gives the order to this owner only.
    void submit_to(std::string const& owner, upstream_request order, handler done);
    /// Runs an order here, for another host or this one.
    void run_here(upstream_request order, order_source source, response_handler done);
    void forget(order_source source);

    /// Usable owners of a database, the first one first.
    std::vector<std::string> owners_of(registered_database const& database) const;
    /// When a database that leaves is given no new work any more; unset for others.
    std::optional<instant> work_ends_at(std::string_view database) const;
    bool owns(registered_database const& database) const;
    /// Databases of evacuated zones that this host has connections to.
    std::size_t evacuated_databases() const;

    /// Fits limits and databases to a changed directory, configuration or set of hosts.
    void refresh();
    /// Each transaction at a database of this host ends with its next statement, which is
    /// not run.
    void end_transactions();
    /// Ends all orders; those that run have no known outcome.
    void close();
    std::uint64_t connections_opened() const;
    connection_counts connections() const;
    std::uint32_t load() const;
    /// Transactions that are open at databases and wait for their next statement.
    std::size_t open_transactions() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_DISPATCHER_HPP_INCLUDED
