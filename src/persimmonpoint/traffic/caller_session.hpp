#ifndef PERSIMMONPOINT_TRAFFIC_CALLER_SESSION_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_CALLER_SESSION_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/postgres/frame_channel.hpp>
#include <persimmonpoint/traffic/cancel_registry.hpp>
#include <persimmonpoint/traffic/prepared_statements.hpp>
#include <persimmonpoint/traffic/session_chart.hpp>
#include <persimmonpoint/traffic/statement_executor.hpp>
#include <persimmonpoint/traffic/worker_context.hpp>
#include <string>

namespace persimmonpoint::traffic {

/// What cancel requests name a session by.
struct cancel_key {
    std::uint32_t process_id = 0;
    std::uint32_t secret = 0;
};

/// One caller's connection: the protocol from startup to the end.
class caller_session final : public postgres::frame_handler,
                             public std::enable_shared_from_this<caller_session> {
public:
    caller_session(
        worker_context& worker,
        std::shared_ptr<postgres::frame_channel> channel,
        cancel_registry& cancels,
        cancel_key key,
        bool is_loopback,
        std::function<void(caller_session&)> on_end);
    ~caller_session() override;

    void start();
    void on_message(postgres::frontend_message const& message) override;
    void on_held_input() override;
    void on_bad_frame(error const& failure) override;
    void on_closed() override;

    /// Ends the session if its key, route or team is gone, or if the host drains and the
    /// session is idle.
    void on_snapshot();
    void cancel();
    /// Says why and closes.
    void end(std::string_view sqlstate, std::string_view reason);
    /// Closes without a word.
    void cut_off();

private:
    void handle(postgres::ssl_request const& message);
    void handle(postgres::gss_request const& message);
    void handle(postgres::cancel_request const& message);
    void handle(postgres::startup_message const& message);
    void handle(postgres::password_message const& message);
    void handle(postgres::query_message const& message);
    void handle(postgres::parse_message const& message);
    void handle(postgres::bind_message const& message);
    void handle(postgres::describe_message const& message);
    void handle(postgres::execute_message const& message);
    void handle(postgres::close_message const& message);
    void handle(postgres::sync_message const& message);
    void handle(postgres::flush_message const& message);
    void handle(postgres::terminate_message const& message);
    void handle(postgres::unsupported_message const& message);

    bool is_ready_for_commands() const;
    bool authorise(std::string_view key);
    result<void> apply_startup_options(postgres::startup_message const& message);
    void accept_caller();

    struct simple_query;
    void run_simple(std::shared_ptr<simple_query> query);
    void run_simple_statement(std::shared_ptr<simple_query> query);
    void finish_simple(std::shared_ptr<simple_query> query);

    /// Holds messages back until the next one is there, and shows it. What is done now
    /// can depend on what follows: whether a describe is answered by its execute, and
    /// whether an execute stands alone or shares an implicit transaction with others.
    void when_next_known(std::function<void(postgres::frontend_message const&)> then);

    void describe_statement(prepared_statement const& source);
    void describe_portal(std::string const& name);
    void run_described(statement_request request, bool with_parameters);
    void start_execute(std::string const& name, std::size_t row_limit, bool stands_alone);
    void execute_portal(std::string const& name, std::size_t row_limit);
    void write_portal_rows(portal& source, std::size_t row_limit);
    void fail_batch(error const& failure);
    void fail_batch(statement_reply const& reply);
    void finish_sync();

    void begin_work();
    void end_work();
    /// Whether a row description is due: never, if there are rows, or in any case.
    enum class column_mode { none, if_any, described };
    void write_reply(statement_reply const& reply, column_mode mode);
    void write_columns(answer_buffer const& answer, column_mode mode);
    void write_failure(statement_reply const& reply);
    void write_position(statement_reply const& reply);
    void ready_for_query();
    std::function<bool(std::string_view)> forwarder();
    void arm_timer(duration after, char const* sqlstate, char const* reason);

    worker_context& worker;
    std::shared_ptr<postgres::frame_channel> channel;
    cancel_registry& cancels;
    cancel_key key;
    bool is_loopback;
    bool is_encrypted = false;
    std::function<void(caller_session&)> on_end;
    session_machine machine;
    statement_executor executor;
    prepared_statements prepared;
    boost::asio::steady_timer timer;
    session_identity identity;
    std::function<void(postgres::frontend_message const&)> on_next;
    std::string described_portal; ///< Its columns go with its execute.
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_CALLER_SESSION_HPP_INCLUDED
