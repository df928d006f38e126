#ifndef PERSIMMONPOINT_HOST_FRONT_HOST_HPP_INCLUDED
#define PERSIMMONPOINT_HOST_FRONT_HOST_HPP_INCLUDED

#include <memory>
#include <persimmonpoint/settings/front_settings.hpp>

namespace persimmonpoint::host {

/// One host on the users' platform: a control thread that follows the store, and a
/// traffic thread that serves callers, databases and other hosts.
class front_host {
public:
    explicit front_host(settings::front_settings settings);
    ~front_host();

    /// Serves until a signal asks it to stop, and then until its callers are done or the
    /// grace is over.
    void run();
    /// As the signal does. Any thread.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::host

#endif // PERSIMMONPOINT_HOST_FRONT_HOST_HPP_INCLUDED
