#include <persimmonpoint/report/report_writer.hpp>

namespace persimmonpoint::report {

std::unique_ptr<report_writer> make_writer(std::string_view format) {
    if (format == "text") {
        return make_text_writer();
    }
    if (format == "json") {
        return make_json_writer();
    }
    if (format == "html") {
        return make_html_writer();
    }
    return nullptr;
}

} // namespace persimmonpoint::report
