#ifndef PERSIMMONPOINT_INTERFACES_CALLER_CHANNEL_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_CALLER_CHANNEL_HPP_INCLUDED

#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/statement.hpp>
#include <span>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// A caller's answer, whole.
struct caller_answer {
    statement_error error = statement_error::none;
    std::string error_text;
    std::vector<std::string> rows;
    std::string signature; ///< Empty if the system answered by itself.
    transaction_state state = transaction_state::idle;
    std::optional<log_position> position;
};

/// What a caller does. Called from the event loop of its channel.
class caller_observer {
public:
    virtual ~caller_observer() = default;
    virtual void on_start(std::string_view database, std::string_view key) = 0;
    virtual void on_statement(statement const& what) = 0;
    /// The caller ended the session or its connection broke.
    virtual void on_closed() = 0;
};

/// The connection of one caller, in whatever protocol. One request is outstanding at a
/// time; further ones are read when it has been answered.
class caller_channel {
public:
    virtual ~caller_channel() = default;
    virtual void accept() = 0;
    virtual void refuse(statement_error error, std::string_view text) = 0;
    virtual void answer(caller_answer const& answer) = 0;
    /// False while part of what the caller was told is still to be sent.
    virtual bool all_sent() const = 0;
    /// Tells the caller, who has no request outstanding, that the session ends. Requests
    /// that cross this word are answered as not run; the observer hears nothing of them.
    /// It hears on_closed once the caller has closed, or has been given its time for it.
    virtual void dismiss(std::string_view reason) = 0;
};

/// Gives each new caller its observer.
using caller_acceptor =
    std::function<std::shared_ptr<caller_observer>(std::shared_ptr<caller_channel>)>;

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_CALLER_CHANNEL_HPP_INCLUDED
