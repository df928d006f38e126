#ifndef PERSIMMONPOINT_TESTS_SUPPORT_CAPTURED_LOG_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_CAPTURED_LOG_HPP_INCLUDED

#include <iostream>
#include <persimmonpoint/observe/event_log.hpp>
#include <sstream>
#include <string>
#include <utility>

namespace persimmonpoint::tests {

/// The event log's lines while it lives.
class captured_log {
public:
    captured_log() : before(std::cout.rdbuf(this->written.rdbuf())) {
        observe::start_event_log("host");
    }
    ~captured_log() { this->end(); }
    captured_log(captured_log const&) = delete;
    captured_log& operator=(captured_log const&) = delete;

    /// Ends the log and gives back what was written.
    std::string end() {
        if (this->before != nullptr) {
            observe::stop_event_log();
            std::cout.rdbuf(std::exchange(this->before, nullptr));
        }
        return this->written.str();
    }

private:
    std::ostringstream written;
    std::streambuf* before;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_CAPTURED_LOG_HPP_INCLUDED
