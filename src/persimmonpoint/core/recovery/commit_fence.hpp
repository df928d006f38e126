#ifndef PERSIMMONPOINT_CORE_RECOVERY_COMMIT_FENCE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_COMMIT_FENCE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/recovery/fence_notice.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// A notice is in force for this long; its host renews it while its change lasts.
inline constexpr duration fence_lifetime = std::chrono::seconds(3);
/// A host that was heard so lately would have told of a change that it has begun.
inline constexpr duration peer_evidence_age = std::chrono::milliseconds(400);
/// Maximum age of a reading of the notices in the store, from its beginning.
inline constexpr duration store_evidence_age = std::chrono::milliseconds(400);

enum class fence_verdict {
    allow,
    refuse,
    needs_reading ///< Whether another host replaces the primary is to be read first.
};

enum class notice_source { peer, store };

/// A fence came into force, or is no longer, for logs.
struct fence_change {
    fenced_primary about;
    std::string by;
    notice_source source = notice_source::peer;
    bool begins = false;
    std::size_t refused = 0; ///< Commits, while it was in force.
};

/// Decides whether this host may send a commit to a primary, which another host may be
/// about to replace.
///
/// A host tells the others before it calls for a promotion, over the links and, where one
/// isn't linked, in the store. So this host may send a commit while it hears all others,
/// or has just read the store and found no notice. While neither the others nor the store
/// are in reach it may send too: then only the acknowledgement_gate protects the caller.
class commit_fence {
public:
    explicit commit_fence(instant started) : awake_since(started), last_tick(started) {}

    /// Takes a host's notice; one that is not newer than the last changes nothing. False
    /// if it is older.
    bool take(
        std::string const& by,
        fence_notice const& notice,
        notice_source source,
        instant now);
    /// A reading of the notices in the store that began at `began_at`. What it brought
    /// has been taken before.
    void reading_succeeded(instant began_at);
    void reading_failed(instant now);
    /// Called every 30 ms or so: a gap means that the host was suspended.
    void ticked(instant now);

    /// What counts as heard lately: nothing from before the host was last suspended. Not
    /// positive if nothing counts yet.
    duration hearing_age(instant now);
    /// @param all_heard Whether each other host was heard within `hearing_age`, or has
    /// certainly stopped.
    fence_verdict
    judge(std::string_view group, std::string_view primary, bool all_heard, instant now);
    /// True if a reading should begin, so that commits need not wait for one.
    bool wants_reading(instant now) const;

    /// Fences that came into force or ended since the last call.
    std::vector<fence_change> changes(instant now);

private:
    struct known_notice {
        fence_notice notice;
        notice_source source = notice_source::peer;
        instant seen{}; ///< First.
    };
    struct fence_count {
        fenced_primary about;
        std::string by;
        notice_source source = notice_source::peer;
        std::size_t refused = 0;
    };

    void note_gap(instant now);
    bool is_in_force(known_notice const& known, instant now) const;
    /// Counts a refusal for each fence that is in force; false if none is.
    bool refuses(std::string_view group, std::string_view primary, instant now);
    fence_count* counted(std::string_view by, fenced_primary const& about);

    std::map<std::string, known_notice, std::less<>> notices; ///< By host.
    std::vector<fence_count> in_force;                        ///< As `changes` told last.
    std::optional<instant> read_at;   ///< Beginning of the last good reading.
    std::optional<instant> failed_at; ///< Unless a reading succeeded since.
    std::optional<instant> needed_at; ///< A commit depended on readings then.
    instant awake_since;
    instant last_tick;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_COMMIT_FENCE_HPP_INCLUDED
