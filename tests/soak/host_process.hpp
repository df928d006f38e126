#ifndef PERSIMMONPOINT_TESTS_SOAK_HOST_PROCESS_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SOAK_HOST_PROCESS_HPP_INCLUDED

#include <filesystem>
#include <string>
#include <sys/types.h>

namespace persimmonpoint::tests {

/// One run of the program as a process of its own. Killed when it is destroyed.
class host_process {
public:
    /// The process writes its log to the end of `log`. Throws std::runtime_error if it
    /// can't be started.
    host_process(
        std::filesystem::path const& program,
        std::filesystem::path const& settings,
        std::filesystem::path const& log);
    ~host_process();
    host_process(host_process const&) = delete;
    host_process& operator=(host_process const&) = delete;

    /// Sends a signal; nothing happens if the process has ended.
    void send(int signal);
    bool running();
    pid_t number() const { return this->id; }
    /// How it ended: "exit 0", "signal 9"; empty while it runs.
    std::string ending();

private:
    void reap(int options);

    pid_t id = -1;
    bool ended = false;
    int status = 0;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SOAK_HOST_PROCESS_HPP_INCLUDED
