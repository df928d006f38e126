#ifndef PERSIMMONPOINT_POSTGRES_DATABASE_CONNECTION_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_DATABASE_CONNECTION_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/postgres/wire_types.hpp>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

/// One query of a batch.
struct upstream_query {
    std::string sql;
    std::vector<std::uint32_t> parameter_types;
    std::vector<std::optional<std::string>> parameters;
    std::vector<std::int16_t> parameter_formats; ///< Empty, one for all, or one each.
    std::int16_t result_format = 0;
    bool describe_only = false; ///< Prepares and describes, doesn't execute.
    bool sync_after = true;     ///< Ends an implicit transaction behind this query.
};

/// Receives the answers to a batch, in order. Indexes count the batch's queries from 0.
class answer_observer {
public:
    virtual ~answer_observer() = default;
    /// Types of parameters; for a query that is described only.
    virtual void
    on_parameters(std::size_t query, std::span<std::uint32_t const> types) = 0;
    /// Once for a query that returns rows, before the first of them.
    virtual void
    on_columns(std::size_t query, std::span<postgres::column const> columns) = 0;
    virtual void on_row(std::size_t query, std::span<postgres::field const> fields) = 0;
    /// The tag is empty for an empty or a described query.
    virtual void on_complete(std::size_t query, std::string_view tag) = 0;
    /// Later queries up to the next sync are then not run.
    virtual void on_error(std::size_t query, postgres::database_error const& failure) = 0;
    /// The whole batch is answered.
    virtual void on_finished(postgres::transaction_status status) = 0;
    /// The connection broke; it is of no further use. Nothing follows.
    virtual void on_lost(std::string_view reason) = 0;
};

/// A connection to an upstream database. Used from one event loop only.
class database_connection {
public:
    using connect_handler = std::function<void(result<void>)>;

    virtual ~database_connection() = default;
    virtual void connect(connect_handler handler) = 0;
    /// Sends a batch. One batch at a time; the observer must stay until its end.
    virtual void
    run(std::vector<upstream_query> batch, std::shared_ptr<answer_observer> observer) = 0;
    /// Called when an idle connection breaks.
    virtual void when_lost(std::function<void()> handler) = 0;
    /// Rows are held back while set.
    virtual void set_paused(bool paused) = 0;
    /// Asks the database to cancel what runs. The answer still comes as usual.
    virtual void cancel() = 0;
    /// The database's name for this connection.
    virtual int backend_pid() const = 0;
    /// No observer is called any more.
    virtual void close() = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_POSTGRES_DATABASE_CONNECTION_HPP_INCLUDED
