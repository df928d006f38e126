#ifndef PERSIMMONPOINT_CORE_CATALOG_ROW_LIST_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_ROW_LIST_HPP_INCLUDED

/// Rows of the store, and how the pages of a long list are joined.

#include <cstddef>
#include <cstdint>
#include <persimmonpoint/core/catalog/store_version.hpp>
#include <string>
#include <utility>
#include <vector>

namespace persimmonpoint {

struct stored_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
};

/// One answer of the store about a table.
struct row_page {
    std::vector<stored_row> rows; ///< Of a list: in ascending order of their keys.
    store_version version;        ///< The store's newest when it answered.
    std::uint64_t now_ms = 0;     ///< The store's steady clock.
    bool has_more = false;        ///< The answer was cut at the store's limit.
};

/// Where a feed goes on behind this page of it. A page that was cut covers the store's
/// history up to its last row only.
store_version resume_after(row_page const& feed_page);

/// Joins the pages of one table.
///
/// Pages show different moments. The joined list bears the version of its first page: a
/// feed that goes on from there repeats every change made since, so that none is missed,
/// whichever pages already show it.
class row_list {
public:
    enum class step {
        finished,
        read_next,  ///< Ask for rows from the key `next_from` on, inclusive.
        start_over, ///< The store's era changed between two pages.
        give_up     ///< The pages don't make up a list.
    };

    step add(row_page page);
    /// Empty for the first page.
    std::string const& next_from() const { return this->last_key; }
    /// The joined list, once `add` returned `finished`.
    row_page take() { return std::move(this->joined); }

private:
    step start_over();
    /// True if the page is in order and doesn't go back behind what is joined.
    bool follows(row_page const& page) const;
    void append(row_page page);

    row_page joined;
    std::string last_key;
    std::size_t pages = 0;
    std::size_t restarts = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_ROW_LIST_HPP_INCLUDED
