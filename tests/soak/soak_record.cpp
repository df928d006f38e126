#include <algorithm>
#include <soak/soak_record.hpp>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;

// The users' bounds, as their pages state them.
constexpr milliseconds accepted_age(1500);
constexpr milliseconds apply_bound(3000);
constexpr milliseconds in_touch_window(4000);
constexpr milliseconds quota_window(5000);
constexpr double quota_overrun = 0.1;
constexpr double quota_slack = 20;

/// Says which other databases had commits that were acknowledged to hosts.
std::string describe(standin::line_group::lossy_promotion const& promotion) {
    std::string text;
    for (auto const& each : promotion.holders) {
        text.append(", ").append(each.id).append(each.alive ? " (alive)" : " (dead)");
        text.append(" had ").append(std::to_string(each.commits));
    }
    return text;
}

class checker {
public:
    explicit checker(soak_evidence const& evidence) : evidence(evidence) {
        for (std::size_t i = 0; i < evidence.log.size(); ++i) {
            this->places[evidence.log[i].data].push_back(i + 1);
        }
        for (soak_operation const& each : evidence.operations) {
            if (each.writes) {
                this->writes[each.item].push_back(&each);
            }
        }
    }

    std::vector<std::string> run() {
        this->check_promotions();
        this->check_acknowledgements();
        for (soak_operation const& each : this->evidence.operations) {
            if (each.writes) {
                this->check_write(each);
            } else if (each.outcome == soak_outcome::succeeded) {
                this->check_read(each);
            }
            this->check_key(each);
            this->check_cut(each);
        }
        for (soak_quota const& each : this->evidence.quotas) {
            this->check_quota(each);
        }
        for (std::string const& each : this->evidence.teams_seen) {
            if (this->evidence.teams_known.count(each) == 0) {
                this->found.push_back("a database was told of \"" + each + "\"");
            }
        }
        auto const runs = check_runs(this->evidence.sent, this->evidence.ran);
        this->found.insert(this->found.end(), runs.begin(), runs.end());
        return this->found;
    }

private:
    void say(std::string what, soak_operation const& operation) {
        this->found.push_back(
            what + ": " + (operation.writes ? "write " : "read ") + operation.item + " " +
            operation.data + " on host " + std::to_string(operation.host) + ", session " +
            std::to_string(operation.session));
    }

    std::size_t times(std::string const& data) const {
        auto const found_at = this->places.find(data);
        return found_at == this->places.end() ? 0 : found_at->second.size();
    }

    /// Place in the log, counted from 1; 0 if it isn't there.
    std::size_t place(std::string const& data) const {
        auto const found_at = this->places.find(data);
        return found_at == this->places.end() ? 0 : found_at->second.front();
    }

    /// Whether a caller was told of a success that the promotion dropped. One that hears
    /// it afterwards may owe it to another run of the same write.
    bool was_told(standin::line_group::dropped_write const& dropped) const {
        auto const written = this->writes.find(dropped.item);
        if (written == this->writes.end()) {
            return false;
        }
        bool const again = std::any_of(
            this->evidence.log.begin(), this->evidence.log.end(),
            [&dropped](auto const& each) {
                return each.data == dropped.data && each.term >= dropped.term;
            });
        return std::any_of(
            written->second.begin(), written->second.end(),
            [&](soak_operation const* each) {
                return each->data == dropped.data &&
                       each->outcome == soak_outcome::succeeded &&
                       (each->ended <= dropped.at || !again);
            });
    }

    void check_promotions() {
        std::map<std::pair<std::uint64_t, std::string>, std::size_t> missing;
        for (auto const& each : this->evidence.dropped) {
            if (this->was_told(each)) {
                ++missing[{each.term, each.database}];
            }
        }
        for (auto const& [promotion, count] : missing) {
            auto const& [term, database] = promotion;
            std::string text = "promoted without acknowledged commits: " + database +
                               " in term " + std::to_string(term) + " lacked " +
                               std::to_string(count);
            for (auto const& each : this->evidence.lossy_promotions) {
                text += each.term == term ? describe(each) : std::string();
            }
            this->found.push_back(std::move(text));
        }
    }

    /// By what databases answered to hosts, whether or not a caller heard of it.
    void check_acknowledgements() {
        for (auto const& each : this->evidence.lossy_promotions) {
            this->found.push_back(
                "promoted without commits that its database had acknowledged: " +
                each.database + " in term " + std::to_string(each.term) + " lacked " +
                std::to_string(each.missing) + describe(each));
        }
    }

    void check_write(soak_operation const& write) {
        std::size_t const count = this->times(write.data);
        if (count > 1) {
            this->say("took effect twice", write);
        }
        if (write.outcome == soak_outcome::succeeded && count == 0) {
            this->say("acknowledged and lost", write);
        }
        if (write.outcome == soak_outcome::not_run && count > 0) {
            this->say("refused and took effect", write);
        }
    }

    bool must_see(soak_operation const& read, soak_operation const& write) const {
        if (write.outcome != soak_outcome::succeeded || write.ended >= read.begun) {
            return false;
        }
        bool const own = write.session == read.session;
        switch (read.freshness) {
        case soak_freshness::all:
            return true;
        case soak_freshness::own:
            return own || write.ended < read.begun - accepted_age;
        default:
            return write.ended < read.begun - accepted_age;
        }
    }

    void check_read(soak_operation const& read) {
        auto const written = this->writes.find(read.item);
        if (written == this->writes.end()) {
            return;
        }
        bool known = read.data == "-";
        std::size_t required = 0;
        for (soak_operation const* const each : written->second) {
            known = known || each->data == read.data;
            if (this->must_see(read, *each)) {
                required = std::max(required, this->place(each->data));
            }
        }
        if (!known) {
            this->say("read what nobody wrote there", read);
            return;
        }
        // A write of no known outcome may be seen and be rolled back by a change of
        // primary.
        bool const rolled_back = read.data != "-" && this->times(read.data) == 0;
        if (!rolled_back && this->place(read.data) < required) {
            this->say("read what is too old", read);
        }
    }

    bool disturbed(std::size_t host, soak_time from, soak_time to) const {
        return std::any_of(
            this->evidence.disturbances.begin(), this->evidence.disturbances.end(),
            [&](soak_disturbance const& each) {
                bool const meets = each.begun <= to && each.ended >= from;
                bool const of_host =
                    disturbs_host(each.fault.kind) && each.fault.target == host;
                return meets && (of_host || disturbs_store(each.fault.kind));
            });
    }

    void check_key(soak_operation const& operation) {
        auto const withdrawn = this->evidence.withdrawn_keys.find(operation.key);
        bool const late = withdrawn != this->evidence.withdrawn_keys.end() &&
                          operation.outcome == soak_outcome::succeeded &&
                          operation.begun > withdrawn->second + apply_bound;
        if (late &&
            !this->disturbed(
                operation.host, withdrawn->second - in_touch_window, operation.begun)) {
            this->say("served for a withdrawn key", operation);
        }
    }

    /// Around planned work alone no request may lose its answer.
    void check_cut(soak_operation const& operation) {
        if (operation.outcome != soak_outcome::cut) {
            return;
        }
        bool const excused = std::any_of(
            this->evidence.disturbances.begin(), this->evidence.disturbances.end(),
            [&](soak_disturbance const& each) {
                return !is_planned(each.fault.kind) && each.begun <= operation.ended &&
                       each.ended >= operation.begun - in_touch_window;
            });
        if (!excused) {
            this->say("cut by planned work", operation);
        }
    }

    void check_quota(soak_quota const& quota) {
        auto const runs = this->evidence.runs.find(quota.team);
        if (runs == this->evidence.runs.end()) {
            return;
        }
        double const seconds = static_cast<double>(quota_window.count()) / 1000;
        double const most =
            (quota.rate * seconds + quota.burst) * (1 + quota_overrun) + quota_slack;
        auto first = runs->second.begin();
        for (auto last = first; last != runs->second.end(); ++last) {
            while (*last - *first > quota_window) {
                ++first;
            }
            auto const count = static_cast<double>(last - first + 1);
            if (count > most) {
                this->found.push_back(
                    "team " + quota.team + " was served " +
                    std::to_string(last - first + 1) + " in a window, over its quota");
                return;
            }
        }
    }

    soak_evidence const& evidence;
    std::map<std::string, std::vector<std::size_t>> places;
    std::map<std::string, std::vector<soak_operation const*>> writes;
    std::vector<std::string> found;
};

} // namespace

std::vector<std::string> check_soak(soak_evidence const& evidence) {
    return checker(evidence).run();
}

void soak_record::add(soak_operation operation) {
    std::scoped_lock const lock(this->guard);
    this->all.push_back(std::move(operation));
}

void soak_record::report(std::string violation) {
    std::scoped_lock const lock(this->guard);
    this->found.push_back(std::move(violation));
}

std::vector<soak_operation> soak_record::operations() const {
    std::scoped_lock const lock(this->guard);
    return this->all;
}

std::vector<std::string> soak_record::violations() const {
    std::scoped_lock const lock(this->guard);
    return this->found;
}

} // namespace persimmonpoint::tests
