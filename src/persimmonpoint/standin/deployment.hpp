#ifndef PERSIMMONPOINT_STANDIN_DEPLOYMENT_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_DEPLOYMENT_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <persimmonpoint/settings/host_settings.hpp>
#include <persimmonpoint/standin/database.hpp>
#include <persimmonpoint/standin/platform.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::standin {

/// Stand-ins for a whole deployment in one thread: the platform with the catalogue, and
/// the databases of every group. Each team gets a key, made up at the start.
class deployment {
public:
    explicit deployment(settings::loaded_settings const& settings);
    ~deployment();

    /// Settings of a host that uses this deployment.
    settings::host_settings host_settings(std::string const& name) const;
    std::string const& key_of(std::string const& team) const;
    std::uint16_t platform_port() const;

    /// Runs a function on the stand-ins' loop and waits for its end. All access to the
    /// databases and the platform goes through here.
    void run(std::function<void()> const& work);
    standin::platform& platform();
    std::vector<database*> databases(std::string const& group);
    /// Null while nobody leads. Call it within run().
    database* primary(std::string const& group);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_DEPLOYMENT_HPP_INCLUDED
