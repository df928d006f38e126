#ifndef PERSIMMONPOINT_TESTS_SUPPORT_COMMAND_ROUND_TRIP_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_COMMAND_ROUND_TRIP_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <persimmonpoint/core/routing/connection_choice.hpp>
#include <persimmonpoint/core/session/client_session_state.hpp>
#include <persimmonpoint/interfaces/upstream_connection.hpp>
#include <string>
#include <string_view>
#include <support/command_reader.hpp>
#include <vector>

namespace persimmonpoint::tests {

/// A statement of a caller, and how its route reads.
struct caller_statement {
    std::size_t session = 0;
    std::string id;
    std::string text;
    std::optional<log_position> floor; ///< Of reads.
    bool reads_at_leader = false;
};

/// Sessions of callers that share connections to one database.
///
/// Each statement goes through the parser, the session, the planning and the codec, and
/// is read back from the bytes. It must run exactly as in a session of the caller's own,
/// but for the name of a prepared statement.
class command_round_trip {
public:
    explicit command_round_trip(std::size_t sessions) : callers(sessions) {}

    /// Returns what went wrong; empty if nothing did. What is no statement of the
    /// protocol is passed over.
    std::string carry(caller_statement const& from);

    std::size_t executed() const { return this->executed_count; }

private:
    struct caller {
        client_session_state state;
        database_session alone;          ///< As if nobody else used the database.
        std::optional<std::size_t> lane; ///< Connection of the open transaction.
    };
    struct connection {
        pooled_connection view;
        database_session database;
    };

    std::string
    run(caller& by,
        caller_statement const& from,
        statement const& what,
        statement_decision const& decision,
        std::optional<executed_statement> const& expected);
    std::string send(
        connection& to,
        upstream_request const& order,
        std::optional<executed_statement> const& expected);
    std::string roll_back(connection& to);
    std::size_t free_connection();

    std::vector<caller> callers;
    std::vector<connection> pool;
    std::uint64_t last_transaction = 0;
    std::size_t executed_count = 0;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_COMMAND_ROUND_TRIP_HPP_INCLUDED
