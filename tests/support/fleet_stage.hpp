#ifndef PERSIMMONPOINT_TESTS_SUPPORT_FLEET_STAGE_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_FLEET_STAGE_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/host/front_host.hpp>
#include <persimmonpoint/standin/line_group.hpp>
#include <persimmonpoint/standin/row_store.hpp>
#include <string>
#include <support/line_caller.hpp>
#include <thread>
#include <vector>

namespace persimmonpoint::tests {

/// The stand-ins of the platform, one group of three databases, and some hosts.
class fleet_stage {
public:
    explicit fleet_stage(std::size_t hosts = 2);
    ~fleet_stage();

    /// Adds a host; `reaches_store` false gives it a store that nobody serves.
    void add_host(bool reaches_store = true);
    void stop_host(std::size_t index);
    std::uint16_t caller_port(std::size_t host) const;
    /// Status of a host's readiness; 0 if it doesn't answer.
    unsigned readiness(std::size_t host) const;
    /// Hosts that the store knows.
    std::size_t registered_hosts();

    /// Runs on the stand-ins' thread and waits for it.
    void with_standins(std::function<void()> action);
    /// Writes a configuration: keys of team "hatchery", its rate, and its burst, which is
    /// the rate if it isn't given.
    void configure(
        std::vector<std::string> const& keys,
        double rate = 10000,
        bool extra_route = false,
        std::optional<double> burst = std::nullopt);
    /// Writes the newest configuration again, as the operator does after a restore.
    void configure_again();
    /// Writes the databases' entries as they are now.
    void register_databases(std::vector<std::string> const& leaving = {});

    /// Availability zones of databases that aren't in the hosts' zone, by id.
    std::map<std::string, std::string> zones;
    /// Milliseconds that databases say to be cold for, by id.
    std::map<std::string, unsigned> cold_ms;
    /// Fields of the service and of each route, each with a comma in front.
    std::string service_fields;
    std::string route_fields;
    /// The region of each availability zone, in the settings of hosts that are added.
    zone_regions regions;
    standin::line_group* group = nullptr;
    standin::row_store* store = nullptr;

private:
    struct host_run {
        std::unique_ptr<host::front_host> host;
        std::thread thread;
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        bool running = false;
    };

    boost::asio::io_context loop{1};
    std::thread standin_thread;
    std::unique_ptr<standin::line_group> owned_group;
    std::unique_ptr<standin::row_store> owned_store;
    std::vector<std::unique_ptr<host_run>> hosts;
    std::vector<std::string> peer_addresses;
    std::uint64_t version = 0;
    std::string newest_configuration;
};

/// Waits until the condition holds; false after ten seconds.
bool eventually(std::function<bool()> const& condition);

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_FLEET_STAGE_HPP_INCLUDED
