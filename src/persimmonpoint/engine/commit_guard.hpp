#ifndef PERSIMMONPOINT_ENGINE_COMMIT_GUARD_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_COMMIT_GUARD_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/commit_fence.hpp>
#include <persimmonpoint/core/recovery/fence_call.hpp>
#include <persimmonpoint/engine/fleet_view.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <string>
#include <vector>

namespace persimmonpoint::engine {

/// The notices of all hosts in the store. Handlers run on the traffic thread.
class notice_board {
public:
    virtual ~notice_board() = default;
    /// Nothing if they could not be read.
    virtual void
    read_notices(std::function<void(std::optional<std::vector<stored_notice>>)> done) = 0;
    /// Writes this host's notice; the handler gets the store's era, or nothing if the
    /// notice may not have been written.
    virtual void write_notice(
        fence_notice const& notice,
        std::function<void(std::optional<std::uint64_t>)> done) = 0;
};

/// Keeps commits from a primary that another host is about to replace, and has the other
/// hosts do so for the changes of this one.
class commit_guard {
public:
    commit_guard(
        boost::asio::io_context& loop,
        clock const& clock,
        fleet_view const& view,
        notice_board& board,
        std::string self);
    ~commit_guard();
    commit_guard(commit_guard const&) = delete;
    commit_guard& operator=(commit_guard const&) = delete;
    void start(peer_mesh& mesh);

    // Commits of this host

    /// Whether a commit may be sent now. Reads the store if that is needed to know.
    fence_verdict judge(std::string const& group, std::string const& database);
    /// Calls `look` whenever a verdict may have changed.
    void set_listener(std::function<void()> look);
    void commit_sent(std::string const& database);
    void commit_ended(std::string const& database);

    // Changes of other hosts

    /// Takes a host's notice. `answer` is called once no commit that it rules out is on
    /// its way, or soon in any case.
    void
    on_notice(std::string const& host, fence_notice notice, std::function<void()> answer);

    // Changes of this host

    /// The other hosts are to send no commit to `primary`, until `end`.
    void call(std::string const& group, std::string const& primary);
    void end(std::string const& group);
    bool is_called(std::string const& group) const;
    fence_standing standing(std::string const& group);
    /// Since when the fence has stood, as `standing` saw it.
    std::optional<instant> stands_since(std::string const& group) const;
    void on_answer(std::string const& host, std::uint64_t number);
    /// What a host that links up must know first.
    std::optional<fence_notice> current_notice() const;
    /// Other hosts that are neither linked nor have certainly stopped.
    std::size_t hosts_unlinked() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_COMMIT_GUARD_HPP_INCLUDED
