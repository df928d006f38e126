#ifndef PERSIMMONPOINT_TRAFFIC_CANCEL_REGISTRY_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_CANCEL_REGISTRY_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace persimmonpoint::traffic {

/// Which session a cancel request is for. Shared by the traffic threads of a host.
class cancel_registry {
public:
    /// `cancel` is called from any thread and must post to the session's own.
    void
    add(std::uint32_t process_id, std::uint32_t secret, std::function<void()> cancel) {
        std::scoped_lock const guard(this->mutex);
        this->sessions[process_id] = entry{secret, std::move(cancel)};
    }

    void remove(std::uint32_t process_id) {
        std::scoped_lock const guard(this->mutex);
        this->sessions.erase(process_id);
    }

    /// Does nothing unless the secret is that of the session.
    void cancel(std::uint32_t process_id, std::uint32_t secret) {
        std::scoped_lock const guard(this->mutex);
        auto const found = this->sessions.find(process_id);
        if (found != this->sessions.end() && found->second.secret == secret) {
            found->second.cancel();
        }
    }

private:
    struct entry {
        std::uint32_t secret = 0;
        std::function<void()> cancel;
    };

    std::mutex mutex;
    std::map<std::uint32_t, entry> sessions;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_CANCEL_REGISTRY_HPP_INCLUDED
