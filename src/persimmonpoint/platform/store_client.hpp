#ifndef PERSIMMONPOINT_PLATFORM_STORE_CLIENT_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_STORE_CLIENT_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <persimmonpoint/interfaces/fleet_store.hpp>
#include <string>
#include <vector>

namespace persimmonpoint::platform {

/// How often one kind of call was made.
struct store_call_count {
    std::string call; ///< As it is published, such as rows-get.
    std::string table;
    std::uint64_t count = 0;
};

/// The platform's store, by its published calls.
class store_client final : public fleet_store {
public:
    /// `address`: IP number and port.
    store_client(boost::asio::io_context& loop, std::string const& address);
    ~store_client() override;

    void read_operations(handler<stored_operations> done) override;
    void watch_operations(
        store_version const& version,
        std::chrono::milliseconds wait,
        handler<watch_result> done) override;
    bool receives_configuration() const override;
    void read_databases(handler<database_directory> done) override;
    void read_hosts(handler<stored_hosts> done) override;
    void watch_hosts(
        store_version const& version,
        std::chrono::milliseconds wait,
        handler<watch_result> done) override;
    void register_host(registered_host const& host, handler<void> done) override;
    void remove_host(std::string_view name, handler<void> done) override;
    void break_off_watches() override;
    void read_notices(handler<std::vector<stored_notice>> done) override;
    void write_notice(stored_notice const& notice, handler<std::uint64_t> done) override;
    void read_lease(std::string_view group, handler<leadership_lease> done) override;
    void take_lease(
        std::string_view group,
        leadership_lease const& lease,
        handler<bool> done) override;
    /// Calls made so far, pages of a list each for itself.
    std::vector<store_call_count> calls() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_STORE_CLIENT_HPP_INCLUDED
