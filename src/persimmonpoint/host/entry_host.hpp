#ifndef PERSIMMONPOINT_HOST_ENTRY_HOST_HPP_INCLUDED
#define PERSIMMONPOINT_HOST_ENTRY_HOST_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <persimmonpoint/settings/host_settings.hpp>
#include <string_view>

namespace persimmonpoint::host {

/// One entry host: a control thread and the traffic threads. Several may live in a
/// process.
class entry_host {
public:
    explicit entry_host(settings::host_settings settings);
    ~entry_host();

    /// Starts the threads. The port is open once the catalogue has been read.
    void start();
    /// True once callers are served.
    bool wait_until_serving(std::chrono::milliseconds limit);
    /// The port that callers use; 0 until the host serves.
    std::uint16_t port() const;
    /// Takes no new callers and returns once all sessions have ended, or the limit is
    /// over.
    void drain(std::chrono::milliseconds limit);
    /// Ends everything at once.
    void stop();
    /// A second wish to stop ends the drain early.
    void hurry();

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::host

#endif // PERSIMMONPOINT_HOST_ENTRY_HOST_HPP_INCLUDED
