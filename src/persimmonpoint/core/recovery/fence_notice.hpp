#ifndef PERSIMMONPOINT_CORE_RECOVERY_FENCE_NOTICE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_FENCE_NOTICE_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// A primary that a host is about to replace: no other host sends it a commit.
struct fenced_primary {
    std::string group;
    std::string primary; ///< Empty: any database of the group.

    friend bool operator==(fenced_primary const&, fenced_primary const&) = default;
};

/// All primaries that one host is about to replace. What a notice no longer names is no
/// longer fenced.
struct fence_notice {
    std::uint64_t number = 0; ///< Grows with each notice of a host.
    std::vector<fenced_primary> fenced;
};

/// A position that an acknowledged commit reaches, as a host was answered by a database.
struct told_commit {
    std::string group;
    std::string database;
    log_position position;
};

/// A host's notice as it lies in the store.
struct stored_notice {
    std::string host;
    fence_notice notice;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_FENCE_NOTICE_HPP_INCLUDED
