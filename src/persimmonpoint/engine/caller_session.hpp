#ifndef PERSIMMONPOINT_ENGINE_CALLER_SESSION_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_CALLER_SESSION_HPP_INCLUDED

#include <memory>
#include <persimmonpoint/core/limits/memory_budget.hpp>
#include <persimmonpoint/engine/quota_keeper.hpp>
#include <persimmonpoint/engine/statement_run.hpp>
#include <persimmonpoint/engine/traffic_counts.hpp>
#include <persimmonpoint/interfaces/caller_channel.hpp>

namespace persimmonpoint::engine {

/// What sessions need of their host.
struct session_context {
    run_context& runs;
    quota_keeper& quotas;
    traffic_counts& counts;
    /// False while the host stops: a session ends as soon as it is between two
    /// operations.
    bool keeps_sessions = true;
    bool accepts_work = true; ///< False once the host is about to exit.
    /// False while the host has just started: callers that connect wait to be accepted.
    bool knows_configuration = true;
    /// For what clients set and prepare. A session may outlive its host.
    std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>();
};

/// One caller's session.
class caller_session final : public caller_observer,
                             public std::enable_shared_from_this<caller_session> {
public:
    using ended_handler = std::function<void(caller_session*)>;

    caller_session(
        session_context& context,
        std::shared_ptr<caller_channel> channel,
        ended_handler on_ended);
    ~caller_session() override;

    void on_start(std::string_view database, std::string_view key) override;
    void on_statement(statement const& what) override;
    void on_closed() override;

    /// Accepts or refuses a caller that had to wait for the host's configuration.
    void configuration_known();
    /// Refuses a caller that waits for it.
    void configuration_missing();
    /// Ends the session if it is outside a transaction and has no request outstanding.
    void dismiss_if_idle();
    /// True while the caller waits for an answer, or part of one is still to be sent.
    bool owes_answer() const;
    /// Answers the request that is outstanding, if any, with what is known of it.
    void end_request();
    /// The host is gone: lets go of the channel, which holds this session.
    void abandon();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_CALLER_SESSION_HPP_INCLUDED
