#include <algorithm>
#include <array>
#include <random>
#include <soak/soak_plan.hpp>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;

/// Longer than the grace of a stopped host, behind which it is killed.
constexpr milliseconds stop_time(3600);

struct kind_traits {
    soak_fault kind;
    char const* name;
    bool planned;
    bool store;
    bool host;
};

constexpr std::array<kind_traits, 22> traits = {{
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
}};

kind_traits const& traits_of(soak_fault kind) {
    return *std::find_if(traits.begin(), traits.end(), [kind](kind_traits const& each) {
        return each.kind == kind;
    });
}

bool hits_host(soak_fault kind) {
    return kind <= soak_fault::host_store_reset;
}

} // namespace

char const* to_string(soak_fault kind) {
    return traits_of(kind).name;
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
    std::mt19937_64 random(seed);
    auto const draw = [&random](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    std::vector<planned_fault> plan;
    for (milliseconds at(draw(300, 1200)); at < length;
         at += milliseconds(draw(50, 1800))) {
        planned_fault next;
        next.kind = traits[static_cast<std::size_t>(draw(0, traits.size() - 1))].kind;
        std::size_t const targets = hits_host(next.kind) ? hosts : databases;
        next.target =
            static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(targets) - 1));
        next.at = at;
        next.length = next.kind == soak_fault::host_stopped
                          ? stop_time
                          : milliseconds(draw(200, 3000));
        // Some come in series on the same target.
        std::int64_t const times = draw(0, 5) == 0 ? 3 : 1;
        for (std::int64_t i = 0; i < times; ++i) {
            plan.push_back(next);
            next.at += next.length + milliseconds(draw(20, 400));
        }
    }
    std::erase_if(
        plan, [length](planned_fault const& each) { return each.at >= length; });
    std::stable_sort(
        plan.begin(), plan.end(),
        [](planned_fault const& left, planned_fault const& right) {
            return left.at < right.at;
        });
    return plan;
}

} // namespace persimmonpoint::tests
