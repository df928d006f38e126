#include <libpq-fe.h>
#include <persimmonpoint/app/sql_client.hpp>

namespace persimmonpoint::app {

namespace {

std::string field_of(PGresult const* outcome, char field) {
    char const* text = PQresultErrorField(outcome, field);
    return text == nullptr ? "" : text;
}

caller_answer to_answer(PGresult* outcome) {
    caller_answer answer;
    if (outcome == nullptr) {
        answer.message = "the connection is closed";
        return answer;
    }
    ExecStatusType const status = PQresultStatus(outcome);
    answer.ok = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK ||
                status == PGRES_EMPTY_QUERY;
    if (!answer.ok) {
        answer.sqlstate = field_of(outcome, PG_DIAG_SQLSTATE);
        answer.message = field_of(outcome, PG_DIAG_MESSAGE_PRIMARY);
        answer.detail = field_of(outcome, PG_DIAG_MESSAGE_DETAIL);
        answer.hint = field_of(outcome, PG_DIAG_MESSAGE_HINT);
        if (answer.message.empty()) {
            answer.message = PQresultErrorMessage(outcome);
        }
    }
    answer.tag = PQcmdStatus(outcome);
    for (int i = 0; i < PQntuples(outcome); ++i) {
        std::vector<std::optional<std::string>> row;
        for (int k = 0; k < PQnfields(outcome); ++k) {
            row.push_back(
                PQgetisnull(outcome, i, k) != 0
                    ? std::nullopt
                    : std::optional<std::string>(
                          std::in_place, PQgetvalue(outcome, i, k),
                          static_cast<std::size_t>(PQgetlength(outcome, i, k))));
        }
        answer.rows.push_back(std::move(row));
    }
    PQclear(outcome);
    return answer;
}

} // namespace

struct sql_client::implementation {
    PGconn* connection = nullptr;
};

sql_client::sql_client(caller_target const& target)
    : impl(std::make_unique<implementation>()) {
    std::string const port = std::to_string(target.port);
    char const* const names[] = {"hostaddr", "port",       "user",
                                 "password", "dbname",     "options",
                                 "sslmode",  "gssencmode", nullptr};
    char const* const values[] = {
        "127.0.0.1",
        port.c_str(),
        target.team.c_str(),
        target.key.c_str(),
        target.route.c_str(),
        target.options.c_str(),
        "disable",
        "disable",
        nullptr};
    this->impl->connection = PQconnectdbParams(names, values, 0);
}

sql_client::~sql_client() {
    if (this->impl) {
        PQfinish(this->impl->connection);
    }
}

sql_client::sql_client(sql_client&&) noexcept = default;

sql_client& sql_client::operator=(sql_client&& other) noexcept {
    std::swap(this->impl, other.impl);
    return *this;
}

bool sql_client::is_connected() const {
    return PQstatus(this->impl->connection) == CONNECTION_OK;
}

std::string sql_client::connect_error() const {
    return PQerrorMessage(this->impl->connection);
}

caller_answer sql_client::run(std::string const& sql) {
    return to_answer(PQexec(this->impl->connection, sql.c_str()));
}

caller_answer sql_client::run(
    std::string const& sql, std::vector<std::optional<std::string>> const& parameters) {
    std::vector<char const*> values;
    values.reserve(parameters.size());
    for (auto const& each : parameters) {
        values.push_back(each ? each->c_str() : nullptr);
    }
    return to_answer(PQexecParams(
        this->impl->connection, sql.c_str(), static_cast<int>(values.size()), nullptr,
        values.data(), nullptr, nullptr, 0));
}

std::string sql_client::reported(std::string const& parameter) const {
    char const* value = PQparameterStatus(this->impl->connection, parameter.c_str());
    return value == nullptr ? "" : value;
}

void* sql_client::handle() {
    return this->impl->connection;
}

} // namespace persimmonpoint::app
