#ifndef PERSIMMONPOINT_TESTS_SUPPORT_STATEMENT_RECORD_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_STATEMENT_RECORD_HPP_INCLUDED

/// What callers sent, held against what databases ran.

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <persimmonpoint/standin/line_group.hpp>
#include <string>
#include <support/line_caller.hpp>
#include <vector>

namespace persimmonpoint::tests {

/// A statement as its caller sent it, with what its session had acknowledged by then.
struct sent_statement {
    std::string id; ///< Unique among all callers.
    std::string text;
    /// What the name of an EXECUTE stood for; none if it stood for nothing.
    std::optional<standin::line_group::prepared_statement> prepared{};
    standin::line_group::session_values values{};
};

/// Collects what callers on several threads send.
class statement_record {
public:
    void add(sent_statement statement);
    std::vector<sent_statement> all() const;

private:
    mutable std::mutex guard;
    std::vector<sent_statement> statements;
};

/// One line for each statement that a database ran and nobody sent, or otherwise than it
/// was sent. A statement may have run any number of times, or not at all. Reads with the
/// id "-" are the system's own.
std::vector<std::string> check_runs(
    std::vector<sent_statement> const& sent,
    std::vector<standin::line_group::ran_statement> const& ran);

/// A caller whose statements are recorded before they are sent. It keeps what its session
/// acknowledged: values and prepared statements.
class recorded_caller {
public:
    using prepared_map = std::map<std::string, standin::line_group::prepared_statement>;

    /// `id_prefix` must be unique among the callers of a record.
    recorded_caller(
        std::uint16_t port,
        std::string const& id_prefix,
        statement_record& record,
        std::chrono::milliseconds patience = std::chrono::seconds(10));

    line_caller::reply start(std::string const& database, std::string const& key);
    line_caller::reply query(std::string const& text);
    standin::line_group::session_values const& values() const { return this->set; }
    /// By the caller's own names.
    prepared_map const& prepared() const { return this->names; }

private:
    void note(std::string const& text);
    void learn(std::string_view text);

    line_caller line;
    statement_record& record;
    standin::line_group::session_values set;
    prepared_map names;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_STATEMENT_RECORD_HPP_INCLUDED
