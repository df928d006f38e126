#ifndef PERSIMMONPOINT_CORE_ROUTING_STATEMENT_CLASS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_STATEMENT_CLASS_HPP_INCLUDED

/// Conservative classification of a statement by its text.

#include <string>
#include <vector>

namespace persimmonpoint {

enum class statement_kind {
    empty,    ///< Only whitespace or comments.
    read,     ///< Proven to be read-only.
    write,    ///< Anything that can't be proven to be a read.
    begin,    ///< Opens a transaction.
    commit,   ///< Commits a transaction.
    rollback, ///< Rolls a transaction back.
    set,      ///< SET of a session parameter.
    show,     ///< SHOW of a session parameter.
    reset     ///< RESET or DISCARD of session parameters.
};

/// One statement of a query text, with its classification.
struct classified_statement {
    statement_kind kind = statement_kind::write;
    std::string text;
    /// Parameter of SET, SHOW or RESET; "all" for RESET ALL and DISCARD ALL.
    std::string parameter;
    /// Value of SET as text. Empty for SET ... TO DEFAULT.
    std::string value;
    bool local = false; ///< SET LOCAL: lasts until the transaction ends.
    /// May leave state on the connection that its next user could see.
    bool changes_session = false;
    bool read_only = false; ///< BEGIN READ ONLY.
    /// Can't run inside a transaction block, or doesn't work with transaction pooling.
    bool unsupported = false;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_STATEMENT_CLASS_HPP_INCLUDED
