#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <fcntl.h>
#include <libpq-fe.h>
#include <optional>
#include <persimmonpoint/postgres/canceller.hpp>
#include <persimmonpoint/postgres/libpq_connection.hpp>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace persimmonpoint::postgres {

namespace asio = boost::asio;

namespace {

struct connection_deleter {
    void operator()(PGconn* connection) const { PQfinish(connection); }
};

struct result_deleter {
    void operator()(PGresult* outcome) const { PQclear(outcome); }
};

using connection_ptr = std::unique_ptr<PGconn, connection_deleter>;
using result_ptr = std::unique_ptr<PGresult, result_deleter>;

/// Field types of an error message, in the order a server sends them.
constexpr std::array<char, 17> error_fields = {
    PG_DIAG_SEVERITY,           PG_DIAG_SEVERITY_NONLOCALIZED,
    PG_DIAG_SQLSTATE,           PG_DIAG_MESSAGE_PRIMARY,
    PG_DIAG_MESSAGE_DETAIL,     PG_DIAG_MESSAGE_HINT,
    PG_DIAG_STATEMENT_POSITION, PG_DIAG_INTERNAL_POSITION,
    PG_DIAG_INTERNAL_QUERY,     PG_DIAG_CONTEXT,
    PG_DIAG_SCHEMA_NAME,        PG_DIAG_TABLE_NAME,
    PG_DIAG_COLUMN_NAME,        PG_DIAG_DATATYPE_NAME,
    PG_DIAG_CONSTRAINT_NAME,    PG_DIAG_SOURCE_FILE,
    PG_DIAG_SOURCE_FUNCTION};

database_error to_database_error(PGresult const* outcome) {
    database_error out;
    for (char const field : error_fields) {
        char const* text = PQresultErrorField(outcome, field);
        if (text != nullptr) {
            out.fields.emplace_back(field, text);
        }
    }
    char const* sqlstate = PQresultErrorField(outcome, PG_DIAG_SQLSTATE);
    out.sqlstate = sqlstate == nullptr ? "" : sqlstate;
    char const* message = PQresultErrorField(outcome, PG_DIAG_MESSAGE_PRIMARY);
    out.message = message == nullptr ? PQresultErrorMessage(outcome) : message;
    return out;
}

std::vector<column> to_columns(PGresult const* outcome) {
    std::vector<column> out;
    int const count = PQnfields(outcome);
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        column each;
        each.name = PQfname(outcome, i);
        each.table_oid = PQftable(outcome, i);
        each.table_column = static_cast<std::int16_t>(PQftablecol(outcome, i));
        each.type_oid = PQftype(outcome, i);
        each.type_size = static_cast<std::int16_t>(PQfsize(outcome, i));
        each.type_modifier = PQfmod(outcome, i);
        each.format = static_cast<std::int16_t>(PQfformat(outcome, i));
        out.push_back(std::move(each));
    }
    return out;
}

transaction_status to_status(PGTransactionStatusType status) {
    switch (status) {
    case PQTRANS_INTRANS:
        return transaction_status::open;
    case PQTRANS_INERROR:
        return transaction_status::failed;
    default:
        return transaction_status::idle;
    }
}

class libpq_connection final : public database_connection,
                               public std::enable_shared_from_this<libpq_connection> {
public:
    libpq_connection(asio::io_context& loop, connection_target target)
        : loop(loop), descriptor(loop), target(std::move(target)) {}

    ~libpq_connection() override { this->release(); }

    void connect(connect_handler handler) override {
        std::string const port = std::to_string(this->target.port);
        std::array<char const*, 9> const names = {
            "hostaddr",         "port",    "user",       "password", "dbname",
            "application_name", "sslmode", "gssencmode", nullptr};
        std::array<char const*, 9> const values = {
            this->target.address.c_str(),
            port.c_str(),
            this->target.user.c_str(),
            this->target.password.c_str(),
            this->target.database.c_str(),
            this->target.application_name.c_str(),
            this->target.ssl_mode.c_str(),
            "disable",
            nullptr};
        this->connection.reset(PQconnectStartParams(names.data(), values.data(), 0));
        this->connected = std::move(handler);
        if (!this->connection || PQstatus(this->connection.get()) == CONNECTION_BAD) {
            this->connect_failed(this->last_error());
            return;
        }
        this->wait_connect(PGRES_POLLING_WRITING);
    }

    void
    run(std::vector<upstream_query> batch,
        std::shared_ptr<answer_observer> observer) override {
        this->queries = std::move(batch);
        this->observer = std::move(observer);
        this->current = 0;
        this->in_batch = true;
        this->columns_sent = false;
        this->described_parameters = false;
        if (!this->send_all()) {
            this->post_lost();
            return;
        }
        PQsetSingleRowMode(this->connection.get());
        this->flush();
    }

    void when_lost(std::function<void()> handler) override {
        this->lost = std::move(handler);
    }

    void set_paused(bool paused) override {
        bool const resumed = this->paused && !paused;
        this->paused = paused;
        if (resumed) {
            asio::post(
                this->loop, [self = this->shared_from_this()] { self->take_results(); });
        }
    }

    void cancel() override {
        if (this->connection) {
            cancel_in_background(PQgetCancel(this->connection.get()));
        }
    }

    int backend_pid() const override {
        return this->connection ? PQbackendPID(this->connection.get()) : 0;
    }

    void close() override {
        this->observer.reset();
        this->lost = nullptr;
        this->connected = nullptr;
        this->release();
    }

private:
    void release() {
        this->unwatch_socket();
        this->connection.reset();
    }

    void unwatch_socket() {
        if (this->descriptor.is_open()) {
            ::close(this->descriptor.release());
        }
    }

    /// libpq may close its socket, and open another, in any call: what is waited on is a
    /// copy, whose number nobody else is given meanwhile.
    std::error_code watch_socket() {
        this->unwatch_socket();
        int const copy = fcntl(PQsocket(this->connection.get()), F_DUPFD_CLOEXEC, 0);
        if (copy < 0) {
            return {errno, std::generic_category()};
        }
        boost::system::error_code failure;
        this->descriptor.assign(copy, failure);
        if (failure) {
            ::close(copy);
        }
        return failure;
    }

    std::string last_error() const {
        std::string message =
            this->connection ? PQerrorMessage(this->connection.get()) : "";
        while (!message.empty() && message.back() == '\n') {
            message.pop_back();
        }
        return message;
    }

    void connect_failed(std::string const& message) {
        this->release();
        asio::post(this->loop, [self = this->shared_from_this(), message] {
            if (auto const handler = std::exchange(self->connected, nullptr)) {
                handler(error{"08001", message});
            }
        });
    }

    void wait_connect(PostgresPollingStatusType next) {
        if (std::error_code const failure = this->watch_socket()) {
            this->connect_failed(failure.message());
            return;
        }
        auto const direction = next == PGRES_POLLING_READING
                                   ? asio::posix::stream_descriptor::wait_read
                                   : asio::posix::stream_descriptor::wait_write;
        this->descriptor.async_wait(
            direction,
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (failure || !self->connection || !self->connected) {
                    return;
                }
                self->poll_connect();
            });
    }

    void poll_connect() {
        PostgresPollingStatusType const next = PQconnectPoll(this->connection.get());
        if (next == PGRES_POLLING_FAILED) {
            this->connect_failed(this->last_error());
            return;
        }
        if (next != PGRES_POLLING_OK) {
            this->wait_connect(next);
            return;
        }
        PQsetnonblocking(this->connection.get(), 1);
        PQenterPipelineMode(this->connection.get());
        this->wait_readable();
        if (auto const handler = std::exchange(this->connected, nullptr)) {
            handler(boost::outcome_v2::success());
        }
    }

    bool send_all() {
        for (std::size_t i = 0; i < this->queries.size(); ++i) {
            bool const sync =
                this->queries[i].sync_after || i + 1 == this->queries.size();
            if (!this->send_one(this->queries[i])) {
                return false;
            }
            if (sync && PQpipelineSync(this->connection.get()) == 0) {
                return false;
            }
        }
        return true;
    }

    bool send_one(upstream_query const& query) {
        PGconn* const raw = this->connection.get();
        std::size_t const count =
            std::max(query.parameters.size(), query.parameter_types.size());
        std::vector<Oid> types(
            query.parameter_types.begin(), query.parameter_types.end());
        types.resize(count, 0);
        if (query.describe_only) {
            return PQsendPrepare(
                       raw, "", query.sql.c_str(), static_cast<int>(count),
                       types.data()) == 1 &&
                   PQsendDescribePrepared(raw, "") == 1;
        }
        std::vector<char const*> values(count, nullptr);
        std::vector<int> lengths(count, 0);
        std::vector<int> formats(count, 0);
        for (std::size_t i = 0; i < query.parameters.size(); ++i) {
            if (query.parameters[i]) {
                values[i] = query.parameters[i]->data();
                lengths[i] = static_cast<int>(query.parameters[i]->size());
            }
            if (!query.parameter_formats.empty()) {
                bool const one = query.parameter_formats.size() == 1;
                formats[i] = query.parameter_formats[one ? 0 : i];
            }
        }
        return PQsendQueryParams(
                   raw, query.sql.c_str(), static_cast<int>(count), types.data(),
                   values.data(), lengths.data(), formats.data(),
                   query.result_format) == 1;
    }

    void flush() {
        int const left = PQflush(this->connection.get());
        if (left < 0) {
            this->post_lost();
            return;
        }
        if (left == 0) {
            return;
        }
        this->descriptor.async_wait(
            asio::posix::stream_descriptor::wait_write,
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (!failure && self->connection) {
                    self->flush();
                }
            });
    }

    void wait_readable() {
        this->descriptor.async_wait(
            asio::posix::stream_descriptor::wait_read,
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (!failure && self->connection) {
                    self->on_readable();
                }
            });
    }

    void on_readable() {
        if (PQconsumeInput(this->connection.get()) == 0) {
            this->lose();
            return;
        }
        this->take_results();
        if (this->connection && this->paused) {
            this->read_suspended = true;
        } else if (this->connection) {
            this->wait_readable();
        }
    }

    void take_results() {
        if (this->taking) {
            return;
        }
        this->taking = true;
        auto const self = this->shared_from_this();
        while (this->in_batch && this->connection && !this->paused &&
               PQisBusy(this->connection.get()) == 0) {
            result_ptr const outcome(PQgetResult(this->connection.get()));
            if (!outcome) {
                this->end_of_query();
            } else {
                this->take(outcome.get());
            }
        }
        this->taking = false;
        if (this->connection && !this->paused &&
            std::exchange(this->read_suspended, false)) {
            this->wait_readable();
        }
    }

    void end_of_query() {
        if (PQstatus(this->connection.get()) == CONNECTION_BAD) {
            this->lose();
            return;
        }
        // A described query is two commands: prepare, then describe.
        bool const first_half = this->current < this->queries.size() &&
                                this->queries[this->current].describe_only &&
                                !this->described_parameters;
        if (first_half) {
            this->described_parameters = true;
        } else {
            ++this->current;
            this->columns_sent = false;
            this->described_parameters = false;
        }
        PQsetSingleRowMode(this->connection.get());
    }

    void take(PGresult const* outcome) {
        ExecStatusType const status = PQresultStatus(outcome);
        std::size_t const index = this->current;
        switch (status) {
        case PGRES_PIPELINE_SYNC:
            PQsetSingleRowMode(this->connection.get());
            if (index >= this->queries.size()) {
                this->finish();
            }
            return;
        case PGRES_SINGLE_TUPLE:
            this->send_columns(outcome);
            this->send_row(outcome);
            return;
        case PGRES_TUPLES_OK:
            this->send_columns(outcome);
            this->observer->on_complete(
                index, PQcmdStatus(const_cast<PGresult*>(outcome)));
            return;
        case PGRES_COMMAND_OK:
            this->take_command(outcome);
            return;
        case PGRES_EMPTY_QUERY:
            this->observer->on_complete(index, "");
            return;
        case PGRES_PIPELINE_ABORTED:
            return;
        case PGRES_FATAL_ERROR:
            if (PQstatus(this->connection.get()) == CONNECTION_BAD ||
                PQresultErrorField(outcome, PG_DIAG_SQLSTATE) == nullptr) {
                this->lose();
                return;
            }
            this->observer->on_error(index, to_database_error(outcome));
            return;
        default:
            this->lose(); // COPY and the like were refused before they were sent.
            return;
        }
    }

    void take_command(PGresult const* outcome) {
        upstream_query const& query = this->queries[this->current];
        if (!query.describe_only) {
            this->observer->on_complete(
                this->current, PQcmdStatus(const_cast<PGresult*>(outcome)));
            return;
        }
        if (!this->described_parameters) {
            return; // The prepare; its describe follows.
        }
        std::vector<std::uint32_t> types;
        for (int i = 0; i < PQnparams(outcome); ++i) {
            types.push_back(PQparamtype(outcome, i));
        }
        this->observer->on_parameters(this->current, types);
        if (PQnfields(outcome) > 0) {
            this->send_columns(outcome);
        }
        this->observer->on_complete(this->current, "");
    }

    void send_columns(PGresult const* outcome) {
        if (std::exchange(this->columns_sent, true)) {
            return;
        }
        std::vector<column> const columns = to_columns(outcome);
        this->observer->on_columns(this->current, columns);
    }

    void send_row(PGresult const* outcome) {
        int const count = PQnfields(outcome);
        this->fields.clear();
        for (int i = 0; i < count; ++i) {
            if (PQgetisnull(outcome, 0, i) != 0) {
                this->fields.emplace_back(std::nullopt);
                continue;
            }
            auto const length = static_cast<std::size_t>(PQgetlength(outcome, 0, i));
            this->fields.emplace_back(
                std::string_view(PQgetvalue(outcome, 0, i), length));
        }
        this->observer->on_row(this->current, this->fields);
    }

    void finish() {
        this->in_batch = false;
        auto const done = std::exchange(this->observer, nullptr);
        done->on_finished(to_status(PQtransactionStatus(this->connection.get())));
    }

    void post_lost() {
        asio::post(this->loop, [self = this->shared_from_this()] { self->lose(); });
    }

    void lose() {
        std::string const reason = this->last_error();
        this->release();
        this->in_batch = false;
        auto const done = std::exchange(this->observer, nullptr);
        auto const idle = std::exchange(this->lost, nullptr);
        if (done) {
            done->on_lost(reason);
        } else if (idle) {
            idle();
        }
    }

    asio::io_context& loop;
    asio::posix::stream_descriptor descriptor;
    connection_target target;
    connection_ptr connection;
    connect_handler connected;
    std::function<void()> lost;
    std::shared_ptr<answer_observer> observer;
    std::vector<upstream_query> queries;
    std::vector<field> fields;
    std::size_t current = 0;
    bool in_batch = false;
    bool columns_sent = false;
    bool described_parameters = false;
    bool paused = false;
    bool read_suspended = false;
    bool taking = false;
};

} // namespace

std::shared_ptr<database_connection>
make_libpq_connection(asio::io_context& loop, connection_target target) {
    return std::make_shared<libpq_connection>(loop, std::move(target));
}

} // namespace persimmonpoint::postgres
