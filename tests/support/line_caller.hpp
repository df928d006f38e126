#ifndef PERSIMMONPOINT_TESTS_SUPPORT_LINE_CALLER_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_LINE_CALLER_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonpoint::tests {

/// A caller that speaks the platform's line protocol and waits for each answer.
class line_caller {
public:
    struct reply {
        std::vector<std::string> rows;
        std::string signature;
        std::string error; ///< The code; empty for success.
        std::string error_text;
        std::string state;
        bool closed = false; ///< The connection ended instead of an answer.
    };

    /// An answer that takes longer than `patience` counts as closed. The ids of its
    /// statements are `id_prefix` and a number.
    explicit line_caller(
        std::uint16_t port,
        std::chrono::milliseconds patience = std::chrono::seconds(10),
        std::string id_prefix = "q");
    ~line_caller();
    line_caller(line_caller const&) = delete;
    line_caller& operator=(line_caller const&) = delete;

    reply start(std::string const& database, std::string const& key);
    reply query(std::string const& text);
    /// Id of the next query.
    std::string next_id() const;
    /// Sends bytes as they are and reads one answer.
    reply raw(std::string const& bytes);
    bool connected() const { return this->socket >= 0; }
    /// True if the other side has sent something, or its end, that was not read yet.
    bool has_unread() const;
    /// Reads one answer, whether or not something was asked.
    reply read_reply();
    void close();

private:
    std::string read_line(bool& closed);

    int socket = -1;
    std::string id_prefix;
    std::string buffer;
    std::uint64_t last_id = 0;
};

/// A blocking TCP connection on loopback; negative if it is refused. Close it with
/// close().
int connect_to(std::uint16_t port, std::chrono::milliseconds patience);

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_LINE_CALLER_HPP_INCLUDED
