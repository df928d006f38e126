#ifndef PERSIMMONPOINT_ENGINE_PEER_MESSAGES_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_MESSAGES_HPP_INCLUDED

/// Messages between the hosts of this system. Each is idempotent.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/membership/news_desk.hpp>
#include <persimmonpoint/core/placement/evacuation_list.hpp>
#include <persimmonpoint/core/recovery/fence_notice.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <string>
#include <variant>
#include <vector>

namespace persimmonpoint::engine {

/// Raised when a message changes; hosts of other versions are not spoken to.
inline constexpr std::uint32_t peer_protocol_version = 10;

/// Larger than any configuration that the store's client takes, and than any answer that
/// a connection to a database takes.
inline constexpr std::size_t most_message_bytes = 32 * 1024 * 1024;

/// The first message on a connection.
struct hello_message {
    std::uint32_t protocol = peer_protocol_version;
    std::string host;
};

struct order_message {
    std::uint64_t number = 0;
    upstream_request order;
};

struct answer_message {
    std::uint64_t number = 0;
    upstream_response answer;
};

/// Sent at intervals, and answered by the same.
struct alive_message {
    bool leaving = false; ///< Takes no further orders.
    news_versions versions;
    /// Set once the sender has known of an evacuation.
    std::optional<evacuation_list> evacuations;
};

/// Asks for all that is newer than this.
struct news_request_message {
    news_versions versions;
};

/// The operator's configuration as it lies in the store.
struct configuration_message {
    std::string body;
};

struct directory_message {
    database_directory directory;
};

struct hosts_message {
    store_version version;
    host_directory hosts;
};

struct leader_message {
    std::string group;
    std::string database;
    std::uint64_t term = 0;
};

/// The sender borrows the quotas of this part of the teams from the receiver, and from no
/// other host, for the life of an endorsement.
struct endorsement_message {
    std::uint32_t shard = 0;
    bool withdrawn = false;    ///< Or no longer.
    std::uint32_t life_ms = 0; ///< From its arrival.
};

/// The sender no longer counts the receiver's endorsement.
struct release_message {
    std::uint32_t shard = 0;
};

/// May one operation of the team run?
struct borrow_message {
    std::uint64_t number = 0;
    std::string team;
};

struct loan_message {
    std::uint64_t number = 0;
    std::int64_t wait_us = 0; ///< 0: it may run; else the time until one may.
};

/// Can you reach this database?
struct reach_query_message {
    std::uint64_t number = 0;
    std::string database;
};

struct reach_answer_message {
    std::uint64_t number = 0;
    bool reached = false;
};

/// The primaries that the sender is about to replace: the receiver sends them no commit.
struct fence_message {
    std::uint64_t number = 0;
    std::vector<fenced_primary> fenced;
};

/// The sender sends no commit that the notice of this number rules out, and none is on
/// its way.
struct fence_answer_message {
    std::uint64_t number = 0;
    /// The furthest acknowledged commits that the sender knows of in the groups.
    std::vector<told_commit> acknowledged;
};

using peer_message = std::variant<
    hello_message,
    order_message,
    answer_message,
    alive_message,
    configuration_message,
    directory_message,
    leader_message,
    endorsement_message,
    release_message,
    hosts_message,
    borrow_message,
    loan_message,
    reach_query_message,
    reach_answer_message,
    news_request_message,
    fence_message,
    fence_answer_message>;

/// The message's bytes, with its length in front.
std::string encode(peer_message const& message);

/// Cuts received bytes into messages.
class peer_decoder {
public:
    void add(std::string_view bytes) { this->buffer.append(bytes); }
    /// The next whole message. Nothing if none is whole yet, or once `broken` is true.
    std::optional<peer_message> next();
    /// Bytes of a message that is not whole yet.
    std::size_t pending() const { return this->buffer.size(); }
    /// The bytes can't be read; the connection is to be closed.
    bool broken() const { return this->failed; }

private:
    std::string buffer;
    bool failed = false;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_MESSAGES_HPP_INCLUDED
