#include "app/cli_support.h"

#include "core/json_writer.h"
#include "core/request_trace.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ostream>

namespace pw::cli {
namespace {

    void printLine(std::ostream& out, const TraceLine& line, const std::string& requestId)
    {
        out << line.event.time << ' ' << line.process << (line.isProcessState ? "   (" : " ") << line.event.name;
        for (const auto& [name, value] : line.event.fields) {
            if (name != "request" || value != requestId) {
                out << ' ' << name << '=' << value;
            }
        }
        out << (line.isProcessState ? ")\n" : "\n");
    }

    void addLine(JsonWriter& json, const TraceLine& line)
    {
        json.object().field("time", line.event.time).field("process", line.process).field("belief", line.isProcessState);
        json.field("number", line.event.number).field("event", line.event.name).object("fields");
        std::ranges::for_each(line.event.fields, [&json](const auto& it) { json.field(it.first, it.second); });
        json.endObject().endObject();
    }

    void printJson(const CliContext& context, const std::vector<TraceLine>& story)
    {
        JsonWriter json;
        json.object().field("request", context.options.argument).array("lines");
        std::ranges::for_each(story, [&json](const TraceLine& it) { addLine(json, it); });
        json.endArray().endObject();
        context.out << json.text() << '\n';
    }

} // namespace

ExitCode explainRequest(const CliContext& context)
{
    RequestTrace story(context.options.argument);
    for (const auto& path : context.options.files) {
        std::ifstream in(path);
        if (!in) {
            context.err << path << ": cannot be read\n";
            return ExitCode::Invalid;
        }
        const auto process = std::filesystem::path(path).stem().string();
        for (std::string line; std::getline(in, line);) {
            story.read(process, line);
        }
    }
    const auto lines = story.lines();
    if (context.options.json) {
        printJson(context, lines);
    } else {
        std::ranges::for_each(lines, [&](const TraceLine& it) { printLine(context.out, it, context.options.argument); });
    }
    if (story.skippedLines() > 0) {
        context.err << story.skippedLines() << " lines are not events and were skipped\n";
    }
    if (lines.empty()) {
        context.err << "no line names the request " << context.options.argument << '\n';
        return ExitCode::Invalid;
    }
    return ExitCode::Done;
}

} // namespace pw::cli
