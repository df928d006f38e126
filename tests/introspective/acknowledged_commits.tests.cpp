#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/acknowledged_commits.hpp>
#include <persimmonpoint/core/recovery/unacknowledged_commits.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

} // namespace

TEST_CASE(
    "The newest acknowledged commit is remembered with the database that has it",
    "[leadership][commits]") {
    acknowledged_commits commits;
    CHECK_FALSE(commits.newest());
    commits.note("db-1", {3, 70});
    commits.note("db-1", {3, 69});
    REQUIRE(commits.newest());
    CHECK(commits.newest()->position == log_position{3, 70});
    CHECK(commits.newest()->database == "db-1");
    commits.note("db-2", {4, 60});
    CHECK(commits.newest()->position == log_position{4, 60});
    SECTION("also when that database's log is gone") {
        commits.log_lost("db-2");
        CHECK(commits.newest()->position == log_position{4, 60});
        CHECK(commits.newest()->database.empty());
    }
    SECTION("which then binds a promotion until no unlisted database can have it") {
        commits.log_lost("db-2");
        CHECK(
            commits.required(directory_listing::incomplete, start) ==
            log_position{4, 60});
        CHECK(commits.required(directory_listing::pending, start) == log_position{4, 60});
        CHECK_FALSE(commits.required(directory_listing::complete, start));
    }
    SECTION("and another one's loss changes nothing") {
        commits.log_lost("db-1");
        CHECK(commits.newest()->database == "db-2");
        CHECK(
            commits.required(directory_listing::complete, start) == log_position{4, 60});
    }
}

TEST_CASE(
    "A database whose row lapsed is waited for, as it may come back with its log",
    "[leadership][commits]") {
    acknowledged_commits commits;
    commits.note("db-1", {4, 60});
    commits.lapsed("db-2", start);
    CHECK_FALSE(commits.is_holder_missing());
    commits.came_back("db-2");
    commits.lapsed("db-1", start);
    CHECK(commits.is_holder_missing());
    instant const late = start + lapsed_log_patience - milliseconds(1);
    CHECK(commits.required(directory_listing::complete, late) == log_position{4, 60});
    SECTION("but not for ever") {
        CHECK_FALSE(
            commits.required(directory_listing::complete, start + lapsed_log_patience));
        CHECK(
            commits.required(directory_listing::incomplete, start + lapsed_log_patience));
    }
    SECTION("unless it is back") {
        commits.came_back("db-1");
        CHECK_FALSE(commits.is_holder_missing());
        CHECK(commits.required(
            directory_listing::complete, start + 2 * lapsed_log_patience));
    }
    SECTION("or is back with an empty log") {
        commits.log_lost("db-1");
        CHECK_FALSE(commits.required(directory_listing::complete, start));
    }
    SECTION("or a newer commit is acknowledged") {
        commits.note("db-2", {5, 61});
        CHECK_FALSE(commits.is_holder_missing());
    }
}

TEST_CASE(
    "A database whose row lapsed is waited for though the one that acknowledged has left",
    "[leadership][commits]") {
    acknowledged_commits commits;
    commits.note("db-1", {4, 60});
    commits.log_lost("db-1");
    commits.lapsed("db-2", start);
    instant const late = start + lapsed_log_patience - milliseconds(1);
    CHECK(commits.required(directory_listing::complete, late) == log_position{4, 60});
    CHECK_FALSE(
        commits.required(directory_listing::complete, start + lapsed_log_patience));
}

TEST_CASE(
    "A commit's position is bounded by the log's ends before and after it",
    "[leadership][commits]") {
    CHECK(
        least_commit_position(log_position{3, 70}, log_position{3, 75}) ==
        log_position{3, 71});
    CHECK(
        least_commit_position(log_position{3, 70}, log_position{3, 70}) ==
        log_position{3, 70});
    CHECK_FALSE(least_commit_position(log_position{2, 70}, log_position{3, 75}));
    CHECK_FALSE(least_commit_position(std::nullopt, log_position{3, 75}));
    CHECK_FALSE(least_commit_position(log_position{3, 70}, std::nullopt));
}

TEST_CASE(
    "Commits in flight or in doubt count as unacknowledged until a later one is "
    "acknowledged",
    "[leadership][commits]") {
    unacknowledged_commits commits;
    commits.sent(start);
    commits.sent(start + milliseconds(1));
    commits.sent(start + milliseconds(2));
    instant const later = start + seconds(1);
    CHECK(commits.sent_before(later) == 3);
    CHECK(commits.sent_before(start + milliseconds(1)) == 1);
    commits.ended(start, commit_end::unknown);
    CHECK(commits.sent_before(later) == 3);
    commits.ended(start + milliseconds(1), commit_end::not_run);
    CHECK(commits.sent_before(later) == 2);
    commits.ended(start + milliseconds(2), commit_end::acknowledged);
    CHECK(commits.sent_before(later) == 0);
}

TEST_CASE(
    "A commit in doubt that was sent after an acknowledged one still counts",
    "[leadership][commits]") {
    unacknowledged_commits commits;
    commits.sent(start);
    commits.sent(start + milliseconds(1));
    commits.ended(start + milliseconds(1), commit_end::unknown);
    commits.ended(start, commit_end::acknowledged);
    CHECK(commits.sent_before(start + seconds(1)) == 1);
}
