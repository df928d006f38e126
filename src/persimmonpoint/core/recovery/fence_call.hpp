#ifndef PERSIMMONPOINT_CORE_RECOVERY_FENCE_CALL_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_FENCE_CALL_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/recovery/fence_notice.hpp>
#include <persimmonpoint/core/time.hpp>
#include <span>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// A notice counts for hosts that don't answer once it has been in the store for so long.
/// More than commit_fence's evidence lasts, with time for what is on its way.
inline constexpr duration fence_settling = std::chrono::milliseconds(700);

/// Another host that may send commits: it is listed and hasn't certainly stopped.
struct fence_partner {
    std::string name;
    bool linked = false;
};

enum class fence_standing {
    none,         ///< Another host may send commits to the primary.
    acknowledged, ///< Each other host has said that it sends none.
    announced     ///< The notice has been in the store for long enough.
};

/// Name of `standing` as written to logs.
char const* to_string(fence_standing standing);

/// The fences of this host's own changes: what it tells the others and the store, and
/// whether no other host sends a commit to a primary any more.
class fence_call {
public:
    /// @param first_number Greater than any that this host has told before.
    explicit fence_call(std::uint64_t first_number) : number(first_number) {}

    /// A change of the group replaces `primary`.
    void begin(std::string const& group, std::string const& primary, instant now);
    /// The change is over.
    void end(std::string_view group);
    bool is_called(std::string_view group) const;
    /// True if a change of the group replaces this primary.
    bool names(std::string_view group, std::string_view primary) const;

    /// The notice to tell all other hosts now, if it is due.
    std::optional<fence_notice> due(instant now);
    /// The last notice that was told, for a host that links up; nothing if it is empty.
    std::optional<fence_notice> current() const;
    void answered(std::string const& host, std::uint64_t answered_number);

    /// The notice to write to the store now, if that is due. It counts as being written
    /// until `written` is called.
    std::optional<fence_notice>
    write_due(std::span<fence_partner const> partners, instant now);
    /// @param era The store's; nothing if the notice may not have been written.
    void written(std::optional<std::uint64_t> era, instant now);

    /// Whether the fence of the group's change stands.
    fence_standing
    judge(std::string_view group, std::span<fence_partner const> partners, instant now);
    /// Since when it has stood, as `judge` saw it.
    std::optional<instant> stands_since(std::string_view group) const;

private:
    struct fence {
        std::string primary;
        instant began{};
        std::uint64_t first_number = 0; ///< Of the first notice that names it.
        std::optional<instant> stood_since;
        std::optional<instant> stored_since;  ///< In the store's present era.
        std::optional<instant> stored_lately; ///< Beginning of the last such writing.
    };
    struct told_notice {
        std::uint64_t number = 0;
        instant at{};
    };

    bool
    is_acknowledged(fence const& one, fence_partner const& partner, instant now) const;
    bool is_acknowledged_by_all(
        fence const& one, std::span<fence_partner const> partners, instant now) const;
    bool needs_store(std::span<fence_partner const> partners, instant now) const;
    fence_notice notice() const;

    std::map<std::string, fence, std::less<>> fences; ///< By group.
    std::uint64_t number;
    bool changed = false;                  ///< Since the last notice.
    std::map<std::uint64_t, instant> told; ///< Recent notices, by number.
    std::map<std::string, told_notice, std::less<>> answers; ///< By host.
    // The store
    std::optional<instant> writing_since;
    std::uint64_t writing_number = 0;
    std::size_t writing_size = 0;
    std::optional<instant> tried_at;
    bool write_failed = false;
    bool stored_any = false; ///< The row may name fences.
    bool must_write = false; ///< The row may name fences that are over.
    std::uint64_t era = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_FENCE_CALL_HPP_INCLUDED
