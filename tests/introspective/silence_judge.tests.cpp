#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/silence_judge.hpp>

using namespace persimmonpoint;

TEST_CASE("An answer that was lost is given up at the second word", "[flow][silence]") {
    silence_judge judge;
    judge.reset();
    // The answer may be on its way, sent before the database said so.
    CHECK(judge.answered(judge.ask(), false) == silence_verdict::wait);
    CHECK(judge.answered(judge.ask(), false) == silence_verdict::give_up);
}

TEST_CASE("A statement that runs is waited for", "[flow][silence]") {
    silence_judge judge;
    judge.reset();
    for (int i = 0; i < 5; ++i) {
        CHECK(judge.answered(judge.ask(), true) == silence_verdict::wait);
        CHECK(judge.answered(judge.ask(), std::nullopt) == silence_verdict::wait);
    }
    CHECK(judge.answered(judge.ask(), false) == silence_verdict::wait);
    CHECK(judge.answered(judge.ask(), true) == silence_verdict::wait);
    CHECK(judge.answered(judge.ask(), false) == silence_verdict::wait);
}

TEST_CASE("A word asked for before the answer began to come is void", "[flow][silence]") {
    silence_judge judge;
    judge.reset();
    CHECK(judge.answered(judge.ask(), false) == silence_verdict::wait);
    auto const question = judge.ask();
    judge.reset();
    CHECK(judge.answered(question, false) == silence_verdict::heard);
}
