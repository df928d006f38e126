#include <iostream>
#include <persimmonpoint/app/command.hpp>
#include <vector>

int main(int argc, char** argv) {
    std::vector<std::string> const arguments(argv + 1, argv + argc);
    return static_cast<int>(
        persimmonpoint::app::run_program(arguments, std::cout, std::cerr));
}
