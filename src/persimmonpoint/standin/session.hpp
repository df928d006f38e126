#ifndef PERSIMMONPOINT_STANDIN_SESSION_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_SESSION_HPP_INCLUDED

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <persimmonpoint/postgres/frame_channel.hpp>
#include <persimmonpoint/standin/database_core.hpp>

namespace persimmonpoint::standin {

/// One connection to the stand-in database.
class session final : public postgres::frame_handler,
                      public std::enable_shared_from_this<session> {
public:
    session(
        std::shared_ptr<database::implementation> owner,
        std::shared_ptr<postgres::frame_channel> channel,
        std::uint64_t id);

    void on_message(postgres::frontend_message const& message) override;
    void on_bad_frame(error const& failure) override;
    void on_closed() override;

    std::uint64_t id() const { return this->session_id; }
    std::string const& tag() const { return this->application_name; }
    bool in_transaction() const;
    bool is_idle() const { return !this->busy; }
    std::chrono::milliseconds idle_time() const;
    void silence() { this->silent = true; }
    void terminate();
    /// Works on no further message until the database's pause ends.
    void hold();

private:
    struct prepared {
        parsed_text parsed;
        std::vector<std::uint32_t> types;
    };
    struct portal {
        prepared source;
        std::vector<value> parameters;
        std::vector<std::int16_t> result_formats;
        std::optional<answer> pending; ///< Rows that a row limit has held back.
        std::size_t next_row = 0;
    };
    enum class transaction_state { none, implicit, open, failed };

    void handle(postgres::startup_message const& startup);
    void handle(postgres::password_message const& message);
    void handle(postgres::query_message const& message);
    void handle(postgres::parse_message const& message);
    void handle(postgres::bind_message const& message);
    void handle(postgres::describe_message const& message);
    void handle(postgres::execute_message const& message);
    void handle(postgres::close_message const& message);
    void handle(postgres::sync_message const& message);
    void handle(postgres::cancel_request const& request);
    template <class Other>
    void handle(Other const& message);

    using done = std::function<void()>;
    void run_list(std::shared_ptr<std::vector<sql_statement> const> list, std::size_t at);
    void run_one(
        sql_statement const& statement,
        std::vector<value> parameters,
        std::function<void(execution)> then);
    void attempt(
        sql_statement const& statement,
        std::shared_ptr<std::vector<value>> parameters,
        std::function<void(execution)> then,
        std::chrono::steady_clock::time_point deadline);
    execution run_control(sql_statement const& statement);
    execution finish_transaction(bool keep);
    bool end_implicit();
    void end_statement();
    void release();
    void look_for_watched(std::string_view text);
    void drop_transaction();
    void fail(error const& failure);
    void ready();
    void write_answer(
        answer const& result,
        std::span<std::int16_t const> formats,
        bool described,
        std::size_t first,
        std::size_t count);
    void write_columns(
        std::vector<output_column> const& columns, std::span<std::int16_t const> formats);
    void send();
    void begin_work();
    void end_work();
    data_access access();

    std::shared_ptr<database::implementation> owner;
    std::shared_ptr<postgres::frame_channel> channel;
    std::uint64_t session_id;
    std::string application_name;
    std::string output;
    postgres::backend_writer writer;
    boost::asio::steady_timer timer;
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::string>> outbox;
    bool outbox_armed = false;
    boost::asio::steady_timer outbox_timer;
    std::map<std::string, prepared, std::less<>> statements;
    std::map<std::string, portal, std::less<>> portals;
    open_changes changes;
    transaction_state transaction = transaction_state::none;
    bool authenticated = false;
    bool skipping_to_sync = false;
    bool busy = false;
    bool silent = false;
    bool closed = false;
    std::chrono::steady_clock::time_point last_activity;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_SESSION_HPP_INCLUDED
