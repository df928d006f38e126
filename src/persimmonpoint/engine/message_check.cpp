#include <algorithm>
#include <persimmonpoint/core/catalog/entry_rules.hpp>
#include <persimmonpoint/core/statement/field_rules.hpp>
#include <persimmonpoint/engine/message_check.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>

namespace persimmonpoint::engine {

namespace {

/// Longest time that a lender may tell a borrower to wait.
constexpr std::int64_t max_loan_wait_us = 3'600'000'000;

bool is_empty_or_word(std::string_view text) {
    return text.empty() || is_plain_word(text);
}

bool are_values(session_values const& values) {
    return std::all_of(values.begin(), values.end(), [](auto const& each) {
        return is_inner_field(each.first) && is_last_field(each.second);
    });
}

bool is_order(upstream_request const& order) {
    return is_empty_or_word(order.group) && is_empty_or_word(order.database) &&
           is_empty_or_word(order.team) &&
           (order.id.empty() || is_inner_field(order.id)) && is_last_field(order.text) &&
           are_values(order.values) &&
           (!order.prepared || is_last_field(order.prepared->shape));
}

bool is_answer(upstream_response const& answer) {
    return is_one_line(answer.error_text) && is_one_line(answer.signature) &&
           std::all_of(answer.rows.begin(), answer.rows.end(), is_one_line);
}

/// One overload for each kind of message whose fields are bounded.
struct field_check {
    bool operator()(hello_message const& message) const {
        return is_plain_word(message.host);
    }
    bool operator()(order_message const& message) const {
        return is_order(message.order);
    }
    bool operator()(answer_message const& message) const {
        return is_answer(message.answer);
    }
    bool operator()(loan_message const& message) const {
        return message.wait_us >= 0 && message.wait_us <= max_loan_wait_us;
    }
    bool operator()(leader_message const& message) const {
        return is_plain_word(message.group) && is_plain_word(message.database);
    }
    bool operator()(alive_message const& message) const {
        return !message.evacuations ||
               std::all_of(
                   message.evacuations->zones.begin(), message.evacuations->zones.end(),
                   is_plain_word);
    }
    bool operator()(fence_message const& message) const {
        return std::all_of(
            message.fenced.begin(), message.fenced.end(), [](auto const& each) {
                return is_plain_word(each.group) && is_empty_or_word(each.primary);
            });
    }
    bool operator()(fence_answer_message const& message) const {
        return std::all_of(
            message.acknowledged.begin(), message.acknowledged.end(),
            [](auto const& each) {
                return is_plain_word(each.group) && is_plain_word(each.database);
            });
    }
    template <class Other>
    bool operator()(Other const&) const {
        return true;
    }
};

template <class Entry>
bool is_usable(Entry const& entry, std::string_view name) {
    auto fault = find_fault(entry);
    if (!fault && !net::parse_remote_endpoint(entry.address)) {
        fault = field_fault{"address", "is no IP number and port to connect to"};
    }
    if (fault) {
        observe::log_event(
            observe::log_level::warning, "entry_unusable",
            {{"from", "another host"},
             {"entry", name},
             {"reason", "field " + fault->field + " " + fault->reason}});
    }
    return !fault;
}

} // namespace

bool is_well_formed(peer_message const& message) {
    return std::visit(field_check(), message);
}

void remove_unusable(database_directory& directory) {
    std::erase_if(directory.databases, [](auto const& each) {
        return each.first != each.second.id || !is_usable(each.second, each.first);
    });
}

void remove_unusable(host_directory& hosts) {
    std::erase_if(
        hosts, [](registered_host const& each) { return !is_usable(each, each.name); });
}

} // namespace persimmonpoint::engine
