#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_PEER_HEALTH_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_PEER_HEALTH_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Whether another host may be given work, judged by the link to it.
///
/// A host that has not been tried yet is taken to be there: a fresh host must not wait
/// before it can work. One that was lost counts again only once it has answered.
class peer_health {
public:
    void connecting(instant now);
    void heard(instant now);
    /// A part of a message has arrived: a connected host is not silent.
    void receiving(instant now);
    void lost(instant now);
    /// Nothing listens at its address: the process has stopped.
    void ended() { this->is_ended = true; }
    void leaving(bool value) { this->leaves = value; }

    bool is_leaving() const { return this->leaves; }
    bool usable() const { return !this->leaves && this->current != state::lost; }
    bool has_stopped() const { return this->is_ended; }
    /// True if it has certainly stopped, or takes no more work.
    bool has_ended() const { return this->is_ended || this->leaves; }
    bool heard_within(duration age, instant now) const {
        return this->current == state::connected && now - this->since <= age;
    }
    /// Time since it was lost; zero while it is not.
    duration lost_for(instant now) const;
    bool connected() const { return this->current == state::connected; }
    /// Something was sent that the other is to answer soon.
    void asked(instant now);
    /// All that was asked has been answered.
    void answered() { this->awaited_since.reset(); }
    bool awaited() const { return this->awaited_since.has_value(); }
    /// True if a link has been silent for so long that it must be given up.
    bool overdue(fleet_pace const& pace, instant now) const;
    /// True if a connection may be attempted now.
    bool may_connect(instant now) const;

private:
    enum class state { untried, connecting, connected, lost };
    state current = state::untried;
    bool leaves = false;
    bool is_ended = false;
    bool reconnecting = false;
    std::optional<instant> awaited_since;
    std::optional<instant> lost_since; ///< Until it is heard again.
    instant since{}; ///< Last heard, or when the attempt began, or when it was lost.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_PEER_HEALTH_HPP_INCLUDED
