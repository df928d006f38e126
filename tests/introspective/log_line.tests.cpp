#include <catch2/catch.hpp>
#include <persimmonpoint/observe/one_line.hpp>
#include <string>

using persimmonpoint::observe::one_line;
using namespace std::string_literals;

TEST_CASE("A name from outside can't begin another line of the log", "[log]") {
    CHECK(one_line("Refused a key for team \"x\".") == "Refused a key for team \"x\".");
    CHECK(one_line("x\r\nerror session: y") == "x\\x0d\\x0aerror session: y");
    CHECK(one_line("a\0b\x1b[2J\x7f"s) == "a\\x00b\\x1b[2J\\x7f");
    CHECK(one_line("\xc3\xa9") == "\xc3\xa9");
}
