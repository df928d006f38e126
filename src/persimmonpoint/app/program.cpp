#include <array>
#include <ostream>
#include <persimmonpoint/app/commands.hpp>

namespace persimmonpoint::app {

namespace {

void print_usage(std::span<std::unique_ptr<command> const> commands, std::ostream& out) {
    out << "Usage: persimmonpoint COMMAND [OPTIONS]\n\nCommands:\n";
    constexpr std::size_t name_width = 22;
    for (auto const& each : commands) {
        std::string name(each->name());
        name.resize(name_width, ' ');
        out << "  " << name << each->summary() << '\n';
    }
    out << "\npersimmonpoint COMMAND --help tells more of a command.\n";
}

} // namespace

exit_code run_program(
    std::span<std::string const> arguments, std::ostream& out, std::ostream& err) {
    std::array<std::unique_ptr<command>, 7> const commands = {
        make_front_command(),  make_serve_command(),
        make_check_command(),  make_check_configuration_command(),
        make_demo_command(),   make_report_command(),
        make_version_command()};
    if (arguments.empty()) {
        print_usage(commands, err);
        return exit_code::usage;
    }
    std::string const& wanted = arguments.front();
    if (wanted == "--help" || wanted == "-h" || wanted == "help") {
        print_usage(commands, out);
        return exit_code::success;
    }
    for (auto const& each : commands) {
        if (each->name() == wanted) {
            return each->run(arguments.subspan(1), out, err);
        }
    }
    err << "command \"" << wanted << "\" does not exist\n";
    print_usage(commands, err);
    return exit_code::usage;
}

} // namespace persimmonpoint::app
