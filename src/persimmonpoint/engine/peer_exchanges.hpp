#ifndef PERSIMMONPOINT_ENGINE_PEER_EXCHANGES_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_EXCHANGES_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <map>
#include <persimmonpoint/core/time.hpp>
#include <persimmonpoint/engine/database_owner.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>

namespace persimmonpoint::engine {

/// What another host says of its way to a database.
enum class reach_answer {
    reached,
    not_reached,
    none ///< It gave no answer in time, or there is no link to it.
};

using reach_handler = std::function<void(reach_answer)>;

/// The answer to an order that was certainly not sent.
upstream_response no_link();

/// Orders and questions that one other host has yet to answer.
class peer_exchanges {
public:
    void add_order(std::uint64_t number, response_handler done);
    /// The question ends without an answer once `deadline` has passed.
    void add_reach(std::uint64_t number, instant deadline, reach_handler done);

    /// An answer that nobody waits for is passed over.
    void take(answer_message message);
    void take(reach_answer_message const& message);
    void expire(instant now);
    /// Ends all that is open. Orders that were sent have no known outcome.
    void drop(bool were_sent);

    bool empty() const;
    std::size_t open_orders() const;

private:
    struct reach_waiter {
        reach_handler done;
        instant deadline;
    };

    std::map<std::uint64_t, response_handler> orders;
    std::map<std::uint64_t, reach_waiter> reach;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_EXCHANGES_HPP_INCLUDED
