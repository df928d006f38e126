#include <algorithm>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <tuple>

namespace persimmonpoint {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

/// Continues a 64-bit FNV-1a hash with `text`.
std::uint64_t fnv1a(std::uint64_t hash, std::string_view text) {
    for (char const each : text) {
        hash ^= static_cast<unsigned char>(each);
        hash *= fnv_prime;
    }
    return hash;
}

/// The 64-bit finalizer of MurmurHash3: spreads the last characters over all bits.
std::uint64_t fmix64(std::uint64_t hash) {
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

std::uint32_t most_millicores(std::span<registered_host const> hosts) {
    std::uint32_t most = 0;
    for (registered_host const& each : hosts) {
        most = std::max(most, each.processor_millicores);
    }
    return most;
}

/// Hosts of about the same size share the work: a small difference moves none of it.
bool is_large(registered_host const& host, std::uint32_t largest) {
    return std::uint64_t{host.processor_millicores} * 2 >= largest;
}

/// Hosts of the zone first, of each those that are preferred, then by rendezvous hashing.
template <class Prefers>
std::vector<std::string> rank(
    std::string_view key,
    std::string_view availability_zone,
    std::span<registered_host const> hosts,
    Prefers prefers) {
    using entry = std::tuple<bool, bool, std::uint64_t, std::string_view>;
    std::vector<entry> entries;
    entries.reserve(hosts.size());
    for (registered_host const& each : hosts) {
        entries.emplace_back(
            each.availability_zone == availability_zone, prefers(each),
            rendezvous_weight(key, each.name), each.name);
    }
    std::sort(entries.begin(), entries.end(), std::greater<>());
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (entry const& each : entries) {
        names.emplace_back(std::get<3>(each));
    }
    return names;
}

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view host) {
    std::uint64_t const key_hash = fnv1a(fnv_offset, key);
    // The multiplication hashes a zero byte between key and host, which separates them.
    return fmix64(fnv1a(key_hash * fnv_prime, host));
}

std::vector<std::string> rank_owners(
    std::string_view key,
    std::string_view availability_zone,
    std::span<registered_host const> hosts) {
    return rank(
        key, availability_zone, hosts, [](registered_host const&) { return true; });
}

std::vector<std::string> rank_database_owners(
    registered_database const& database, std::span<registered_host const> hosts) {
    std::uint32_t const largest = most_millicores(hosts);
    return rank(
        database.id, database.availability_zone, hosts,
        [largest](registered_host const& each) { return is_large(each, largest); });
}

} // namespace persimmonpoint
