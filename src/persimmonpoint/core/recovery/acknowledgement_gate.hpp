#ifndef PERSIMMONPOINT_CORE_RECOVERY_ACKNOWLEDGEMENT_GATE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_ACKNOWLEDGEMENT_GATE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/core/time.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// A replica that has been listed for this long is listed at every host that promotes:
/// one goes by a directory that is at most `listing_max_age` old, and a promotion takes
/// effect within a second or so of its call.
inline constexpr duration settling_time = std::chrono::seconds(3);
/// Maximum age of the directory by which a promotion is called for.
inline constexpr duration listing_max_age = std::chrono::seconds(1);

/// A commit that its primary has acknowledged.
struct acknowledged_write {
    std::string primary;
    /// The primary's log end at the acknowledgement, which the commit doesn't exceed.
    std::optional<log_position> position;
    instant deadline{}; ///< When the caller must be answered.
};

enum class gate_verdict {
    pass,    ///< The acknowledgement may be passed on.
    in_doubt ///< It must not be: the commit may be lost or not.
};

struct gate_decision {
    std::uint64_t number = 0;
    gate_verdict verdict = gate_verdict::in_doubt;
    std::string replica; ///< That lets it pass.
};

/// Decides when the acknowledgements of one group's primary may be passed on to callers.
///
/// A primary acknowledges a commit once any replica has received it. Whoever replaces the
/// primary compares the replicas that it knows, so a commit that only an unknown one has
/// would be lost. The acknowledgement therefore waits for a replica that shows the commit
/// and is settled, which means that every host which promotes knows it. Such a host holds
/// all replicas but its candidate, and the candidate covers all that are held. So nothing
/// passes that the promoted database lacks, whether or not the primary lives, and
/// whichever hosts it answers.
///
/// The log of a replica that leaves is gone with it. One counts until those that joined
/// as it began to leave are settled; by then there is time enough to receive from the
/// primary.
///
/// A database that led lately doesn't count: a host that is about to replace it leaves it
/// out, and needn't know that another host has replaced it already.
///
/// A call for a promotion may be carried out late, when its caller is gone and holds no
/// further replica. So one that joined lately counts only while neither it nor any that
/// was listed no later is held.
class acknowledgement_gate {
public:
    /// Takes the group's listed databases.
    /// @param unix_ms The time of day: a database that this host finds in its first list
    /// may have been listed for as long as it runs.
    void set_databases(
        std::span<registered_database const> listed, instant now, std::uint64_t unix_ms);
    void add(std::uint64_t number, acknowledged_write commit);
    /// The replica was asked for its state at `asked_at`; nothing if it didn't answer.
    void reported(
        std::string_view replica,
        std::optional<database_state> const& report,
        instant asked_at,
        instant now);

    /// The replicas to ask for their states now. Each counts as asked until it reports.
    std::vector<std::string> replicas_to_ask(instant now);
    /// What was decided since the last call.
    std::vector<gate_decision> decide(instant now);
    std::size_t waiting() const { return this->commits.size(); }

private:
    struct replica {
        std::uint64_t started_ms = 0; ///< Another start counts as another replica.
        instant listed_at{};
        std::optional<instant> leaving_since; ///< Long ago if it was found leaving.
        bool claims_primary = false;
        std::optional<instant> led_until; ///< By its own row; as far as it was seen.
        std::optional<database_state> report;
        instant asked_at{}; ///< When the request was sent that `report` answers.
        std::optional<instant> requested_at; ///< Set while a request is unanswered.
        instant ask_again{};
    };

    /// A settled replica that shows the commit; empty if there is none.
    std::string witness_of(acknowledged_write const& commit) const;
    /// True if another database has been promoted since, with the commit or without.
    bool is_superseded(acknowledged_write const& commit) const;
    bool is_settled(std::string_view id, std::string_view primary) const;
    /// True if neither the replica nor any that was listed no later may be held.
    bool is_group_free(std::string_view id, std::string_view primary) const;
    /// True if the replica may yet show a commit that waits.
    bool is_needed(std::string_view id) const;
    static void
    note_row(replica& one, registered_database const& row, bool is_new, instant now);

    bool has_list = false;
    std::map<std::string, replica, std::less<>> replicas;
    std::map<std::uint64_t, acknowledged_write> commits;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_ACKNOWLEDGEMENT_GATE_HPP_INCLUDED
