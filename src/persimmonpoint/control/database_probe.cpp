#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <persimmonpoint/control/database_probe.hpp>
#include <utility>

namespace persimmonpoint::control {

struct database_probe::implementation final
    : answer_observer,
      std::enable_shared_from_this<database_probe::implementation> {
    struct question {
        std::vector<upstream_query> batch;
        handler done;
    };

    implementation(boost::asio::io_context& loop, factory make, duration timeout)
        : make(std::move(make)), timeout(timeout), timer(loop) {}

    void start_next() {
        if (this->busy || this->questions.empty() || this->closed) {
            return;
        }
        this->busy = true;
        this->timer.expires_after(this->timeout);
        this->timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (!failure) {
                    self->fail_all("no answer in time");
                }
            });
        if (this->link) {
            this->send();
            return;
        }
        this->link = this->make();
        this->link->connect(
            [self = this->shared_from_this(), link = this->link](result<void> outcome) {
                if (self->link != link) {
                    return;
                }
                if (!outcome) {
                    self->fail_all(outcome.error().message);
                    return;
                }
                self->send();
            });
    }

    void send() {
        this->rows.clear();
        this->failed = false;
        this->link->when_lost(nullptr);
        this->link->run(this->questions.front().batch, this->shared_from_this());
    }

    void on_parameters(std::size_t, std::span<std::uint32_t const>) override {}
    void on_columns(std::size_t, std::span<postgres::column const>) override {}
    void on_complete(std::size_t, std::string_view) override {}

    void on_row(std::size_t, std::span<postgres::field const> fields) override {
        probe_row row;
        for (postgres::field const& each : fields) {
            row.push_back(each ? std::optional<std::string>(*each) : std::nullopt);
        }
        this->rows.push_back(std::move(row));
    }

    void on_error(std::size_t, postgres::database_error const& failure) override {
        this->failed = true;
        this->message = failure.message;
    }

    void on_finished(postgres::transaction_status) override {
        this->timer.cancel();
        this->busy = false;
        std::weak_ptr<implementation> const weak = this->weak_from_this();
        this->link->when_lost([weak] {
            if (auto const self = weak.lock()) {
                self->link.reset();
            }
        });
        handler const done = std::move(this->questions.front().done);
        this->questions.pop_front();
        if (this->failed) {
            done(error{"08006", this->message});
        } else {
            done(std::move(this->rows));
        }
        this->start_next();
    }

    void on_lost(std::string_view reason) override {
        this->fail_all(std::string(reason));
    }

    /// One database, one connection: what fails one question fails those behind it.
    void fail_all(std::string const& reason) {
        this->timer.cancel();
        this->busy = false;
        if (auto const broken = std::exchange(this->link, nullptr)) {
            broken->close();
        }
        auto const failed_questions = std::exchange(this->questions, {});
        for (question const& each : failed_questions) {
            each.done(error{"08006", reason, effect::unknown});
        }
        this->start_next();
    }

    factory make;
    duration timeout;
    boost::asio::steady_timer timer;
    std::shared_ptr<database_connection> link;
    std::deque<question> questions;
    probe_rows rows;
    std::string message;
    bool busy = false;
    bool failed = false;
    bool closed = false;
};

database_probe::database_probe(
    boost::asio::io_context& loop, factory make, duration timeout)
    : impl(std::make_shared<implementation>(loop, std::move(make), timeout)) {}

database_probe::~database_probe() {
    this->close();
}

void database_probe::ask(std::vector<upstream_query> question, handler done) {
    this->impl->questions.push_back(
        implementation::question{std::move(question), std::move(done)});
    this->impl->start_next();
}

void database_probe::close() {
    this->impl->closed = true;
    this->impl->timer.cancel();
    if (auto const link = std::exchange(this->impl->link, nullptr)) {
        link->close();
    }
    this->impl->questions.clear();
}

} // namespace persimmonpoint::control
