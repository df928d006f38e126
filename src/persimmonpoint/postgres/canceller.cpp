#include <array>
#include <condition_variable>
#include <deque>
#include <libpq-fe.h>
#include <memory>
#include <mutex>
#include <persimmonpoint/postgres/canceller.hpp>
#include <thread>

namespace persimmonpoint::postgres {

namespace {

constexpr std::size_t max_backlog = 64;

struct cancel_deleter {
    void operator()(PGcancel* request) const { PQfreeCancel(request); }
};
using cancel_ptr = std::unique_ptr<PGcancel, cancel_deleter>;

class canceller {
public:
    canceller() : worker([this] { this->work(); }) {}

    canceller(canceller const&) = delete;
    canceller& operator=(canceller const&) = delete;

    ~canceller() {
        {
            std::scoped_lock const guard(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_one();
        this->worker.join();
    }

    void add(cancel_ptr request) {
        {
            std::scoped_lock const guard(this->mutex);
            if (this->backlog.size() >= max_backlog) {
                return;
            }
            this->backlog.push_back(std::move(request));
        }
        this->changed.notify_one();
    }

private:
    void work() {
        std::unique_lock guard(this->mutex);
        while (!this->stopping) {
            if (this->backlog.empty()) {
                this->changed.wait(guard);
                continue;
            }
            cancel_ptr const next = std::move(this->backlog.front());
            this->backlog.pop_front();
            guard.unlock();
            std::array<char, 256> message{};
            PQcancel(next.get(), message.data(), static_cast<int>(message.size()));
            guard.lock();
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<cancel_ptr> backlog;
    bool stopping = false;
    std::thread worker;
};

} // namespace

void cancel_in_background(pg_cancel* request) {
    if (request == nullptr) {
        return;
    }
    static canceller shared;
    shared.add(cancel_ptr(request));
}

} // namespace persimmonpoint::postgres
