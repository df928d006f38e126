#include <algorithm>
#include <chrono>
#include <support/leadership_hosts_model.hpp>
#include <support/modelled_fence.hpp>
#include <utility>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;

constexpr duration store_delay = milliseconds(15);
constexpr duration store_timeout = milliseconds(500);
constexpr std::uint64_t numbers_per_ms = 1000;
std::string const group_name = "g";

std::uint64_t first_number(instant started) {
    auto const since_epoch = started.time_since_epoch();
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<milliseconds>(since_epoch).count()) *
           numbers_per_ms;
}

} // namespace

modelled_fence::modelled_fence(modelled_fleet& fleet, std::string self)
    : fleet(fleet),
      self(std::move(self)),
      fence(fleet.group.now()),
      calls(first_number(fleet.group.now())) {}

instant modelled_fence::now() const {
    return this->fleet.group.now();
}

void modelled_fence::tick() {
    this->fence.ticked(this->now());
    auto const due = this->calls.due(this->now());
    for (auto const& each : this->fleet.hosts) {
        if (each->name() == this->self) {
            continue;
        }
        if (due) {
            this->tell(each->name(), *due);
        }
        this->fleet.send(this->self, each->name(), [by = this->self](modelled_host& to) {
            to.guard().heard[by] = to.guard().now();
        });
    }
    this->write_if_due();
    if (this->fence.wants_reading(this->now())) {
        this->read();
    }
}

void modelled_fence::link_up(std::string const& host) {
    if (auto const notice = this->calls.current()) {
        this->tell(host, *notice);
    }
}

void modelled_fence::tell(std::string const& host, fence_notice const& notice) {
    this->fleet.send(this->self, host, [by = this->self, notice](modelled_host& to) {
        to.guard().take(by, notice);
    });
}

/// The model's commits are at the database as they are sent: none is on its way.
void modelled_fence::take(std::string const& by, fence_notice const& notice) {
    this->fence.take(by, notice, notice_source::peer, this->now());
    this->fleet.send(
        this->self, by, [from = this->self, number = notice.number](modelled_host& to) {
            to.guard().calls.answered(from, number);
        });
}

void modelled_fence::write_if_due() {
    auto const notice = this->calls.write_due(this->partners(), this->now());
    if (!notice) {
        return;
    }
    bool const is_written = this->fleet.board_answers(this->self);
    if (is_written) {
        this->fleet.notices[this->self] = *notice;
    }
    this->fleet.deliver_later(
        this->self, is_written ? store_delay : store_timeout,
        [is_written](modelled_host& one) {
            one.guard().calls.written(
                is_written ? std::optional<std::uint64_t>(1) : std::nullopt,
                one.guard().now());
        });
}

void modelled_fence::read() {
    if (std::exchange(this->reading, true)) {
        return;
    }
    bool const is_read = this->fleet.board_answers(this->self);
    auto const notices = this->fleet.notices;
    this->fleet.deliver_later(
        this->self, is_read ? store_delay : store_timeout,
        [is_read, notices, began = this->now()](modelled_host& one) {
            modelled_fence& guard = one.guard();
            guard.reading = false;
            if (!is_read) {
                guard.fence.reading_failed(guard.now());
                return;
            }
            for (auto const& [host, notice] : notices) {
                if (host != guard.self) {
                    guard.fence.take(host, notice, notice_source::store, guard.now());
                }
            }
            guard.fence.reading_succeeded(began);
        });
}

bool modelled_fence::all_heard() {
    duration const age = this->fence.hearing_age(this->now());
    return std::all_of(
        this->fleet.hosts.begin(), this->fleet.hosts.end(), [&](auto const& each) {
            auto const found = this->heard.find(each->name());
            return each->name() == this->self || !each->is_alive() ||
                   (found != this->heard.end() && this->now() - found->second <= age);
        });
}

fence_verdict modelled_fence::judge(std::string const& primary) {
    fence_verdict const verdict =
        this->fence.judge(group_name, primary, this->all_heard(), this->now());
    if (verdict == fence_verdict::needs_reading) {
        this->read();
    }
    return verdict;
}

void modelled_fence::call(std::string const& primary) {
    this->calls.begin(group_name, primary, this->now());
}

void modelled_fence::end() {
    this->calls.end(group_name);
}

std::optional<instant> modelled_fence::stands_since() {
    this->calls.judge(group_name, this->partners(), this->now());
    return this->calls.stands_since(group_name);
}

std::vector<fence_partner> modelled_fence::partners() const {
    std::vector<fence_partner> out;
    for (auto const& each : this->fleet.hosts) {
        if (each->name() != this->self && each->is_alive()) {
            out.push_back(
                {each->name(), this->fleet.faults.linked(this->self, each->name())});
        }
    }
    return out;
}

} // namespace persimmonpoint::tests
