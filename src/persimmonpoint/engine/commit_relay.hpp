#ifndef PERSIMMONPOINT_ENGINE_COMMIT_RELAY_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_COMMIT_RELAY_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/acknowledgement_gate.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <string>

namespace persimmonpoint::engine {

/// Where the states of databases are had from.
class state_source {
public:
    using state_handler = std::function<void(std::optional<database_state> const&)>;

    virtual ~state_source() = default;
    /// Asks a database for its state; the handler gets nothing if there is no answer.
    /// @param misses Requests for this database's state that had no answer in time.
    virtual void ask_state(
        std::string const& group,
        std::string const& database,
        unsigned misses,
        state_handler done) = 0;
};

/// Passes on the answers to commits that succeeded, each once its group's
/// acknowledgement_gate lets it pass.
class commit_relay {
public:
    commit_relay(
        boost::asio::io_context& loop, clock const& clock, state_source& databases);
    ~commit_relay();
    commit_relay(commit_relay const&) = delete;
    commit_relay& operator=(commit_relay const&) = delete;

    /// Takes the listed databases, of all groups.
    void
    set_databases(std::map<std::string, registered_database, std::less<>> const& listed);
    /// Takes the answer to a commit of `group` at its primary. The handler gets it, or
    /// that the outcome is unknown, by `deadline`.
    void pass_on(
        std::string const& group,
        std::string const& primary,
        upstream_response answer,
        instant deadline,
        response_handler done);
    /// Answers that wait.
    std::size_t waiting() const;
    /// Ends all that waits, as in doubt.
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_COMMIT_RELAY_HPP_INCLUDED
