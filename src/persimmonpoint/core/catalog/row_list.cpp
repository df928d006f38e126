#include <algorithm>
#include <iterator>
#include <persimmonpoint/core/catalog/row_list.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

/// A page has up to 500 rows.
constexpr std::size_t max_pages = 200;
constexpr std::size_t max_restarts = 3;

bool ascends(std::vector<stored_row> const& rows) {
    return std::adjacent_find(
               rows.begin(), rows.end(),
               [](stored_row const& left, stored_row const& right) {
                   return left.key >= right.key;
               }) == rows.end();
}

} // namespace

store_version resume_after(row_page const& feed_page) {
    if (!feed_page.has_more || feed_page.rows.empty()) {
        return feed_page.version;
    }
    return store_version{feed_page.version.era, feed_page.rows.back().version};
}

row_list::step row_list::add(row_page page) {
    if (this->pages > 0 && page.version.era != this->joined.version.era) {
        return this->start_over();
    }
    if (!this->follows(page)) {
        return step::give_up;
    }
    bool const has_more = page.has_more;
    std::size_t const before = this->joined.rows.size();
    this->append(std::move(page));
    if (!has_more) {
        return step::finished;
    }
    bool const advanced = this->joined.rows.size() > before;
    return advanced && this->pages < max_pages ? step::read_next : step::give_up;
}

row_list::step row_list::start_over() {
    this->joined = {};
    this->last_key.clear();
    this->pages = 0;
    ++this->restarts;
    return this->restarts > max_restarts ? step::give_up : step::start_over;
}

bool row_list::follows(row_page const& page) const {
    bool const starts_behind =
        this->pages == 0 || page.rows.empty() || page.rows.front().key >= this->last_key;
    return starts_behind && ascends(page.rows);
}

void row_list::append(row_page page) {
    bool const first = this->pages == 0;
    ++this->pages;
    if (first) {
        this->joined.version = page.version;
        this->joined.now_ms = page.now_ms;
    }
    // A page begins with the last row of the one before, unless that row has gone.
    auto begin = page.rows.begin();
    if (!first && begin != page.rows.end() && begin->key == this->last_key) {
        ++begin;
    }
    if (begin == page.rows.end()) {
        return;
    }
    this->joined.rows.insert(
        this->joined.rows.end(), std::make_move_iterator(begin),
        std::make_move_iterator(page.rows.end()));
    this->last_key = this->joined.rows.back().key;
}

} // namespace persimmonpoint
