#include <csignal>
#include <fcntl.h>
#include <soak/host_process.hpp>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmonpoint::tests {

namespace {

constexpr mode_t log_mode = 0644;
constexpr int no_program = 127;

} // namespace

host_process::host_process(
    std::filesystem::path const& program,
    std::filesystem::path const& settings,
    std::filesystem::path const& log) {
    int const output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
    if (output < 0) {
        throw std::runtime_error("can't write " + log.string());
    }
    // Everything is made ready first: little is allowed between fork and exec.
    char const* const arguments[] = {
        program.c_str(), "front", "--settings", settings.c_str(), nullptr};
    this->id = ::fork();
    if (this->id == 0) {
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        // The sockets of the stand-ins must not live on in the hosts.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(program.c_str(), const_cast<char* const*>(arguments));
        ::_exit(no_program);
    }
    ::close(output);
    if (this->id < 0) {
        throw std::runtime_error("can't start " + program.string());
    }
}

host_process::~host_process() {
    if (this->running()) {
        ::kill(this->id, SIGKILL);
        this->reap(0);
    }
}

void host_process::send(int signal) {
    if (this->running()) {
        ::kill(this->id, signal);
    }
}

void host_process::reap(int options) {
    if (!this->ended) {
        this->ended = ::waitpid(this->id, &this->status, options) == this->id;
    }
}

bool host_process::running() {
    this->reap(WNOHANG);
    return !this->ended;
}

std::string host_process::ending() {
    if (this->running()) {
        return {};
    }
    return WIFSIGNALED(this->status)
               ? "signal " + std::to_string(WTERMSIG(this->status))
               : "exit " + std::to_string(WEXITSTATUS(this->status));
}

} // namespace persimmonpoint::tests
