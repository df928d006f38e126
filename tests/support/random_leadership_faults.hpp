#ifndef PERSIMMONPOINT_TESTS_SUPPORT_RANDOM_LEADERSHIP_FAULTS_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_RANDOM_LEADERSHIP_FAULTS_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <support/leadership_hosts_model.hpp>
#include <vector>

namespace persimmonpoint::tests {

/// Kinds of faults that a random run may have.
enum class fault_kind {
    brief_crash,    ///< A database is down for 0.3 to 8 s.
    death,          ///< A database is dead for good.
    primary_cut,    ///< No replica receives.
    host_cut,       ///< Some hosts get no answer from the primary.
    deaf_replica,   ///< A replica receives nothing, but answers.
    leaving,        ///< A database leaves and is replaced.
    frozen_host,    ///< For 0.3 to 5 s.
    killed_host,    ///< Its change vanishes.
    owners_differ,  ///< Several hosts take themselves for the primary's owner.
    false_alarm,    ///< A host begins a change though nothing is wrong.
    store_away,     ///< Some hosts get no new token.
    lost_order,     ///< An order is not carried out, or its answer is lost.
    late_order,     ///< An order is carried out 2 to 12 s later.
    late_answer,    ///< An answer takes up to 0.4 s.
    lost_promotion, ///< A call is not carried out, or its answer is lost.
    late_promotion, ///< A call is carried out up to 12 s later.
    lost_news,      ///< A new leader is told late or never.
    // What follows is drawn from other dice, so that the seeds of those above play the
    // same with and without.
    lost_store,       ///< For 0.5 to 7 s; rows lapse, and are back up to 2 s later.
    unlisted_replica, ///< One joins while the store is lost.
    partial_cut,      ///< Replicas don't receive; one that joins then does.
    empty_start,      ///< A database starts again without its log.
    quick_join,       ///< One joins and receives at once, the others perhaps no more.
    slow_reading,     ///< Hosts read the directory every 0.8 s, not every 0.08 s.
    count
};

char const* to_string(fault_kind kind);

inline constexpr auto fault_kinds = static_cast<std::size_t>(fault_kind::count);
inline constexpr auto first_store_fault =
    static_cast<std::size_t>(fault_kind::lost_store);
using fault_set = std::array<bool, fault_kinds>;

/// The same numbers from a seed on every platform.
class seeded_dice {
public:
    explicit seeded_dice(std::uint64_t seed) : engine(seed) {}
    /// From `low` to `high`, both included.
    std::uint64_t between(std::uint64_t low, std::uint64_t high);
    /// True once in `times` on average.
    bool once_in(std::uint64_t times) { return this->between(1, times) == 1; }
    duration milliseconds_between(std::uint64_t low, std::uint64_t high);

private:
    std::mt19937_64 engine;
};

/// What became of one random run.
struct random_run_result {
    std::vector<lost_commits> losses;
    commit_losses literal_losses;
    std::vector<std::string> stuck; ///< What was not as it should be at the end.
    std::size_t promotions = 0;
    std::size_t acknowledged = 0;
    std::size_t exempted_absent = 0;
    std::size_t exempted_returned = 0;
    std::string faults;
    std::vector<std::string> trace;
};

/// Plays a group of databases and a few hosts for half a minute with faults, and until
/// 20 s after them. Each seed has its own selection of `allowed`.
/// @param has_fence Whether hosts fence the commits of a primary that one replaces; then
/// links between hosts are cut, too.
random_run_result run_with_random_faults(
    std::uint64_t seed, fault_set const& allowed, bool has_fence = false);

/// All up to lost_news.
fault_set all_faults();

/// Also those from lost_store to empty_start.
fault_set all_faults_and_store_losses();

/// All up to lost_news, and replicas that join unseen: partial_cut and those from
/// quick_join on.
fault_set all_faults_and_unseen_joins();

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_RANDOM_LEADERSHIP_FAULTS_HPP_INCLUDED
