#include <boost/json.hpp>
#include <map>
#include <persimmonpoint/core/catalog/entry_rules.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/http_client.hpp>
#include <persimmonpoint/platform/store_answers.hpp>
#include <persimmonpoint/platform/store_client.hpp>
#include <stdexcept>
#include <vector>

namespace persimmonpoint::platform {

namespace json = boost::json;

namespace {

constexpr auto call_limit = std::chrono::milliseconds(1000);

/// Rows that are remembered as logged.
constexpr std::size_t max_noted_rows = 1000;

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr unsigned status_precondition_failed = 412;

constexpr std::string_view operations_table = "op";
constexpr std::string_view configuration_key = "config";
/// The rest of the key is the availability zone.
constexpr std::string_view evacuation_prefix = "evacuate/";
constexpr std::string_view databases_table = "servers";
constexpr std::string_view hosts_table = "hosts";
constexpr std::string_view leases_table = "leases";
constexpr std::string_view lease_key = "leadership";
constexpr std::string_view fences_table = "fences";

/// A row of its own for each era: a call that was made in an earlier one can't match the
/// version of a row of the present one by chance.
std::string lease_key_of(std::uint64_t era) {
    return std::string(lease_key) + "-" + std::to_string(era);
}

/// What a watch ended with.
struct watched_rows {
    bool history_lost = false;
    row_page page;
};

/// Logs rows that can't be used, each version of a row once.
class unusable_rows {
public:
    void note(std::string_view table, stored_row const& row, error const& why) {
        std::string const name = std::string(table) + "/" + row.key;
        auto const logged = this->versions.find(name);
        if (logged != this->versions.end() && logged->second == row.version) {
            return;
        }
        if (this->versions.size() >= max_noted_rows) {
            this->versions.clear();
        }
        this->versions[name] = row.version;
        observe::log_event(
            observe::log_level::warning, "entry_unusable",
            {{"table", table}, {"entry", row.key}, {"reason", why.message}});
    }

private:
    std::map<std::string, std::uint64_t> versions;
};

/// The availability zone that a row of the operator's names to be evacuated.
std::optional<std::string> evacuated_zone(stored_row const& row, unusable_rows& noted) {
    if (!row.key.starts_with(evacuation_prefix)) {
        return std::nullopt;
    }
    std::string zone = row.key.substr(evacuation_prefix.size());
    if (!is_plain_word(zone)) {
        noted.note(
            operations_table, row,
            error{"22023", "the key names no availability zone", effect::not_run});
        return std::nullopt;
    }
    return zone;
}

stored_operations read_operation_rows(row_page&& page, unusable_rows& noted) {
    stored_operations out;
    out.version = page.version;
    out.evacuations.version = page.version;
    for (stored_row& each : page.rows) {
        if (each.removed) {
            continue;
        }
        if (auto zone = evacuated_zone(each, noted)) {
            out.evacuations.zones.insert(std::move(*zone));
        } else if (each.key == configuration_key && !each.value.empty()) {
            out.configuration = {
                store_version{page.version.era, each.version}, std::move(each.value)};
        }
    }
    return out;
}

watch_result to_result(watched_rows const& seen) {
    watch_result out;
    out.changed = !seen.page.rows.empty();
    out.history_lost = seen.history_lost;
    out.version = resume_after(seen.page);
    return out;
}

watch_result read_operation_changes(watched_rows&& seen, unusable_rows& noted) {
    watch_result out = to_result(seen);
    for (stored_row& each : seen.page.rows) {
        if (auto zone = evacuated_zone(each, noted)) {
            out.evacuations.push_back({std::move(*zone), !each.removed});
        } else if (each.key == configuration_key) {
            out.lacks_configuration = each.value.empty();
            out.configuration.reset();
            if (!each.value.empty()) {
                out.configuration = stored_configuration{
                    store_version{seen.page.version.era, each.version},
                    std::move(each.value)};
            }
        }
    }
    return out;
}

/// Nothing if the row was removed or names no host to use.
std::optional<registered_host> read_host(stored_row const& row, unusable_rows& noted) {
    if (row.removed) {
        return std::nullopt;
    }
    result<registered_host> entry = decode_host(row.key, row.value);
    if (!entry) {
        noted.note(hosts_table, row, entry.error());
        return std::nullopt;
    }
    return std::move(entry.value());
}

/// One kind of call to the store.
struct store_call {
    std::string_view name;
    std::string_view table;
};

/// Calls that were made, by kind.
class call_counter {
public:
    void add(store_call const& call) {
        ++this->counts[{std::string(call.name), std::string(call.table)}];
    }
    std::vector<store_call_count> all() const {
        std::vector<store_call_count> out;
        for (auto const& [kind, count] : this->counts) {
            out.push_back({kind.first, kind.second, count});
        }
        return out;
    }

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> counts;
};

/// A connection to the store; its calls are made one after the other.
class store_channel {
public:
    store_channel(
        boost::asio::io_context& loop,
        std::string const& ip,
        std::uint16_t port,
        call_counter& calls)
        : client(loop, ip, port, call_limit), calls(calls) {}

    void
    get(store_call const& call,
        std::string_view target,
        http_client::handler done,
        std::chrono::milliseconds wait = std::chrono::milliseconds(0)) {
        this->calls.add(call);
        this->client.request("GET", target, {}, std::move(done), {}, wait);
    }
    void post(
        store_call const& call,
        std::string_view target,
        std::string body,
        http_client::handler done) {
        this->calls.add(call);
        this->client.request("POST", target, std::move(body), std::move(done));
    }
    bool receiving() const { return this->client.receiving(); }
    void reset() { this->client.reset(); }

private:
    http_client client;
    call_counter& calls;
};

struct transaction_outcome {
    bool committed = false; ///< False if an expected row has another version.
    std::uint64_t era = 0;  ///< The store's, when it answered.
};

} // namespace

struct store_client::implementation {
    implementation(boost::asio::io_context& loop, std::string const& address) {
        auto const endpoint = net::parse_endpoint(address);
        if (!endpoint) {
            throw std::invalid_argument("platform.store is no address: " + address);
        }
        std::string const ip = endpoint->address().to_string();
        auto const channel = [&] {
            return std::make_unique<store_channel>(
                loop, ip, endpoint->port(), this->counter);
        };
        this->calls = channel();
        this->databases = channel();
        this->operations = channel();
        this->host_watch = channel();
        this->notices = channel();
    }

    /// Reads all rows of a part, page by page.
    static void read(
        store_channel& on,
        std::string_view table,
        std::string_view part,
        handler<row_page> done) {
        read_on(
            on, std::string(table), std::string(part), std::make_shared<row_list>(),
            std::move(done));
    }

    static void read_on(
        store_channel& on,
        std::string const& table,
        std::string const& part,
        std::shared_ptr<row_list> const& list,
        handler<row_page> done) {
        on.get(
            {"rows-get", table}, list_target(table, part, list->next_from()),
            [&on, table, part, list, done = std::move(done)](result<http_reply> reply) {
                if (!reply) {
                    done(reply.error());
                    return;
                }
                result<row_page> page = read_page("rows-get", reply.value());
                if (!page) {
                    done(page.error());
                    return;
                }
                switch (list->add(std::move(page.value()))) {
                case row_list::step::finished:
                    done(list->take());
                    return;
                case row_list::step::give_up:
                    done(error{
                        "58030", "the pages of table " + table + " make up no list",
                        effect::not_run});
                    return;
                default:
                    read_on(on, table, part, list, done);
                }
            });
    }

    static void watch(
        store_channel& on,
        std::string_view table,
        store_version const& version,
        std::chrono::milliseconds wait,
        handler<watched_rows> done) {
        std::string const target = "/api/rows-feed?table=" + std::string(table) +
                                   "&after=" + std::to_string(version.number) +
                                   "&wait_ms=" + std::to_string(wait.count());
        auto const answered = [done, era = version.era](result<http_reply> reply) {
            if (!reply) {
                done(reply.error());
                return;
            }
            if (reply.value().status == status_gone) {
                done(watched_rows{true, {}});
                return;
            }
            result<row_page> page = read_page("rows-feed", reply.value());
            if (!page) {
                done(page.error());
                return;
            }
            if (page.value().version.era != era) {
                done(watched_rows{true, {}});
                return;
            }
            done(watched_rows{false, std::move(page.value())});
        };
        on.get({"rows-feed", table}, target, answered, wait);
    }

    void transact(
        std::string_view table,
        json::object const& body,
        std::function<void(result<transaction_outcome>)> done) {
        transact(*this->calls, table, body, std::move(done));
    }

    static void transact(
        store_channel& on,
        std::string_view table,
        json::object const& body,
        std::function<void(result<transaction_outcome>)> done) {
        on.post(
            {"rows-tx", table}, "/api/rows-tx", json::serialize(body),
            [done](result<http_reply> reply) {
                if (!reply) {
                    done(reply.error());
                    return;
                }
                unsigned const status = reply.value().status;
                if (status != status_ok && status != status_precondition_failed) {
                    done(unexpected_status("rows-tx", status));
                    return;
                }
                auto const era = read_era(reply.value());
                if (!era) {
                    done(era.error());
                    return;
                }
                done(transaction_outcome{status == status_ok, era.value()});
            });
    }

    call_counter counter;
    std::unique_ptr<store_channel> calls;
    std::unique_ptr<store_channel> databases;
    /// Read and watched in turn: a large configuration holds up no other call.
    std::unique_ptr<store_channel> operations;
    std::unique_ptr<store_channel> host_watch;
    /// Commits wait for readings of the notices.
    std::unique_ptr<store_channel> notices;
    unusable_rows noted;
};

namespace {

json::object
row_name(std::string_view table, std::string_view part, std::string_view key) {
    json::object row;
    row["table"] = table;
    row["part"] = part;
    row["key"] = key;
    return row;
}

json::object transaction(json::array expect, json::array writes, json::array remove) {
    json::object body;
    body["expect"] = std::move(expect);
    body["writes"] = std::move(writes);
    body["remove"] = std::move(remove);
    return body;
}

} // namespace

store_client::store_client(boost::asio::io_context& loop, std::string const& address)
    : impl(std::make_unique<implementation>(loop, address)) {}

store_client::~store_client() = default;

void store_client::read_operations(handler<stored_operations> done) {
    implementation::read(
        *this->impl->operations, operations_table, "",
        [done = std::move(done), &noted = this->impl->noted](result<row_page> page) {
            if (!page) {
                done(page.error());
                return;
            }
            done(read_operation_rows(std::move(page.value()), noted));
        });
}

void store_client::watch_operations(
    store_version const& version,
    std::chrono::milliseconds wait,
    handler<watch_result> done) {
    implementation::watch(
        *this->impl->operations, operations_table, version, wait,
        [done = std::move(done), &noted = this->impl->noted](result<watched_rows> seen) {
            if (!seen) {
                done(seen.error());
                return;
            }
            done(read_operation_changes(std::move(seen.value()), noted));
        });
}

bool store_client::receives_configuration() const {
    return this->impl->operations->receiving();
}

std::vector<store_call_count> store_client::calls() const {
    return this->impl->counter.all();
}

void store_client::read_databases(handler<database_directory> done) {
    implementation::read(
        *this->impl->databases, databases_table, "",
        [done, &noted = this->impl->noted](result<row_page> page) {
            if (!page) {
                done(page.error());
                return;
            }
            database_directory out;
            out.version = page.value().version;
            for (stored_row const& each : page.value().rows) {
                result<registered_database> entry = decode_database(each.key, each.value);
                if (entry) {
                    out.databases.emplace(each.key, std::move(entry.value()));
                } else {
                    noted.note(databases_table, each, entry.error());
                }
            }
            done(std::move(out));
        });
}

void store_client::read_hosts(handler<stored_hosts> done) {
    implementation::read(
        *this->impl->calls, hosts_table, "",
        [done, &noted = this->impl->noted](result<row_page> page) {
            if (!page) {
                done(page.error());
                return;
            }
            stored_hosts out;
            out.version = page.value().version;
            for (stored_row const& each : page.value().rows) {
                if (auto entry = read_host(each, noted)) {
                    out.hosts.push_back(std::move(*entry));
                }
            }
            done(std::move(out));
        });
}

void store_client::watch_hosts(
    store_version const& version,
    std::chrono::milliseconds wait,
    handler<watch_result> done) {
    implementation::watch(
        *this->impl->host_watch, hosts_table, version, wait,
        [done = std::move(done),
         &noted = this->impl->noted](result<watched_rows> const& seen) {
            if (!seen) {
                done(seen.error());
                return;
            }
            watch_result out = to_result(seen.value());
            for (stored_row const& each : seen.value().page.rows) {
                out.hosts.push_back({each.key, read_host(each, noted)});
            }
            done(std::move(out));
        });
}

void store_client::register_host(registered_host const& host, handler<void> done) {
    json::object row = row_name(hosts_table, "", host.name);
    row["value"] = encode_base64(encode_host(host));
    this->impl->transact(
        hosts_table, transaction({}, {row}, {}),
        [done](result<transaction_outcome> outcome) {
            if (!outcome) {
                done(outcome.error());
                return;
            }
            done(boost::outcome_v2::success());
        });
}

void store_client::remove_host(std::string_view name, handler<void> done) {
    this->impl->transact(
        hosts_table, transaction({}, {}, {row_name(hosts_table, "", name)}),
        [done](result<transaction_outcome> outcome) {
            if (!outcome) {
                done(outcome.error());
                return;
            }
            done(boost::outcome_v2::success());
        });
}

void store_client::break_off_watches() {
    this->impl->operations->reset();
    this->impl->host_watch->reset();
}

void store_client::read_notices(handler<std::vector<stored_notice>> done) {
    implementation::read(
        *this->impl->notices, fences_table, "",
        [done, &noted = this->impl->noted](result<row_page> page) {
            if (!page) {
                done(page.error());
                return;
            }
            std::vector<stored_notice> out;
            for (stored_row const& each : page.value().rows) {
                result<fence_notice> notice = decode_notice(each.value);
                if (notice) {
                    out.push_back({each.key, std::move(notice.value())});
                } else {
                    noted.note(fences_table, each, notice.error());
                }
            }
            done(std::move(out));
        });
}

void store_client::write_notice(
    stored_notice const& notice, handler<std::uint64_t> done) {
    json::object row = row_name(fences_table, "", notice.host);
    row["value"] = encode_base64(encode_notice(notice.notice));
    implementation::transact(
        *this->impl->notices, fences_table, transaction({}, {row}, {}),
        [done](result<transaction_outcome> outcome) {
            if (!outcome) {
                done(outcome.error());
                return;
            }
            done(outcome.value().era);
        });
}

void store_client::read_lease(std::string_view group, handler<leadership_lease> done) {
    implementation::read(
        *this->impl->calls, leases_table, group, [done](result<row_page> page) {
            if (!page) {
                done(page.error());
                return;
            }
            leadership_lease out;
            std::uint64_t const era = page.value().version.era;
            std::uint64_t revision = 0;
            for (stored_row const& each : page.value().rows) {
                result<leadership_lease> const read = decode_lease(each.value);
                if (!read) {
                    done(read.error());
                    return;
                }
                if (read.value().token > out.token) {
                    out = read.value();
                }
                if (each.key == lease_key_of(era)) {
                    revision = each.version;
                }
            }
            out.revision = revision;
            out.era = era;
            out.store_now_ms = page.value().now_ms;
            done(std::move(out));
        });
}

void store_client::take_lease(
    std::string_view group, leadership_lease const& lease, handler<bool> done) {
    json::object expected = row_name(leases_table, group, lease_key_of(lease.era));
    expected["row_version"] = lease.revision;
    json::object row = row_name(leases_table, group, lease_key_of(lease.era));
    row["value"] = encode_base64(encode_lease(lease));
    this->impl->transact(
        leases_table, transaction({expected}, {row}, {}),
        [done, era = lease.era](result<transaction_outcome> outcome) {
            if (!outcome) {
                done(outcome.error());
                return;
            }
            done(outcome.value().committed && outcome.value().era == era);
        });
}

} // namespace persimmonpoint::platform
