#ifndef PERSIMMONPOINT_TESTS_HOSTILE_HOSTILE_STAGE_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_HOSTILE_HOSTILE_STAGE_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <persimmonpoint/standin/line_group.hpp>
#include <persimmonpoint/standin/row_store.hpp>
#include <soak/host_process.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace persimmonpoint::tests {

/// One host as a process of its own, with low limits on what callers may make it hold,
/// and the stand-ins of store and databases.
class hostile_stage {
public:
    /// What all callers together may make the host hold, by its settings.
    static constexpr std::size_t held_bytes = 4 * 1024 * 1024;
    /// Connections of callers at a time, by its settings.
    static constexpr std::size_t connections = 120;

    /// Starts the host and waits until it is ready.
    hostile_stage();
    ~hostile_stage();

    std::uint16_t caller_port() const { return this->callers; }
    bool lives() { return this->host->running(); }
    /// The most memory that the process has had, in bytes.
    std::size_t peak_memory() const;
    std::size_t descriptors() const;
    /// True if a new caller's write and read are answered.
    bool serves_an_ordinary_caller() const;

private:
    void on_loop(std::function<void()> const& action);
    void write_rows();
    void write_settings() const;

    boost::asio::io_context loop;
    std::unique_ptr<standin::line_group> group;
    std::unique_ptr<standin::row_store> store;
    std::thread thread;
    std::filesystem::path folder;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    std::unique_ptr<host_process> host;
};

/// Connections that send what they like, and read only if they are told to.
class crowd {
public:
    crowd(std::uint16_t port, std::size_t size);
    ~crowd();
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;

    /// Starts a session on each of them and waits for its answer. Those that are closed
    /// meanwhile are left out from then on.
    void start_sessions();
    /// Sends as much of the bytes on each as it takes without a pause, or all of it.
    void send(std::string_view bytes);
    /// The same in pieces of this size, a piece to each in turn.
    void send_in_pieces(std::string_view bytes, std::size_t piece);
    /// Connections that are open on this side.
    std::size_t size() const { return this->sockets.size(); }

private:
    std::vector<int> sockets;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_HOSTILE_HOSTILE_STAGE_HPP_INCLUDED
