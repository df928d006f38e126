#include <boost/json.hpp>
#include <charconv>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/http_client.hpp>
#include <persimmonpoint/platform/store_client.hpp>
#include <stdexcept>
#include <vector>

namespace persimmonpoint::platform {

namespace json = boost::json;

namespace {

constexpr auto call_limit = std::chrono::milliseconds(1000);

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr unsigned status_precondition_failed = 412;

constexpr std::string_view configuration_key = "config";
constexpr std::string_view hosts_table = "hosts";
constexpr std::string_view leases_table = "leases";
constexpr std::string_view lease_key = "leadership";
constexpr std::string_view era_header = "Store-Era";

struct stored_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
};

struct row_page {
    std::vector<stored_row> rows;
    store_version version; ///< The store's newest.
    std::uint64_t now_ms = 0;
};

std::uint64_t number_in(json::object const& object, std::string_view name) {
    json::value const* const found = object.if_contains(name);
    if (found == nullptr || !found->is_number()) {
        return 0;
    }
    return found->to_number<std::uint64_t>();
}

std::string text_in(json::object const& object, std::string_view name) {
    json::value const* const found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->as_string())
                                                  : std::string();
}

stored_row read_row(json::object const& object) {
    stored_row row;
    row.key = text_in(object, "key");
    row.value = decode_base64(text_in(object, "value")).value_or(std::string());
    row.version = number_in(object, "row_version");
    json::value const* const removed = object.if_contains("tombstone");
    row.removed = removed != nullptr && removed->is_bool() && removed->as_bool();
    return row;
}

/// 0 of a store that names none.
std::uint64_t era_of(http_reply const& reply) {
    std::string_view const text = reply.header(era_header);
    std::uint64_t era = 0;
    std::from_chars(text.data(), text.data() + text.size(), era);
    return era;
}

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

/// The configuration among the rows of an answer.
std::optional<stored_configuration> find_configuration(row_page&& page) {
    std::optional<stored_configuration> found;
    for (stored_row& each : page.rows) {
        if (each.key == configuration_key && !each.value.empty()) {
            found = stored_configuration{
                store_version{page.version.era, each.version}, std::move(each.value)};
        }
    }
    return found;
}

watch_result to_result(watched_rows const& seen) {
    watch_result out;
    out.changed = !seen.page.rows.empty();
    out.history_lost = seen.history_lost;
    out.version = seen.page.version;
    return out;
}

struct transaction_outcome {
    bool committed = false; ///< False if an expected row has another version.
    std::uint64_t era = 0;  ///< The store's, when it answered.
};

error refused(std::string_view call, unsigned status) {
    return error{
        "58030", std::string(call) + " answered status " + std::to_string(status),
        effect::not_run};
}

result<row_page> read_page(std::string_view call, http_reply const& reply) {
    if (reply.status != status_ok) {
        return refused(call, reply.status);
    }
    boost::system::error_code failure;
    json::value const parsed = json::parse(reply.body, failure);
    if (failure || !parsed.is_object()) {
        return error{
            "58030", std::string(call) + " answered no JSON object", effect::not_run};
    }
    json::object const& object = parsed.as_object();
    row_page page;
    page.version = store_version{era_of(reply), number_in(object, "row_version")};
    page.now_ms = number_in(object, "now_ms");
    json::value const* const rows = object.if_contains("rows");
    if (rows != nullptr && rows->is_array()) {
        for (json::value const& each : rows->as_array()) {
            if (each.is_object()) {
                page.rows.push_back(read_row(each.as_object()));
            }
        }
    }
    return page;
}

std::string read_target(std::string_view table, std::string_view part) {
    return "/api/rows-get?table=" + std::string(table) + "&part=" + std::string(part) +
           "&limit=500";
}

} // namespace

struct store_client::implementation {
    implementation(boost::asio::io_context& loop, std::string const& address) {
        auto const endpoint = net::parse_endpoint(address);
        if (!endpoint) {
            throw std::invalid_argument("platform.store is no address: " + address);
        }
        std::string const ip = endpoint->address().to_string();
        this->calls =
            std::make_unique<http_client>(loop, ip, endpoint->port(), call_limit);
        this->databases =
            std::make_unique<http_client>(loop, ip, endpoint->port(), call_limit);
        this->configuration =
            std::make_unique<http_client>(loop, ip, endpoint->port(), call_limit);
        this->host_watch =
            std::make_unique<http_client>(loop, ip, endpoint->port(), call_limit);
    }

    static void read(
        http_client& on,
        std::string_view table,
        std::string_view part,
        handler<row_page> done) {
        on.request("GET", read_target(table, part), {}, [done](result<http_reply> reply) {
            if (!reply) {
                done(reply.error());
                return;
            }
            done(read_page("rows-get", reply.value()));
        });
    }

    static void watch(
        http_client& on,
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
            bool const restored =
                reply.value().status == status_ok && era_of(reply.value()) != era;
            if (reply.value().status == status_gone || restored) {
                done(watched_rows{true, {}});
                return;
            }
            result<row_page> page = read_page("rows-feed", reply.value());
            if (!page) {
                done(page.error());
                return;
            }
            done(watched_rows{false, std::move(page.value())});
        };
        on.request("GET", target, {}, answered, {}, wait);
    }

    void transact(
        json::object const& body, std::function<void(result<transaction_outcome>)> done) {
        this->calls->request(
            "POST", "/api/rows-tx", json::serialize(body),
            [done](result<http_reply> reply) {
                if (!reply) {
                    done(reply.error());
                    return;
                }
                unsigned const status = reply.value().status;
                if (status != status_ok && status != status_precondition_failed) {
                    done(refused("rows-tx", status));
                    return;
                }
                done(transaction_outcome{status == status_ok, era_of(reply.value())});
            });
    }

    std::unique_ptr<http_client> calls;
    std::unique_ptr<http_client> databases;
    /// Read and watched in turn: a large one holds up no other call.
    std::unique_ptr<http_client> configuration;
    std::unique_ptr<http_client> host_watch;
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

void store_client::read_configuration(handler<stored_configuration> done) {
    implementation::read(
        *this->impl->configuration, "op", "", [done](result<row_page> page) {
            if (!page) {
                done(page.error());
                return;
            }
            done(find_configuration(std::move(page.value()))
                     .value_or(stored_configuration{}));
        });
}

void store_client::watch_configuration(
    store_version const& version,
    std::chrono::milliseconds wait,
    handler<watch_result> done) {
    implementation::watch(
        *this->impl->configuration, "op", version, wait,
        [done = std::move(done)](result<watched_rows> seen) {
            if (!seen) {
                done(seen.error());
                return;
            }
            watch_result out = to_result(seen.value());
            out.configuration = find_configuration(std::move(seen.value().page));
            done(std::move(out));
        });
}

bool store_client::receives_configuration() const {
    return this->impl->configuration->receiving();
}

void store_client::read_databases(handler<database_directory> done) {
    implementation::read(
        *this->impl->databases, "servers", "", [done](result<row_page> page) {
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
                    observe::log_event(
                        observe::log_level::warning, "database_entry_unreadable",
                        {{"database", each.key}, {"reason", entry.error().message}});
                }
            }
            done(std::move(out));
        });
}

void store_client::read_hosts(handler<stored_hosts> done) {
    implementation::read(
        *this->impl->calls, hosts_table, "", [done](result<row_page> page) {
            if (!page) {
                done(page.error());
                return;
            }
            stored_hosts out;
            out.version = page.value().version;
            for (stored_row const& each : page.value().rows) {
                if (auto entry = decode_host(each.key, each.value)) {
                    out.hosts.push_back(std::move(entry.value()));
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
        [done = std::move(done)](result<watched_rows> const& seen) {
            if (!seen) {
                done(seen.error());
                return;
            }
            done(to_result(seen.value()));
        });
}

void store_client::register_host(registered_host const& host, handler<void> done) {
    json::object row = row_name(hosts_table, "", host.name);
    row["value"] = encode_base64(encode_host(host));
    this->impl->transact(
        transaction({}, {row}, {}), [done](result<transaction_outcome> outcome) {
            if (!outcome) {
                done(outcome.error());
                return;
            }
            done(boost::outcome_v2::success());
        });
}

void store_client::remove_host(std::string_view name, handler<void> done) {
    this->impl->transact(
        transaction({}, {}, {row_name(hosts_table, "", name)}),
        [done](result<transaction_outcome> outcome) {
            if (!outcome) {
                done(outcome.error());
                return;
            }
            done(boost::outcome_v2::success());
        });
}

void store_client::break_off_watches() {
    this->impl->configuration->reset();
    this->impl->host_watch->reset();
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
        transaction({expected}, {row}, {}),
        [done, era = lease.era](result<transaction_outcome> outcome) {
            if (!outcome) {
                done(outcome.error());
                return;
            }
            done(outcome.value().committed && outcome.value().era == era);
        });
}

} // namespace persimmonpoint::platform
