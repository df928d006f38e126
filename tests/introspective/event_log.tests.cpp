#include <catch2/catch.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <string>
#include <support/captured_log.hpp>

using namespace persimmonpoint;

// Guards against callers who fill a host's memory by way of its queue of log lines.
TEST_CASE("A text of a megabyte is cut in the log, a short one is whole", "[logs]") {
    constexpr std::size_t megabyte = 1024 * 1024;
    constexpr std::size_t most_line_bytes = 64 * 1024;
    tests::captured_log log;
    observe::log_event(
        observe::log_level::info, "statement_done",
        {{"id", std::string(megabyte, '\x01')}, {"team", "hatchery"}, {"load", 3}});
    std::string const lines = log.end();
    CHECK(lines.size() < most_line_bytes);
    CHECK(lines.find("(1048576 bytes)") != std::string::npos);
    CHECK(lines.find("\"team\":\"hatchery\",\"load\":3}") != std::string::npos);
}

TEST_CASE("What a caller writes opens no second field and no second line", "[logs]") {
    tests::captured_log log;
    observe::log_event(
        observe::log_level::info, "session_refused",
        {{"database", "a\",\"level\":\"error\n{\"event\":\"x"}});
    std::string const lines = log.end();
    CHECK(std::count(lines.begin(), lines.end(), '\n') == 1);
    CHECK(lines.find("\"level\":\"error") == std::string::npos);
}
