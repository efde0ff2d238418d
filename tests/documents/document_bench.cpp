/** Measures the processor time of each step that a new configuration takes on a keeper. */

#include "control/jobs/config_rules.h"
#include "control/jobs/queue_index.h"
#include "drivers/journal_file.h"
#include "drivers/text_codec.h"
#include "platform/document_decoder.h"
#include "platform/job_wire.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <functional>
#include <limits>

using namespace gentiancross;

namespace {

constexpr int Rounds = 5;
constexpr int LookUps = 1000;
constexpr double MillisecondsPerSecond = 1000;

std::string makeBody(int version, int routes)
{
    std::string body = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int number = 0; number < routes; ++number) {
        const std::string digits = std::to_string(1'000'000 + number);
        absl::StrAppend(
                &body, number == 0 ? "" : ",", R"({"name":"r-)", digits, R"(","host":"nony)",
                number % 50, R"(.example","path_prefix":"/p)", digits,
                R"(/","kind":"unsafe","timeout_ms":)", 3000 + number % 7,
                R"(,"target_runtime_ms":1200,"priority":2,"service":"huvo11a","max_attempts":3,)",
                R"("stretch":2.2,"advice":{"decide_ms":370.0,"each_ms":5.3,"valid_ms":2000},)",
                R"("public":false})");
    }
    return body
            + R"(],"services":[{"name":"huvo11a","enforces_capacity":false}],"limits":{},)"
              R"("tenants":[{"name":"t","api_keys":["k"]}]})";
}

double processorMilliseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9)
            * MillisecondsPerSecond;
}

/** Prints the least processor time of some rounds. */
void measure(const char *step, const std::function<bool()> &run)
{
    double least = std::numeric_limits<double>::max();
    bool isRight = true;
    for (int round = 0; round < Rounds; ++round) {
        const double begin = processorMilliseconds();
        isRight = run() && isRight;
        least = std::min(least, processorMilliseconds() - begin);
    }
    std::printf("%-58s %8.2f ms%s\n", step, least, isRight ? "" : "  FAILED");
}

void measureSize(int routes)
{
    const std::string body = makeBody(1, routes);
    std::printf("%d routes, %zu bytes\n", routes, body.size());
    std::string defect;
    const ConfigDocument document = *platform::decodeConfigDocument(body, defect);
    const SharedDocument shared(document);
    const JournalRecord record
            = LogEntry{LogIndex(1), Term(1), ProposalId(),
                       ReplicatedCommand(JobChanges{{DocumentAccepted{shared}}})};
    const std::string text = codec::encode(record);
    measure("decode the operator's text, whole",
            [&] { return platform::decodeConfigDocument(body, defect).has_value(); });
    platform::DocumentDecoder documents;
    documents.decode(body, defect);
    int version = 2;
    measure("decode the operator's text, a route or two added", [&] {
        const std::string next = makeBody(version, routes + version);
        ++version;
        const double begin = processorMilliseconds();
        const bool isDecoded = documents.decode(next, defect).has_value();
        std::printf("  of this without making the text: %.2f ms\n",
                    processorMilliseconds() - begin);
        return isDecoded;
    });
    measure("validate", [&] { return !configrules::findDefect(document).has_value(); });
    measure("copy", [&] {
        const ConfigDocument copy = document;
        return copy.queues.size() == document.queues.size();
    });
    measure("encode the document", [&] { return codec::encode(document).size() < text.size(); });
    measure("encode a record or message, document encoded before",
            [&] { return codec::encode(record) == text; });
    measure("the same with checksum for the journal",
            [&] { return JournalFile::encodeRecord(record).size() > text.size(); });
    measure("decode a record or message by a tree", [&] {
        Json::Value json;
        JournalRecord decoded;
        return codec::parseJson(text, json) && codec::decode(json, decoded);
    });
    measure("decode a record or message from text", [&] {
        JournalRecord decoded;
        return codec::decodeText(text, decoded);
    });
    QueueIndex index;
    measure("index the queues", [&] {
        index.update({});
        index.update(shared);
        return true;
    });
    const QueueConfig &last = document.queues.back();
    measure("1,000 look-ups by a look at each queue", [&] {
        bool isFound = true;
        for (int look = 0; look < LookUps; ++look)
            isFound &= configrules::findQueue(document, last.host, last.pathPrefix).has_value();
        return isFound;
    });
    measure("1,000 look-ups by the index", [&] {
        bool isFound = true;
        for (int look = 0; look < LookUps; ++look)
            isFound &= index.find(last.host, last.pathPrefix).has_value();
        return isFound;
    });
}

} // namespace

int main()
{
    for (const int routes : {1000, 11'000, 15'500})
        measureSize(routes);
    return 0;
}
