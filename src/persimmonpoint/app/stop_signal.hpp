#ifndef PERSIMMONPOINT_APP_STOP_SIGNAL_HPP_INCLUDED
#define PERSIMMONPOINT_APP_STOP_SIGNAL_HPP_INCLUDED

#include <csignal>
#include <pthread.h>

namespace persimmonpoint::app {

/// Waits for SIGINT or SIGTERM. Make it before any thread, so that all threads leave the
/// signals to wait().
class stop_signal {
public:
    stop_signal() {
        sigemptyset(&this->signals);
        sigaddset(&this->signals, SIGINT);
        sigaddset(&this->signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    void wait() const {
        int received = 0;
        sigwait(&this->signals, &received);
    }

private:
    sigset_t signals{};
};

} // namespace persimmonpoint::app

#endif // PERSIMMONPOINT_APP_STOP_SIGNAL_HPP_INCLUDED
