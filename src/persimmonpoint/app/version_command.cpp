#include <ostream>
#include <persimmonpoint/app/commands.hpp>
#include <persimmonpoint/app/options.hpp>

namespace persimmonpoint::app {

namespace {

class version_command final : public command {
public:
    std::string_view name() const override { return "version"; }
    std::string_view summary() const override { return "Print the version"; }

    exit_code
    run(std::span<std::string const> arguments,
        std::ostream& out,
        std::ostream& err) override {
        cxxopts::Options options = make_options(*this);
        auto const parsed = parse_options(options, arguments, out, err);
        if (!parsed.values) {
            return parsed.code;
        }
        out << "persimmonpoint " << PERSIMMONPOINT_VERSION << '\n';
        return exit_code::success;
    }
};

} // namespace

std::unique_ptr<command> make_version_command() {
    return std::make_unique<version_command>();
}

} // namespace persimmonpoint::app
