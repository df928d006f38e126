#include <algorithm>
#include <array>
#include <random>
#include <soak/soak_plan.hpp>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;

/// Longer than the grace of a stopped host, behind which it is killed.
constexpr milliseconds stop_time(3600);
/// Rows are written this often.
constexpr std::int64_t heartbeat_ms = 1200;

struct kind_traits {
    soak_fault kind;
    char const* name;
    bool planned;
    bool store;
    bool host;
};

constexpr std::array<kind_traits, 35> traits = {{
    {soak_fault::host_killed, "host killed", false, false, true},
    {soak_fault::host_stopped, "host stopped", true, false, true},
    {soak_fault::host_paused, "host paused", false, false, true},
    {soak_fault::host_reloaded, "host reloaded", true, false, false},
    {soak_fault::host_store_cut, "host cut from store", false, false, true},
    {soak_fault::host_store_slow, "store slow for a host", false, false, true},
    {soak_fault::host_store_reset, "store resets a host", false, false, true},
    {soak_fault::store_unavailable, "store unavailable", false, true, false},
    {soak_fault::store_silent, "store silent", false, true, false},
    {soak_fault::store_answers_lost, "store answers lost", false, true, false},
    {soak_fault::database_killed, "database killed", false, false, false},
    {soak_fault::database_cut, "database cut", false, false, false},
    {soak_fault::database_one_way, "database cut one way", false, false, false},
    {soak_fault::database_slow, "database slow", false, false, false},
    {soak_fault::database_refusing, "database refusing", false, false, false},
    {soak_fault::connections_silenced, "connections silenced", false, false, false},
    {soak_fault::connections_reset, "connections reset", false, false, false},
    {soak_fault::replica_deaf, "replica deaf", false, false, false},
    {soak_fault::write_answer_lost, "write answer lost", false, false, false},
    {soak_fault::read_answer_lost, "read answer lost", false, false, false},
    {soak_fault::configuration_changed, "configuration changed", true, false, false},
    {soak_fault::key_withdrawn, "key withdrawn", true, false, false},
    {soak_fault::orders_late, "orders late", false, false, false},
    {soak_fault::promotions_late, "promotions late", false, false, false},
    {soak_fault::primary_killed, "primary killed", false, false, false},
    {soak_fault::primary_isolated, "primary isolated", false, false, false},
    {soak_fault::registration_silent, "registration silent", false, false, false},
    {soak_fault::database_replaced, "database replaced", true, false, false},
    {soak_fault::store_away, "store away", false, true, false},
    {soak_fault::store_away_lapsing, "store away, rows lapse", false, true, false},
    {soak_fault::replica_joined, "replica joined without a row", true, false, false},
    {soak_fault::primary_cut, "primary cut from its replicas", false, false, false},
    {soak_fault::primary_leaving, "primary leaving", true, false, false},
    {soak_fault::primary_silent_to_hosts, "primary silent to hosts", false, false, false},
    {soak_fault::ranked_host_paused, "host of a rank paused", false, false, true},
}};

/// The kinds that plan_soak draws from: the first ones. The seeds that failed once keep
/// their plans by it.
constexpr std::size_t everyday_kinds = 22;

/// What plan_leadership_soak draws from; a kind comes as often as it stands here.
constexpr std::array leadership_kinds = {
    soak_fault::primary_killed,      soak_fault::primary_killed,
    soak_fault::primary_killed,      soak_fault::primary_isolated,
    soak_fault::primary_isolated,    soak_fault::orders_late,
    soak_fault::orders_late,         soak_fault::promotions_late,
    soak_fault::registration_silent, soak_fault::registration_silent,
    soak_fault::replica_deaf,        soak_fault::replica_deaf,
    soak_fault::database_killed,     soak_fault::database_killed,
    soak_fault::database_cut,        soak_fault::host_killed,
    soak_fault::host_paused,         soak_fault::host_store_cut,
    soak_fault::store_unavailable,   soak_fault::database_replaced,
};

struct length_range {
    std::int64_t least_ms;
    std::int64_t most_ms;
};

/// Lengths among the faults of leadership. A registration lapses after 3.6 s of silence.
length_range leadership_length(soak_fault kind) {
    switch (kind) {
    case soak_fault::primary_killed:
        return {300, 2000};
    case soak_fault::primary_isolated:
        return {300, 5000};
    case soak_fault::registration_silent:
    case soak_fault::database_replaced:
        return {4000, 8000};
    case soak_fault::orders_late:
    case soak_fault::promotions_late:
        return {1000, 6000};
    case soak_fault::replica_deaf:
        return {2000, 9000};
    case soak_fault::database_killed:
        return {200, 7000};
    default:
        return {200, 3000};
    }
}

kind_traits const& traits_of(soak_fault kind) {
    return *std::find_if(traits.begin(), traits.end(), [kind](kind_traits const& each) {
        return each.kind == kind;
    });
}

bool hits_host(soak_fault kind) {
    return kind <= soak_fault::host_store_reset;
}

class planner {
public:
    planner(std::uint64_t seed, milliseconds length) : random(seed), length(length) {}

    std::int64_t draw(std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(this->random);
    }

    std::size_t draw_index(std::size_t size) {
        return static_cast<std::size_t>(
            this->draw(0, static_cast<std::int64_t>(size) - 1));
    }

    /// Some come in series on the same target.
    void add(planned_fault next, std::int64_t times) {
        for (std::int64_t i = 0; i < times; ++i) {
            this->plan.push_back(next);
            next.at += next.length + milliseconds(this->draw(20, 400));
        }
    }

    std::vector<planned_fault> finish() {
        std::erase_if(this->plan, [this](planned_fault const& each) {
            return each.at >= this->length;
        });
        std::stable_sort(
            this->plan.begin(), this->plan.end(),
            [](planned_fault const& left, planned_fault const& right) {
                return left.at < right.at;
            });
        return std::move(this->plan);
    }

private:
    std::mt19937_64 random;
    milliseconds length;
    std::vector<planned_fault> plan;
};

/// Another database dies meanwhile, for longer than its registration lasts.
planned_fault
other_killed(planner& drawn, planned_fault const& first, std::size_t databases) {
    planned_fault next;
    next.kind = soak_fault::database_killed;
    next.target = (first.target + 1 + drawn.draw_index(databases - 1)) % databases;
    next.at = first.at + milliseconds(drawn.draw(100, 2000));
    next.length = milliseconds(drawn.draw(4500, 8000));
    return next;
}

/// The host that replaces the primary may freeze in the middle of it.
planned_fault
host_paused_meanwhile(planner& drawn, planned_fault const& first, std::size_t hosts) {
    planned_fault next;
    next.kind = soak_fault::host_paused;
    next.target = drawn.draw_index(hosts);
    next.at = first.at + milliseconds(drawn.draw(100, 1200));
    next.length = milliseconds(drawn.draw(1000, 4000));
    return next;
}

/// One scene of plan_unseen_soak. What it lasts beyond is healed by the end of the plan.
milliseconds add_unseen_scene(planner& drawn, milliseconds at) {
    auto const add = [&drawn](soak_fault kind, milliseconds from, milliseconds until) {
        planned_fault next;
        next.kind = kind;
        next.at = from;
        next.length = until - from;
        next.delay = milliseconds(drawn.draw(0, heartbeat_ms));
        drawn.add(next, 1);
    };
    bool const lapses = drawn.draw(0, 1) == 0;
    bool const leaves = drawn.draw(0, 1) == 0;
    milliseconds const back = at + milliseconds(drawn.draw(2500, 5000));
    milliseconds const cut = at + milliseconds(drawn.draw(300, 1000));
    milliseconds const joined = cut + milliseconds(drawn.draw(50, 600));
    milliseconds const listed = back + milliseconds(drawn.draw(0, 1900));
    milliseconds const linked = back + milliseconds(drawn.draw(3000, 6000));
    add(lapses ? soak_fault::store_away_lapsing : soak_fault::store_away, at, back);
    add(soak_fault::primary_cut, cut, linked);
    add(soak_fault::replica_joined, joined, listed);
    if (leaves) {
        milliseconds const told = joined + milliseconds(drawn.draw(100, 900));
        add(soak_fault::primary_leaving, told,
            back + milliseconds(drawn.draw(4000, 8000)));
    } else {
        milliseconds const crash = back + milliseconds(drawn.draw(-700, 500));
        add(soak_fault::primary_killed, crash,
            crash + milliseconds(drawn.draw(2500, 3500)));
    }
    return back;
}

/// One scene of plan_silent_soak; when the last of it heals.
milliseconds add_silent_scene(planner& drawn, milliseconds at, std::size_t hosts) {
    planned_fault silence;
    silence.kind = soak_fault::primary_silent_to_hosts;
    silence.at = at;
    silence.length = milliseconds(drawn.draw(3500, 6000));
    silence.rank = 1 + drawn.draw_index(std::max<std::size_t>(hosts, 2) - 1);
    planned_fault pause;
    pause.kind = soak_fault::ranked_host_paused;
    pause.at = at + milliseconds(drawn.draw(900, 2200));
    pause.length = milliseconds(drawn.draw(450, 800));
    planned_fault cut;
    cut.kind = soak_fault::primary_cut;
    cut.at = pause.at + milliseconds(drawn.draw(-200, 500));
    cut.length = milliseconds(drawn.draw(2500, 4000));
    planned_fault joined;
    joined.kind = soak_fault::replica_joined;
    joined.at = cut.at + milliseconds(drawn.draw(20, 300));
    joined.length = milliseconds(drawn.draw(0, heartbeat_ms));
    drawn.add(silence, 1);
    for (pause.rank = silence.rank; pause.rank < hosts; ++pause.rank) {
        drawn.add(pause, 1);
    }
    drawn.add(cut, 1);
    drawn.add(joined, 1);
    return std::max(at + silence.length, cut.at + cut.length);
}

} // namespace

char const* to_string(soak_fault kind) {
    return traits_of(kind).name;
}

bool hits_primary(soak_fault kind) {
    return kind == soak_fault::primary_killed || kind == soak_fault::primary_isolated ||
           kind == soak_fault::primary_cut || kind == soak_fault::primary_leaving ||
           kind == soak_fault::primary_silent_to_hosts;
}

bool is_planned(soak_fault kind) {
    return traits_of(kind).planned;
}

bool disturbs_store(soak_fault kind) {
    return traits_of(kind).store;
}

bool disturbs_host(soak_fault kind) {
    return traits_of(kind).host;
}

std::vector<planned_fault> plan_soak(
    std::uint64_t seed, milliseconds length, std::size_t hosts, std::size_t databases) {
    planner drawn(seed, length);
    for (milliseconds at(drawn.draw(300, 1200)); at < length;
         at += milliseconds(drawn.draw(50, 1800))) {
        planned_fault next;
        next.kind = traits[drawn.draw_index(everyday_kinds)].kind;
        next.target = drawn.draw_index(hits_host(next.kind) ? hosts : databases);
        next.at = at;
        next.length = next.kind == soak_fault::host_stopped
                          ? stop_time
                          : milliseconds(drawn.draw(200, 3000));
        drawn.add(next, drawn.draw(0, 5) == 0 ? 3 : 1);
    }
    return drawn.finish();
}

std::vector<planned_fault> plan_leadership_soak(
    std::uint64_t seed, milliseconds length, std::size_t hosts, std::size_t databases) {
    // Some causes need faults that overlap much, others a change that gets far.
    bool const calm = seed % 2 == 1;
    planner drawn(seed, length);
    for (milliseconds at(drawn.draw(300, 1200)); at < length;
         at += milliseconds(calm ? drawn.draw(500, 4000) : drawn.draw(50, 1800))) {
        planned_fault next;
        next.kind = leadership_kinds[drawn.draw_index(leadership_kinds.size())];
        next.target = drawn.draw_index(hits_host(next.kind) ? hosts : databases);
        next.at = at;
        auto const [least, most] = leadership_length(next.kind);
        next.length = milliseconds(drawn.draw(least, most));
        next.delay = milliseconds(drawn.draw(2000, 12000));
        bool const in_series = drawn.draw(0, 5) == 0 || hits_primary(next.kind);
        drawn.add(next, in_series ? drawn.draw(1, 3) : 1);
        bool const leaves_one_copy = next.kind == soak_fault::replica_deaf ||
                                     next.kind == soak_fault::registration_silent ||
                                     next.kind == soak_fault::orders_late;
        if (leaves_one_copy && drawn.draw(0, 1) == 0) {
            drawn.add(other_killed(drawn, next, databases), 1);
        }
        if (calm && next.kind == soak_fault::primary_killed) {
            drawn.add(host_paused_meanwhile(drawn, next, hosts), 1);
        }
    }
    return drawn.finish();
}

std::vector<planned_fault> plan_unseen_soak(
    std::uint64_t seed,
    milliseconds length,
    std::size_t /*hosts*/,
    std::size_t /*databases*/) {
    planner drawn(seed, length);
    for (milliseconds at(drawn.draw(500, 1500)); at < length;) {
        at = add_unseen_scene(drawn, at) + milliseconds(drawn.draw(9000, 12000));
    }
    return drawn.finish();
}

std::vector<planned_fault> plan_silent_soak(
    std::uint64_t seed,
    milliseconds length,
    std::size_t hosts,
    std::size_t /*databases*/) {
    planner drawn(seed, length);
    for (milliseconds at(drawn.draw(500, 1500)); at < length;) {
        at = add_silent_scene(drawn, at, hosts) + milliseconds(drawn.draw(1000, 2500));
    }
    return drawn.finish();
}

} // namespace persimmonpoint::tests
