#ifndef PERSIMMONPOINT_TESTS_SOAK_SOAK_RECORD_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SOAK_SOAK_RECORD_HPP_INCLUDED

/// What callers and databases saw in a soak, and the checks of what must always hold.

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <persimmonpoint/standin/line_group.hpp>
#include <set>
#include <soak/soak_plan.hpp>
#include <string>
#include <support/statement_record.hpp>
#include <vector>

namespace persimmonpoint::tests {

using soak_time = std::chrono::steady_clock::time_point;

/// What the caller of an operation was told.
enum class soak_outcome {
    succeeded,
    not_run, ///< Refused with a promise that nothing is kept.
    unknown, ///< An error that promises nothing, or no answer in time.
    cut      ///< The connection ended in place of the answer.
};

/// Which commits a read must see.
enum class soak_freshness {
    all,       ///< Every commit acknowledged before it.
    of_an_age, ///< Those that are older than the route's bound.
    own        ///< Those, and the session's own.
};

struct soak_operation {
    bool writes = false;
    soak_freshness freshness = soak_freshness::all;
    std::string item; ///< Written by one caller only.
    std::string data; ///< Written, or read; unique for each write.
    std::string key;
    std::size_t session = 0; ///< Unique for each session.
    std::size_t host = 0;
    soak_time begun;
    soak_time ended;
    soak_outcome outcome = soak_outcome::unknown;
};

/// A fault while it lasted.
struct soak_disturbance {
    planned_fault fault;
    soak_time begun;
    soak_time ended;
};

/// A team's limit, as the users' rule reads.
struct soak_quota {
    std::string team;
    double rate = 0; ///< Operations a second.
    double burst = 0;
};

struct soak_evidence {
    std::vector<soak_operation> operations;
    std::vector<soak_disturbance> disturbances;
    std::vector<standin::line_group::item_write> log; ///< Of the last primary.
    std::vector<standin::line_group::dropped_write> dropped;
    /// By what databases answered to hosts; callers may have heard less, or more.
    std::vector<standin::line_group::lossy_promotion> lossy_promotions;
    std::map<std::string, std::vector<soak_time>> runs; ///< At databases, by team.
    std::set<std::string> teams_seen;                   ///< By databases.
    std::set<std::string> teams_known;
    std::map<std::string, soak_time> withdrawn_keys;
    std::vector<soak_quota> quotas;
    std::vector<sent_statement> sent; ///< By all callers.
    std::vector<standin::line_group::ran_statement> ran;
};

/// One line for each violation, with the operation that shows it.
std::vector<std::string> check_soak(soak_evidence const& evidence);

/// Collects operations of callers on several threads.
class soak_record {
public:
    void add(soak_operation operation);
    /// A violation that a caller saw by itself.
    void report(std::string violation);
    std::vector<soak_operation> operations() const;
    std::vector<std::string> violations() const;
    /// Where callers record what they send.
    statement_record& statements() { return this->sent; }

private:
    mutable std::mutex guard;
    std::vector<soak_operation> all;
    std::vector<std::string> found;
    statement_record sent;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SOAK_SOAK_RECORD_HPP_INCLUDED
