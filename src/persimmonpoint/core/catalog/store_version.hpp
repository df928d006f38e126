#ifndef PERSIMMONPOINT_CORE_CATALOG_STORE_VERSION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_STORE_VERSION_HPP_INCLUDED

#include <compare>
#include <cstdint>

namespace persimmonpoint {

/// A version of the store. Each time the store comes back from an older copy a new era
/// begins, in which it gives out numbers again: versions are ordered by their era first.
struct store_version {
    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< 0 if nothing has been read yet.

    bool is_known() const { return this->number > 0; }

    friend auto operator<=>(store_version const&, store_version const&) = default;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_STORE_VERSION_HPP_INCLUDED
