#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/url/pct_string_view.hpp>
#include <list>
#include <map>
#include <persimmonpoint/net/http_responder.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/standin/row_store.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace persimmonpoint::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Rows of one answer, at most.
constexpr std::uint64_t most_rows = 500;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_precondition_failed = 412;
constexpr unsigned status_unavailable = 503;

struct row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
};

using row_key = std::tuple<std::string, std::string, std::string>; ///< Table, part, key.

/// A watch that waits for a change of its table.
struct watcher {
    std::string table;
    std::uint64_t after = 0;
    net::http_responder::reply reply;
    std::chrono::steady_clock::time_point until;
};

/// A call for a promotion.
struct promotion {
    std::string group;
    std::string database;
    std::uint64_t token = 0;
};

std::string parameter(std::string_view target, std::string_view name) {
    std::size_t at = target.find('?');
    while (at != std::string_view::npos) {
        std::string_view const rest = target.substr(at + 1);
        std::size_t const end = std::min(rest.find('&'), rest.size());
        std::string_view const pair = rest.substr(0, end);
        std::size_t const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return boost::urls::pct_string_view(pair.substr(equals + 1)).decode();
        }
        at = end == rest.size() ? std::string_view::npos : at + 1 + end;
    }
    return {};
}

std::uint64_t number(std::string const& text) {
    return text.empty() ? 0 : std::stoull(text);
}

row_key key_of(json::object const& entry) {
    auto const text = [&entry](char const* name) {
        json::value const* const found = entry.if_contains(name);
        return found != nullptr && found->is_string() ? std::string(found->as_string())
                                                      : std::string();
    };
    return {text("table"), text("part"), text("key")};
}

} // namespace

struct row_store::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& loop, promote_handler on_promote)
        : on_promote(std::move(on_promote)),
          timer(loop),
          started(std::chrono::steady_clock::now()) {}

    void listen(asio::io_context& loop) {
        this->server = std::make_unique<net::http_responder>(
            loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0),
            [weak = this->weak_from_this()](
                net::http_question const& question, net::http_responder::reply reply) {
                if (auto const self = weak.lock()) {
                    self->take(question, std::move(reply));
                }
            });
    }

    void take(net::http_question const& question, net::http_responder::reply answered) {
        ++this->call_count;
        net::http_responder::reply reply =
            [this, answered = std::move(answered)](net::http_response response) {
                response.headers.emplace_back("Store-Era", std::to_string(this->era));
                answered(std::move(response));
            };
        bool const promotes = question.target == "/promote";
        store_fault const present = promotes ? store_fault::none : this->fault.load();
        if (present == store_fault::silent) {
            this->unanswered.push_back(std::move(reply));
            return;
        }
        if (present == store_fault::unavailable) {
            reply({status_unavailable, "application/json", "{}"});
            return;
        }
        if (present == store_fault::answer_lost) {
            this->unanswered.push_back(reply);
            reply = [](net::http_response const&) {};
        }
        this->answer(question, std::move(reply));
    }

    void answer(net::http_question const& question, net::http_responder::reply reply) {
        std::string_view const target = question.target;
        if (target.rfind("/api/rows-get", 0) == 0) {
            ++this->reads[parameter(target, "table")];
            reply(this->read(target));
        } else if (target.rfind("/api/rows-feed", 0) == 0) {
            this->watch(target, std::move(reply));
        } else if (target.rfind("/api/rows-tx", 0) == 0 && this->holds_transactions) {
            this->held.push_back({question.body, std::move(reply)});
        } else if (target.rfind("/api/rows-tx", 0) == 0) {
            reply(this->transact(question.body));
        } else if (target == "/promote") {
            this->take_promotion(question, std::move(reply));
        } else {
            reply({status_bad_request, "application/json", "{}"});
        }
    }

    json::object head() const {
        json::object out;
        out["row_version"] = this->version;
        out["now_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::steady_clock::now() - this->started)
                            .count();
        return out;
    }

    static json::object to_json(row_key const& key, row const& value) {
        json::object out;
        out["table"] = std::get<0>(key);
        out["part"] = std::get<1>(key);
        out["key"] = std::get<2>(key);
        out["row_version"] = value.version;
        if (value.removed) {
            out["tombstone"] = true;
        } else {
            out["value"] = platform::encode_base64(value.value);
        }
        return out;
    }

    net::http_response read(std::string_view target) {
        std::string const table = parameter(target, "table");
        std::string const part = parameter(target, "part");
        std::string const end = parameter(target, "to");
        std::uint64_t const limit =
            std::min(number(parameter(target, "limit")), most_rows);
        json::array found;
        bool has_more = false;
        auto each = this->rows.lower_bound({table, part, parameter(target, "from")});
        for (; each != this->rows.end(); ++each) {
            auto const& [in_table, in_part, key] = each->first;
            if (in_table != table || in_part != part || (!end.empty() && key >= end)) {
                break;
            }
            if (each->second.removed) {
                continue;
            }
            if (limit > 0 && found.size() == limit) {
                has_more = true;
                break;
            }
            found.push_back(to_json(each->first, each->second));
        }
        json::object body = this->head();
        body["rows"] = std::move(found);
        body["has_more"] = has_more;
        if (has_more && this->page_hook) {
            this->page_hook();
        }
        return {status_ok, "application/json", json::serialize(body)};
    }

    json::array changes(std::string const& table, std::uint64_t after) const {
        json::array found;
        for (auto const& [key, value] : this->rows) {
            if (std::get<0>(key) == table && value.version > after) {
                found.push_back(to_json(key, value));
            }
        }
        return found;
    }

    void watch(std::string_view target, net::http_responder::reply reply) {
        watcher waiting;
        waiting.table = parameter(target, "table");
        waiting.after = number(parameter(target, "after"));
        if (waiting.after > this->version || waiting.after < this->history_from) {
            reply({status_gone, "application/json", "{}"});
            return;
        }
        waiting.until = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(number(parameter(target, "wait_ms")));
        waiting.reply = std::move(reply);
        this->watchers.push_back(std::move(waiting));
        this->wake_watchers();
    }

    void wake_watchers() {
        auto const now = std::chrono::steady_clock::now();
        for (auto each = this->watchers.begin(); each != this->watchers.end();) {
            json::array found = this->changes(each->table, each->after);
            if (found.empty() && now < each->until) {
                ++each;
                continue;
            }
            json::object body = this->head();
            body["rows"] = std::move(found);
            auto const reply = std::move(each->reply);
            each = this->watchers.erase(each);
            reply({status_ok, "application/json", json::serialize(body)});
        }
        if (!this->watchers.empty()) {
            this->timer.expires_after(std::chrono::milliseconds(20));
            this->timer.async_wait(
                [weak = this->weak_from_this()](boost::system::error_code failure) {
                    auto const self = weak.lock();
                    if (self && !failure) {
                        self->wake_watchers();
                    }
                });
        }
    }

    net::http_response transact(std::string const& body) {
        json::object const call = json::parse(body).as_object();
        for (json::value const& each : call.at("expect").as_array()) {
            json::object const& entry = each.as_object();
            auto const found = this->rows.find(key_of(entry));
            bool const present = found != this->rows.end() && !found->second.removed;
            std::uint64_t const has = present ? found->second.version : 0;
            if (entry.at("row_version").to_number<std::uint64_t>() != has) {
                return {
                    status_precondition_failed, "application/json",
                    json::serialize(this->head())};
            }
        }
        ++this->version;
        ++this->transaction_count;
        for (json::value const& each : call.at("writes").as_array()) {
            json::object const& entry = each.as_object();
            std::string const value =
                platform::decode_base64(entry.at("value").as_string()).value_or("");
            this->rows[key_of(entry)] = row{value, this->version, false};
        }
        for (json::value const& each : call.at("remove").as_array()) {
            this->rows[key_of(each.as_object())] = row{{}, this->version, true};
        }
        this->wake_watchers();
        return {status_ok, "application/json", json::serialize(this->head())};
    }

    void
    take_promotion(net::http_question const& question, net::http_responder::reply reply) {
        json::object const body = json::parse(question.body).as_object();
        promotion const call{
            std::string(body.at("service").as_string()),
            std::string(body.at("id").as_string()),
            number(question.header("Persimmonpoint-Fencing-Token"))};
        bool const late =
            this->promotion_delay.count() > 0 && this->promotions++ % 2 == 0;
        if (!late) {
            reply({this->promote(call), "application/json", "{}"});
            return;
        }
        this->unanswered.push_back(std::move(reply));
        auto const wait = std::make_shared<asio::steady_timer>(
            this->timer.get_executor(), this->promotion_delay);
        wait->async_wait(
            [weak = this->weak_from_this(), wait, call](boost::system::error_code) {
                if (auto const self = weak.lock()) {
                    self->promote(call);
                }
            });
    }

    unsigned promote(promotion const& call) {
        std::uint64_t& highest = this->tokens[call.group];
        if (call.token < highest) {
            return status_conflict;
        }
        highest = call.token;
        return this->on_promote(call.group, call.database, call.token);
    }

    promote_handler on_promote;
    std::unique_ptr<net::http_responder> server;
    asio::steady_timer timer;
    std::chrono::steady_clock::time_point started;
    std::map<row_key, row> rows;
    std::list<watcher> watchers;
    std::list<net::http_responder::reply> unanswered;
    std::map<std::string, std::uint64_t> tokens;
    std::chrono::milliseconds promotion_delay{0};
    std::size_t promotions = 0; ///< Since the delay was set.
    std::uint64_t version = 0;
    std::uint64_t history_from = 0; ///< Watches from an earlier version are refused.
    std::uint64_t era = 1;
    std::map<std::string, std::size_t> reads; ///< By table.
    std::function<void()> page_hook;
    struct held_transaction {
        std::string body;
        net::http_responder::reply reply;
    };
    std::vector<held_transaction> held;
    bool holds_transactions = false;
    std::size_t transaction_count = 0;
    std::map<row_key, row> copied_rows;
    std::uint64_t copied_version = 0;
    std::atomic<std::uint64_t> call_count{0};
    std::atomic<store_fault> fault{store_fault::none};
};

row_store::row_store(asio::io_context& loop, promote_handler on_promote)
    : impl(std::make_shared<implementation>(loop, std::move(on_promote))) {
    this->impl->listen(loop);
}

row_store::~row_store() {
    this->impl->timer.cancel();
    this->impl->watchers.clear();
    this->impl->unanswered.clear();
    this->impl->held.clear();
    this->impl->server.reset();
}

std::uint16_t row_store::port() const {
    return this->impl->server->port();
}

void row_store::put(
    std::string const& table, std::string const& key, std::string const& value) {
    ++this->impl->version;
    this->impl->rows[{table, "", key}] = row{value, this->impl->version, false};
    this->impl->wake_watchers();
}

void row_store::remove(std::string const& table, std::string const& key) {
    ++this->impl->version;
    this->impl->rows[{table, "", key}] = row{{}, this->impl->version, true};
    this->impl->wake_watchers();
}

void row_store::drop_history() {
    // The next change is the first that the feed knows of.
    this->impl->history_from = this->impl->version;
}

void row_store::set_fault(store_fault fault) {
    this->impl->fault = fault;
}

void row_store::set_promotion_delay(std::chrono::milliseconds delay) {
    this->impl->promotion_delay = delay;
    this->impl->promotions = 0;
}

void row_store::silence_watches() {
    for (watcher& each : this->impl->watchers) {
        this->impl->unanswered.push_back(std::move(each.reply));
    }
    this->impl->watchers.clear();
}

void row_store::hold_transactions() {
    this->impl->holds_transactions = true;
}

void row_store::release_transactions() {
    this->impl->holds_transactions = false;
    for (auto const& each : std::exchange(this->impl->held, {})) {
        each.reply(this->impl->transact(each.body));
    }
}

std::size_t row_store::transactions() const {
    return this->impl->transaction_count;
}

void row_store::set_page_hook(std::function<void()> hook) {
    this->impl->page_hook = std::move(hook);
}

void row_store::keep_copy() {
    this->impl->copied_rows = this->impl->rows;
    this->impl->copied_version = this->impl->version;
}

void row_store::restore() {
    this->silence_watches();
    this->impl->rows = this->impl->copied_rows;
    this->impl->version = this->impl->copied_version;
    ++this->impl->era;
}

std::uint64_t row_store::calls() const {
    return this->impl->call_count;
}

std::size_t row_store::reads_of(std::string const& table) const {
    auto const found = this->impl->reads.find(table);
    return found == this->impl->reads.end() ? 0 : found->second;
}

std::size_t row_store::rows_of(std::string const& table) const {
    return static_cast<std::size_t>(std::count_if(
        this->impl->rows.begin(), this->impl->rows.end(), [&table](auto const& each) {
            return std::get<0>(each.first) == table && !each.second.removed;
        }));
}

} // namespace persimmonpoint::standin
