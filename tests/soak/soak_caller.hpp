#ifndef PERSIMMONPOINT_TESTS_SOAK_SOAK_CALLER_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SOAK_SOAK_CALLER_HPP_INCLUDED

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <soak/soak_record.hpp>
#include <string>
#include <support/line_caller.hpp>
#include <vector>

namespace persimmonpoint::tests {

/// Where callers find the hosts, and what they share.
struct soak_field {
    std::vector<std::uint16_t> hosts;
    soak_record& record;
    std::atomic<bool>& over;
    std::atomic<std::size_t>& last_session;
    std::size_t callers = 0;
};

/// One caller: opens sessions on any host, keeps them for a while, reads what all callers
/// write, and writes to items of its own. It prepares some of its statements. Items,
/// data, shapes and values are such as are easily taken for other parts of a message.
class soak_caller {
public:
    soak_caller(soak_field field, std::size_t number, std::uint64_t seed);
    /// Until the field's end.
    void run();

private:
    struct session;

    std::int64_t draw(std::int64_t least, std::int64_t most);
    std::unique_ptr<session> open();
    /// False if the session can't go on.
    bool act(session& on);
    bool read(session& on);
    bool write(session& on);
    bool write_transaction(session& on);
    bool set_value(session& on);
    bool prepare(session& on);
    bool deallocate(session& on);
    /// The session's answer to a statement, whose name is reported if it isn't known.
    line_caller::reply ask(session& on, std::string const& text);
    /// Text of a read or write: an EXECUTE if the session has prepared one and it is
    /// drawn.
    std::string text_of(session const& on, bool writes, std::string const& arguments);
    std::string unique_data(std::string const& item);
    soak_operation make(session const& on, bool writes);
    void finish(soak_operation operation, line_caller::reply const& reply);
    std::string own_item();

    soak_field field;
    std::size_t number;
    std::mt19937_64 random;
    std::uint64_t writes = 0;
};

/// Sends reads of a team with a low rate as fast as they are answered.
void flood(soak_field field, std::string const& key);

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SOAK_SOAK_CALLER_HPP_INCLUDED
