#ifndef PERSIMMONPOINT_TESTS_SOAK_SOAK_PLAN_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SOAK_SOAK_PLAN_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonpoint::tests {

enum class soak_fault {
    host_killed,    ///< SIGKILL; another process starts when it heals.
    host_stopped,   ///< SIGTERM; another process starts when it heals.
    host_paused,    ///< SIGSTOP until it heals.
    host_reloaded,  ///< The settings file is written anew, and SIGHUP.
    host_store_cut, ///< One host can't reach the store.
    host_store_slow,
    host_store_reset,
    store_unavailable,
    store_silent,
    store_answers_lost,
    database_killed,
    database_cut,
    database_one_way,
    database_slow,
    database_refusing,
    connections_silenced, ///< Open connections to a database, for good.
    connections_reset,
    replica_deaf,
    write_answer_lost,
    read_answer_lost,
    configuration_changed,
    key_withdrawn,
    orders_late,         ///< A part of STATUS, PAUSE and RESUME at a database.
    promotions_late,     ///< A part of the platform's promotions.
    primary_killed,      ///< Whichever leads then.
    primary_isolated,    ///< Lives and answers, and has no link to its copies.
    registration_silent, ///< A database that works doesn't reach the store.
    database_replaced,   ///< Drains until it heals, then ends; a copy takes its place.
    store_away,          ///< Hosts and databases don't reach it; the rows stay.
    store_away_lapsing,  ///< The same, and all rows lapse.
    replica_joined,      ///< With the primary's log; it has no row until it heals.
    primary_cut,     ///< From the databases that there are; those that join are linked.
    primary_leaving, ///< Drains until it heals, then ends.
    primary_silent_to_hosts, ///< Those before a rank don't reach it.
    ranked_host_paused,      ///< Played as host_paused, of the host at a rank.
};

/// Name in the soak's report.
char const* to_string(soak_fault kind);
/// Whether it hits whichever database leads when it begins.
bool hits_primary(soak_fault kind);
/// Planned work, under which no request may be cut.
bool is_planned(soak_fault kind);
/// Whether it may keep a host from learning a configuration.
bool disturbs_store(soak_fault kind);
bool disturbs_host(soak_fault kind);

struct planned_fault {
    soak_fault kind = soak_fault::host_killed;
    std::size_t target = 0; ///< Host or database, by number.
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    std::chrono::milliseconds delay{0}; ///< Of what comes late.
    std::size_t rank = 0; ///< In the order in which hosts serve the primary.
};

/// Faults that come in series and overlap, drawn from the seed, ordered by time.
std::vector<planned_fault> plan_soak(
    std::uint64_t seed,
    std::chrono::milliseconds length,
    std::size_t hosts,
    std::size_t databases);

/// The same of the faults that changes of leadership come from and that may disturb them.
std::vector<planned_fault> plan_leadership_soak(
    std::uint64_t seed,
    std::chrono::milliseconds length,
    std::size_t hosts,
    std::size_t databases);

/// The store is away, a primary is cut from its replicas and acknowledges with a replica
/// that has no row yet, and is replaced as the store is back, or crashes.
std::vector<planned_fault> plan_unseen_soak(
    std::uint64_t seed,
    std::chrono::milliseconds length,
    std::size_t hosts,
    std::size_t databases);

/// A primary is silent to some hosts, those that reach it don't answer when they are
/// asked, and it is cut from its replicas and acknowledges with a replica that has no row
/// yet.
std::vector<planned_fault> plan_silent_soak(
    std::uint64_t seed,
    std::chrono::milliseconds length,
    std::size_t hosts,
    std::size_t databases);

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SOAK_SOAK_PLAN_HPP_INCLUDED
