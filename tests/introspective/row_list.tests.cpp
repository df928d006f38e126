#include <catch2/catch.hpp>
#include <map>
#include <persimmonpoint/core/catalog/row_list.hpp>
#include <rapidcheck.h>

using namespace persimmonpoint;

namespace {

constexpr std::size_t rows_per_page = 500;

/// A table whose rows change while it is read.
struct table {
    std::map<std::string, std::uint64_t> rows; ///< Key to version.
    store_version version{1, 0};

    void write(std::string const& key) { this->rows[key] = ++this->version.number; }
    void remove(std::string const& key) {
        this->rows.erase(key);
        ++this->version.number;
    }

    row_page page(std::string const& from, std::size_t limit) const {
        row_page out;
        out.version = this->version;
        for (auto each = this->rows.lower_bound(from); each != this->rows.end(); ++each) {
            if (out.rows.size() == limit) {
                out.has_more = true;
                break;
            }
            out.rows.push_back(stored_row{each->first, "value", each->second, false});
        }
        return out;
    }
};

std::string key(std::size_t number) {
    std::string const digits = std::to_string(number);
    return "row-" + std::string(6 - digits.size(), '0') + digits;
}

table table_of(std::size_t rows) {
    table out;
    for (std::size_t i = 0; i < rows; ++i) {
        out.write(key(i));
    }
    return out;
}

} // namespace

TEST_CASE("A list longer than a page is read to its end", "[store][list]") {
    auto const size = GENERATE(0U, 1U, 499U, 500U, 501U, 999U, 1000U, 1001U);
    table const source = table_of(size);
    row_list list;
    std::size_t pages = 1;
    while (list.add(source.page(list.next_from(), rows_per_page)) ==
           row_list::step::read_next) {
        ++pages;
    }
    row_page const joined = list.take();
    CHECK(joined.rows.size() == size);
    CHECK(joined.version == source.version);
    CHECK(pages <= size / (rows_per_page - 1) + 1);
}

TEST_CASE("The joined list bears the version of its first page", "[store][list]") {
    table source = table_of(501);
    store_version const first = source.version;
    row_list list;
    REQUIRE(list.add(source.page("", rows_per_page)) == row_list::step::read_next);
    source.write(key(500));
    REQUIRE(
        list.add(source.page(list.next_from(), rows_per_page)) ==
        row_list::step::finished);
    CHECK(list.take().version == first);
}

TEST_CASE("A row at the end of a page may go before the next is read", "[store][list]") {
    table source = table_of(1001);
    row_list list;
    REQUIRE(list.add(source.page("", rows_per_page)) == row_list::step::read_next);
    source.remove(list.next_from());
    while (list.add(source.page(list.next_from(), rows_per_page)) ==
           row_list::step::read_next) {}
    CHECK(list.take().rows.size() == 1001);
}

TEST_CASE("Pages and the feed behind them miss no change", "[store][list][rapidcheck]") {
    CHECK(rc::check([] {
        table source = table_of(*rc::gen::inRange<std::size_t>(0, 30));
        auto const page_rows = *rc::gen::inRange<std::size_t>(2, 9);
        row_list list;
        row_list::step step = row_list::step::read_next;
        while (step == row_list::step::read_next) {
            step = list.add(source.page(list.next_from(), page_rows));
            auto const changes = *rc::gen::inRange<int>(0, 4);
            for (int i = 0; i < changes; ++i) {
                std::string const changed = key(*rc::gen::inRange<std::size_t>(0, 40));
                if (*rc::gen::arbitrary<bool>()) {
                    source.write(changed);
                } else {
                    source.remove(changed);
                }
            }
        }
        RC_ASSERT(step == row_list::step::finished);
        row_page const joined = list.take();
        std::map<std::string, std::uint64_t> known;
        for (stored_row const& each : joined.rows) {
            known[each.key] = each.version;
        }
        // What the feed tells from the list's version on.
        for (auto const& [name, version] : source.rows) {
            if (version > joined.version.number) {
                known[name] = version;
            }
        }
        for (auto const& [name, version] : source.rows) {
            RC_ASSERT(known.count(name) == 1U);
            RC_ASSERT(known.at(name) == version);
        }
    }));
}

TEST_CASE("An era that changes between two pages starts the list anew", "[store][list]") {
    table source = table_of(600);
    row_list list;
    REQUIRE(list.add(source.page("", rows_per_page)) == row_list::step::read_next);
    table restored = table_of(502);
    restored.version.era = 2;
    CHECK(
        list.add(restored.page(list.next_from(), rows_per_page)) ==
        row_list::step::start_over);
    CHECK(list.next_from().empty());
    REQUIRE(list.add(restored.page("", rows_per_page)) == row_list::step::read_next);
    REQUIRE(
        list.add(restored.page(list.next_from(), rows_per_page)) ==
        row_list::step::finished);
    row_page const joined = list.take();
    CHECK(joined.rows.size() == 502);
    CHECK(joined.version.era == 2);
}

TEST_CASE("Pages that make up no list are given up", "[store][list]") {
    row_list list;
    SECTION("a page that doesn't get on") {
        row_page page = table_of(1).page("", rows_per_page);
        page.has_more = true;
        REQUIRE(list.add(page) == row_list::step::read_next);
        CHECK(list.add(page) == row_list::step::give_up);
    }
    SECTION("an empty page with more behind it") {
        row_page empty;
        empty.has_more = true;
        CHECK(list.add(empty) == row_list::step::give_up);
    }
    SECTION("rows out of order") {
        row_page page;
        page.rows = {stored_row{"b", "", 1, false}, stored_row{"a", "", 2, false}};
        CHECK(list.add(page) == row_list::step::give_up);
    }
    SECTION("a store whose era never stays") {
        row_list::step step = row_list::step::start_over;
        for (std::uint64_t era = 1; era < 100 && step != row_list::step::give_up; ++era) {
            row_page page = table_of(501).page(list.next_from(), rows_per_page);
            page.version.era = era;
            page.has_more = true;
            step = list.add(page);
        }
        CHECK(step == row_list::step::give_up);
    }
}

TEST_CASE("A page of a feed that was cut goes on behind its last row", "[store][list]") {
    row_page page;
    page.version = {3, 90};
    page.rows = {stored_row{"b", "", 41, false}, stored_row{"a", "", 44, true}};
    CHECK(resume_after(page) == store_version{3, 90});
    page.has_more = true;
    CHECK(resume_after(page) == store_version{3, 44});
}
