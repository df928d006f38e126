#ifndef PERSIMMONPOINT_APP_COMMANDS_HPP_INCLUDED
#define PERSIMMONPOINT_APP_COMMANDS_HPP_INCLUDED

#include <memory>
#include <persimmonpoint/app/command.hpp>

namespace persimmonpoint::app {

std::unique_ptr<command> make_serve_command();
std::unique_ptr<command> make_front_command();
std::unique_ptr<command> make_check_command();
std::unique_ptr<command> make_check_configuration_command();
std::unique_ptr<command> make_demo_command();
std::unique_ptr<command> make_report_command();
std::unique_ptr<command> make_version_command();

} // namespace persimmonpoint::app

#endif // PERSIMMONPOINT_APP_COMMANDS_HPP_INCLUDED
