#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/lost_response_detector.hpp>

using namespace persimmonpoint;

TEST_CASE("An answer that was lost is given up at the second word", "[flow][silence]") {
    lost_response_detector judge;
    judge.reset();
    // The answer may be on its way, sent before the database said so.
    CHECK(judge.answered(judge.probe_epoch(), false) == lost_response_verdict::wait);
    CHECK(judge.answered(judge.probe_epoch(), false) == lost_response_verdict::give_up);
}

TEST_CASE("A statement that runs is waited for", "[flow][silence]") {
    lost_response_detector judge;
    judge.reset();
    for (int i = 0; i < 5; ++i) {
        CHECK(judge.answered(judge.probe_epoch(), true) == lost_response_verdict::wait);
        CHECK(
            judge.answered(judge.probe_epoch(), std::nullopt) ==
            lost_response_verdict::wait);
    }
    CHECK(judge.answered(judge.probe_epoch(), false) == lost_response_verdict::wait);
    CHECK(judge.answered(judge.probe_epoch(), true) == lost_response_verdict::wait);
    CHECK(judge.answered(judge.probe_epoch(), false) == lost_response_verdict::wait);
}

TEST_CASE("A word asked for before the answer began to come is void", "[flow][silence]") {
    lost_response_detector judge;
    judge.reset();
    CHECK(judge.answered(judge.probe_epoch(), false) == lost_response_verdict::wait);
    auto const question = judge.probe_epoch();
    judge.reset();
    CHECK(judge.answered(question, false) == lost_response_verdict::response_received);
}
