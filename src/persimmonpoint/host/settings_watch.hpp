#ifndef PERSIMMONPOINT_HOST_SETTINGS_WATCH_HPP_INCLUDED
#define PERSIMMONPOINT_HOST_SETTINGS_WATCH_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/settings/front_settings.hpp>
#include <string>

namespace persimmonpoint::host {

/// Reads a host's settings file again when it has changed, and on request. A file that
/// can't be used is logged and leaves the values as they are.
class settings_watch {
public:
    using handler = std::function<void(settings::front_settings const& values)>;

    /// An empty file name watches nothing. The handler is called from the loop.
    settings_watch(boost::asio::io_context& loop, std::string file, handler on_read);
    ~settings_watch();

    void start();
    void reread();

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::host

#endif // PERSIMMONPOINT_HOST_SETTINGS_WATCH_HPP_INCLUDED
