#ifndef PERSIMMONPOINT_ENGINE_STATEMENT_RUN_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_STATEMENT_RUN_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/core/catalog/fleet_configuration.hpp>
#include <persimmonpoint/core/recovery/retry_policy.hpp>
#include <persimmonpoint/engine/dispatcher.hpp>
#include <persimmonpoint/engine/fleet_view.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::engine {

/// What a statement run needs of its host.
struct run_context {
    boost::asio::io_context& loop;
    clock const& time;
    fleet_view& view;
    dispatcher& orders;
    std::string availability_zone;
};

struct run_request {
    upstream_request order; ///< Kind, texts, values; the database is chosen by the run.
    served_route route;     ///< As it was when the transaction began.
    home_regions homes;     ///< Of route and team, as above.
    bool needs_leader = false;
    std::optional<log_position>
        last_commit_position; ///< Of the session, where its reads need it.
    bool non_idempotent = false;
    std::string owner; ///< Of the transaction; empty outside one.
};

struct run_outcome {
    bool refused = false; ///< `answer.error` is the system's, not the database's.
    upstream_response answer;
    std::string database;
    std::string owner;
    unsigned attempts = 0;
};

/// Takes one statement to a database, by as many attempts as its plan allows.
class statement_run : public std::enable_shared_from_this<statement_run> {
public:
    using handler = std::function<void(run_outcome)>;

    /// The run lasts until its handler was called, whether or not the result is kept.
    static std::weak_ptr<statement_run>
    start(run_context& context, run_request request, handler done);

    statement_run(run_context& context, run_request request, handler done);
    ~statement_run();

    /// Ends the run now; the outcome says whether the statement may have run.
    void give_up(std::string_view reason);

private:
    void begin();
    void attempt();
    void attempt_inside();
    duration attempt_limit(instant now) const;
    void send(std::string const& database, std::optional<log_position> floor);
    void answered(
        std::string const& database,
        instant sent,
        upstream_response answer,
        std::string const& owner);
    void
    learn(std::string const& database, instant sent, upstream_response const& answer);
    void check_leader();
    void follow(retry_decision decision, run_outcome outcome);
    void later();
    void refuse(statement_error code, std::string text);
    void finish(run_outcome outcome);
    /// True if the request may be brought to the database.
    bool is_at_home(registered_database const& database) const;
    /// False if none of the databases that could carry it out is one that it may be
    /// brought to.
    bool has_home(group_routing const& group) const;
    /// Databases that a read doesn't choose: those that were tried, and those that it may
    /// not be brought to.
    std::vector<std::string> excluded(group_routing const& group) const;
    /// False if no floor is known that is good enough.
    bool find_floor(std::optional<log_position>& floor) const;

    struct implementation;
    std::unique_ptr<implementation> impl;
};

/// Takes note of what a database's answer tells about its group.
void learn_from_answer(
    group_routing& group,
    std::string const& database,
    instant sent,
    upstream_response const& answer,
    instant now);

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_STATEMENT_RUN_HPP_INCLUDED
