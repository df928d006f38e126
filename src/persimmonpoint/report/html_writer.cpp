#include <algorithm>
#include <ostream>
#include <persimmonpoint/report/report_format.hpp>
#include <persimmonpoint/report/report_writer.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace persimmonpoint::report {

namespace {

/// Of a plot, in the units of its drawing.
constexpr double plot_width = 800;
constexpr double plot_height = 120;
/// Seconds beyond these share a column, which shows their sum.
constexpr std::size_t most_columns = 400;

constexpr std::string_view style = R"(<style>
body { font: 15px/1.5 sans-serif; max-width: 52em; margin: 2em auto; padding: 0 1em; }
pre { background: #f4f4f2; padding: 1em; overflow-x: auto; }
svg { width: 100%; height: 9em; background: #f4f4f2; }
.good { fill: #9db8a0; } .bad { fill: #b3422f; }
</style>
)";

std::string escaped(std::string_view text) {
    std::string out;
    for (char const each : text) {
        switch (each) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        default:
            out += each;
        }
    }
    return out;
}

/// The record cut into equal stretches of time.
std::vector<request_tally>
columns_of(std::map<std::chrono::seconds, request_tally> const& by_second) {
    if (by_second.empty()) {
        return {};
    }
    auto const first = by_second.begin()->first.count();
    auto const length =
        static_cast<std::uint64_t>(by_second.rbegin()->first.count() - first) + 1;
    std::uint64_t const width = (length + most_columns - 1) / most_columns;
    std::vector<request_tally> columns((length + width - 1) / width);
    for (auto const& [when, tally] : by_second) {
        request_tally& column =
            columns[static_cast<std::uint64_t>(when.count() - first) / width];
        column.good += tally.good;
        column.bad += tally.bad;
    }
    return columns;
}

class html_writer final : public report_writer {
public:
    void write(service_level_report const& report, std::ostream& out) const override {
        out << "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n"
            << "<title>Service levels</title>\n"
            << style << "<h1>Service levels</h1>\n";
        this->write_text(report, out);
        for (objective_finding const& each : report.objectives) {
            this->write_plot(each, out);
        }
        out << "</html>\n";
    }

private:
    void write_text(service_level_report const& report, std::ostream& out) const {
        std::ostringstream text;
        make_text_writer()->write(report, text);
        out << "<pre>" << escaped(text.str()) << "</pre>\n";
    }

    /// Good requests stand on the axis, bad ones above them.
    void write_plot(objective_finding const& objective, std::ostream& out) const {
        std::vector<request_tally> const columns = columns_of(objective.by_second);
        if (columns.empty()) {
            return;
        }
        out << "<h2>" << escaped(objective.name) << "</h2>\n<p>"
            << time_text(objective.by_second.begin()->first) << " to "
            << time_text(objective.by_second.rbegin()->first)
            << " UTC; good requests below, bad ones above.</p>\n<svg viewBox=\"0 0 "
            << plot_width << ' ' << plot_height << "\" preserveAspectRatio=\"none\">\n";
        std::uint64_t const most =
            std::ranges::max_element(columns, {}, &request_tally::total)->total();
        double const unit = plot_height / static_cast<double>(most);
        double const width = plot_width / static_cast<double>(columns.size());
        for (std::size_t i = 0; i < columns.size(); ++i) {
            double const left = width * static_cast<double>(i);
            double const good = unit * static_cast<double>(columns[i].good);
            double const bad = unit * static_cast<double>(columns[i].bad);
            this->write_bar("good", left, plot_height - good, width, good, out);
            this->write_bar("bad", left, plot_height - good - bad, width, bad, out);
        }
        out << "</svg>\n";
    }

    void write_bar(
        std::string_view kind,
        double left,
        double top,
        double width,
        double height,
        std::ostream& out) const {
        if (height <= 0) {
            return;
        }
        out << "<rect class=\"" << kind << "\" x=\"" << number(left, 2) << "\" y=\""
            << number(top, 2) << "\" width=\"" << number(width, 2) << "\" height=\""
            << number(height, 2) << "\"/>\n";
    }
};

} // namespace

std::unique_ptr<report_writer> make_html_writer() {
    return std::make_unique<html_writer>();
}

} // namespace persimmonpoint::report
