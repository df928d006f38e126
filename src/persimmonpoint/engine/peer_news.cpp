#include <persimmonpoint/engine/peer_news.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>

namespace persimmonpoint::engine {

peer_news::peer_news(clock const& time, mesh_observer& observer)
    : time(time), observer(observer) {}

void peer_news::set_pace(fleet_pace const& pace) {
    this->pace = pace;
}

std::optional<news_versions> peer_news::heard(alive_message const& theirs) {
    if (theirs.evacuations) {
        this->observer.on_evacuations(*theirs.evacuations);
    }
    auto const store = news_desk::patience_with_store(
        this->pace, this->observer.reaches_store(), this->observer.reads_configuration());
    news_versions const mine = this->observer.own_state().versions;
    auto const wanted = this->desk.ask(mine, theirs.versions, store, this->time.now());
    if (wanted && wanted->configuration < theirs.versions.configuration) {
        observe::log_event(
            observe::log_level::info, "configuration_asked_for",
            {{"configuration", mine.configuration},
             {"newer", theirs.versions.configuration},
             {"reaches_store", this->observer.reaches_store()}});
    }
    return wanted;
}

void peer_news::receiving(std::size_t bytes) {
    this->desk.receiving(bytes, this->time.now());
}

std::vector<peer_message> peer_news::newer_than(news_versions const& theirs) const {
    news_versions const mine = this->observer.own_state().versions;
    std::vector<peer_message> newer;
    if (mine.configuration > theirs.configuration) {
        newer.emplace_back(this->observer.own_configuration());
    }
    if (mine.databases > theirs.databases) {
        newer.emplace_back(this->observer.own_directory());
    }
    if (mine.hosts > theirs.hosts) {
        newer.emplace_back(this->observer.own_hosts());
    }
    return newer;
}

void peer_news::take(peer_message message) {
    if (auto* const configuration = std::get_if<configuration_message>(&message)) {
        this->observer.on_configuration(std::move(*configuration));
    } else if (auto* const directory = std::get_if<directory_message>(&message)) {
        this->observer.on_directory(std::move(*directory));
    } else if (auto* const hosts = std::get_if<hosts_message>(&message)) {
        this->observer.on_hosts(std::move(*hosts));
    } else if (auto* const leader = std::get_if<leader_message>(&message)) {
        this->observer.on_leader(*leader);
    }
}

} // namespace persimmonpoint::engine
