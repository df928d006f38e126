#ifndef PERSIMMONPOINT_APP_COMMAND_HPP_INCLUDED
#define PERSIMMONPOINT_APP_COMMAND_HPP_INCLUDED

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace persimmonpoint::app {

/// Exit codes of the program.
enum class exit_code {
    success = 0,
    failure = 1, ///< The work was tried and failed.
    usage = 2    ///< The command line or the settings can't be used.
};

/// One subcommand.
class command {
public:
    virtual ~command() = default;
    virtual std::string_view name() const = 0;
    virtual std::string_view summary() const = 0;
    /// `arguments` begin behind the subcommand's name.
    virtual exit_code
    run(std::span<std::string const> arguments, std::ostream& out, std::ostream& err) = 0;
};

/// Runs the subcommand that the arguments begin with.
exit_code
run_program(std::span<std::string const> arguments, std::ostream& out, std::ostream& err);

} // namespace persimmonpoint::app

#endif // PERSIMMONPOINT_APP_COMMAND_HPP_INCLUDED
