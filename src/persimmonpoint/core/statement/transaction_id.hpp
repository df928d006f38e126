#ifndef PERSIMMONPOINT_CORE_STATEMENT_TRANSACTION_ID_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_STATEMENT_TRANSACTION_ID_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// One run of a host's process, among all runs of all hosts.
struct process_id {
    std::int64_t started_ns = 0; ///< By the host's monotonic clock.
    std::uint64_t nonce = 0;     ///< Random; tells hosts of the same name apart.

    friend bool operator==(process_id const&, process_id const&) = default;
};

/// An open transaction at a database. No two transactions ever have the same id, on
/// whichever connection, host or database they run, so that an id whose transaction has
/// ended is known to nobody.
struct transaction_id {
    process_id process;       ///< Holds the transaction's connection to the database.
    std::uint64_t number = 0; ///< 0: no transaction.

    bool is_set() const { return this->number != 0; }

    friend bool operator==(transaction_id const&, transaction_id const&) = default;
};

/// Ids for the transactions that one process opens.
class transaction_numbering {
public:
    /// @param started Start of the process.
    /// @param nonce Random number drawn at the start of the process.
    transaction_numbering(instant started, std::uint64_t nonce)
        : process{started.time_since_epoch().count(), nonce} {}

    /// An id that was never returned before.
    transaction_id next() { return {this->process, ++this->last_number}; }

private:
    process_id process;
    std::uint64_t last_number = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_STATEMENT_TRANSACTION_ID_HPP_INCLUDED
