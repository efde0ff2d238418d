#include "platform/boot_settings.h"
#include "platform/call_wire.h"
#include "platform/job_decoder.h"
#include "platform/job_wire.h"
#include "platform/worker_wire.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace gentiancross;
using namespace gentiancross::platform;

namespace {

const std::string configurationText
        = R"({"version":7,"routes":[{"name":"r-1","host":"h.example","path_prefix":"/p/",)"
          R"("kind":"unsafe","timeout_ms":3000,"target_runtime_ms":1200,"priority":2,)"
          R"("service":"s","max_attempts":3,"stretch":2.2,)"
          R"("advice":{"decide_ms":370.0,"each_ms":5.3,"valid_ms":2000},"public":false}],)"
          R"("services":[{"name":"s","health_path":"/health","max_conns":64,"protocol":"h1",)"
          R"("tls":false,"enforces_capacity":false,"spare":false}],)"
          R"("limits":{"max_header_bytes":16384},"tenants":[{"name":"t","api_keys":["k1","k2"],)"
          R"("priority":1,"weight":10,"cap":{"cpu":834733,"mem_mb":1103433,"gpu":0}}]})";

const std::string heartbeatText
        = R"({"service":"s","addr":"10.128.0.9:8080","zone":"hobart","version":"v1","slots":8,)"
          R"("state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},)"
          R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1790000000000})";

const std::string bootText
        = R"({"node":"core-1","ip":"10.1.0.19","zone":"hobart","listen":{"control":"10.1.0.19:8180"},)"
          R"("port_range":[7420,7435],"seeds":["10.1.0.19:8180","10.2.0.17:8180"],"bootstrap":true,)"
          R"("data_dir":"/data/x","advice":"10.200.1.9:8182","fault_tolerance":{"machines":2},)"
          R"("bounds":{"status_s":120,"catch_up_s":4.5,"far_x":3},)"
          R"("something_new":{"a":[1]}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::optional<WorkerHeartbeat> decodeHeartbeat(const std::string &worker, const std::string &body)
{
    std::string defect;
    std::optional<WorkerHeartbeat> heartbeat = platform::decodeHeartbeat(worker, body, defect);
    CHECK(heartbeat.has_value() == defect.empty());
    return heartbeat;
}

bool isDecodable(const std::string &body)
{
    std::string defect;
    const bool isDecoded = decodeConfigDocument(body, defect).has_value();
    CHECK(isDecoded == defect.empty());
    return isDecoded;
}

} // namespace

TEST_CASE("A configuration's fields are decoded")
{
    std::string defect;
    const std::optional<ConfigDocument> document = decodeConfigDocument(configurationText, defect);
    REQUIRE(document.has_value());
    CHECK(document->version == DocumentVersion(7));
    CHECK(document->source == configurationText);
    const QueueConfig &queue = document->queues.at(0);
    CHECK(queue.queue == QueueId("r-1"));
    CHECK(queue.pathPrefix == "/p/");
    CHECK(queue.allowance == Milliseconds(1200));
    CHECK(queue.stretchPermille == 2200);
    CHECK(queue.maxAttempts == 3);
    CHECK(queue.advice->perWorkerMicroseconds == 5300);
    CHECK(queue.advice->validity == Milliseconds(2000));
    CHECK(document->teams.at(0).keys.size() == 2);
    CHECK(document->teams.at(0).cap.cores == MilliCores(834733));
}

TEST_CASE("A configuration with an invalid part is refused")
{
    CHECK(isDecodable(configurationText));
    for (std::size_t size = 0; size < configurationText.size(); size += 7)
        CHECK_FALSE(isDecodable(configurationText.substr(0, size)));
    CHECK_FALSE(isDecodable(replaced(configurationText, "\"version\":7", "\"version\":\"7\"")));
    CHECK_FALSE(isDecodable(replaced(configurationText, "\"version\":7", "\"version\":-7")));
    CHECK_FALSE(isDecodable(replaced(configurationText, "\"version\":7", "\"other\":7")));
    CHECK_FALSE(
            isDecodable(replaced(configurationText, "\"timeout_ms\":3000", "\"timeout_ms\":-1")));
    CHECK_FALSE(isDecodable(replaced(configurationText, "\"service\":\"s\"", "\"service\":[]")));
    CHECK_FALSE(isDecodable(replaced(configurationText, "[\"k1\",\"k2\"]", "[\"k1\",2]")));
    CHECK_FALSE(isDecodable(replaced(configurationText, "\"cpu\":834733", "\"cpu\":1e99")));
    CHECK_FALSE(isDecodable(std::string(100'000, '[')));
}

TEST_CASE("A job is decoded, missing fields keep their defaults, invalid ones give a reason")
{
    std::string defect;
    const std::string body
            = R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":900.5,)"
              R"("data_rack":"r1-3"},{"count":2,"after":[0],"checkpointing":true,"gang":true,)"
              R"("same_rack":true,"max_per_server":1,"long_running":true,"target_ms":30,)"
              R"("fills":true,"may_miss":1,"image":"i","required_label":"a","speculative":true}],)"
              R"("repeats":3,"first_ms":1790000000000,"period_ms":500})";
    const std::optional<JobSpec> job = decodeJob(body, defect);
    REQUIRE(job.has_value());
    CHECK(job->payload == "text");
    CHECK(job->steps.at(0).perTask.cores == MilliCores(500));
    CHECK(job->steps.at(0).dataRack == "r1-3");
    CHECK_FALSE(job->steps.at(0).isGang);
    const StepSpec &second = job->steps.at(1);
    CHECK(second.after == std::vector<std::uint32_t>{0});
    CHECK((second.checkpoints && second.isGang && second.prefersOneRack && second.isLongRunning
           && second.isBestEffort && second.maySpeculate));
    CHECK(second.maxPerWorker == 1);
    CHECK(second.disruptionBudget == 1);
    CHECK(second.requiredLabel == "a");
    CHECK(job->repeats == 3);
    for (const char *bad :
         {"", "7", "{}", R"({"steps":{}})", R"({"steps":[7]})", R"({"steps":[{"count":-1}]})",
          R"({"steps":[{"count":99999999999}]})", R"({"steps":[{"cpu":"much"}]})",
          R"({"steps":[{"after":[-1]}]})", R"({"spec":5,"steps":[]})"}) {
        defect.clear();
        CHECK_FALSE(decodeJob(bad, defect).has_value());
        CHECK_FALSE(defect.empty());
    }
}

TEST_CASE("A task's name survives encoding and decoding")
{
    const JobTaskRef task{{JobId("5c0e7a21d94b36f8"), 2, 1}, 17};
    CHECK(encodeTask(task) == "5c0e7a21d94b36f8.2.1.17");
    CHECK(decodeTask("5c0e7a21d94b36f8.2.1.17") == task);
    for (const char *bad : {"", "a.1.2", "a.1.2.3.4", "a.x.1.1", ".0.0.0", "a.-1.0.0"})
        CHECK_FALSE(decodeTask(bad).has_value());
}

TEST_CASE("A heartbeat is decoded only if it is valid")
{
    const std::optional<WorkerHeartbeat> heartbeat = decodeHeartbeat("i-1", heartbeatText);
    REQUIRE(heartbeat.has_value());
    CHECK(heartbeat->report.incarnation
          == WorkerIncarnation{WorkerId("i-1"), Milliseconds(1790000000000)});
    CHECK(heartbeat->report.rack == RackId("r1-3"));
    CHECK(heartbeat->report.capacity.memory == Mebibytes(32768));
    CHECK(heartbeat->clock == 482113);
    CHECK(heartbeat->sequence == 4);
    CHECK_FALSE(heartbeat->report.isDraining);
    CHECK(decodeHeartbeat("i-1", replaced(heartbeatText, "ready", "draining"))->report.isDraining);
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(heartbeatText, "ready", "dreaming")).has_value());
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(heartbeatText, "\"addr\"", "\"adr\"")).has_value());
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(heartbeatText, "\"seq\":4", "\"seq\":\"4\""))
                        .has_value());
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(heartbeatText, "[\"a\"", "[3")).has_value());
    CHECK_FALSE(decodeHeartbeat("i-1", "\xff\xfe").has_value());
    CHECK_FALSE(decodeHeartbeat("", heartbeatText).has_value());
}

// Guards against an odd heartbeat that registers a worker which can't be called, or whose numbers
// make a true worker look lost.
TEST_CASE("A heartbeat with an odd address, id or number, or without a field, names no worker")
{
    const auto isRefused = [](const std::string &id, const std::string &body) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/instances/" + id + "/heartbeat";
        request.body = body;
        const DecodedCall decoded = decodeControlCall(request);
        const auto *const refused = std::get_if<CallRefused>(&decoded.call);
        return refused != nullptr && refused->refusal == Refusal::Malformed
                && !refused->reason.empty();
    };
    CHECK_FALSE(isRefused("i-1", heartbeatText));
    const std::vector<std::pair<std::string, std::vector<std::string>>> oddValues
            = {{R"("addr":"10.128.0.9:8080")",
                {R"("10.128.0.9:99999")", R"("10.128.0.9:-1")", R"("10.128.0.9:0")",
                 R"("10.128.0.9:12345678901234567890")", R"("10.128.0.9")", R"("10.128.0.9:")",
                 R"("worker:80")", R"("10.128.0.999:80")", R"("10.128.0.9: 80")",
                 R"("u@10.128.0.9:80")", R"("10.128.0.9\u0000:80")", R"("10.128.0.9:80/x")", "7",
                 "{}"}},
               {R"("service":"s")", {"7", "[]", R"("")"}},
               {R"("zone":"hobart")", {"7", "{}"}},
               {R"("state":"ready")", {"7", R"("dreaming")"}},
               {R"("labels":["a","r1-3"])", {R"([["a"]])", R"({"a":"b"})", R"("a")"}},
               {R"("clock_ms":482113)",
                {"1e308", "1e400", "18446744073709551616", "9007199254740991", "-1", "0.5",
                 "12345678901234567890", R"("1")", "null"}},
               {R"("seq":4)",
                {"1e308", "1e400", "18446744073709551616", "9007199254740991", "-1", "0.5", "[]"}},
               {R"("born":1790000000000)",
                {"1e308", "1e400", "18446744073709551616", "9007199254740991", "-1", "0.5", "[]"}},
               {R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":1})",
                {"7", R"({"cpu":1e308})", R"({"cpu":-1})", R"({"cpu":9007199254740991})",
                 R"({"mem_mb":9007199254740991})", R"({"gpu":9007199254740991})"}}};
    for (const auto &[field, values] : oddValues) {
        const std::string name = field.substr(0, field.find(':') + 1);
        for (const std::string &value : values) {
            INFO(name << value);
            CHECK(isRefused("i-1", replaced(heartbeatText, field, name + value)));
        }
        INFO("without " << name);
        // A worker may have no labels.
        const std::string without = replaced(heartbeatText, field, "\"other\":0");
        CHECK(isRefused("i-1", without) == (name != "\"labels\":"));
        CHECK(isRefused("i-1", replaced(heartbeatText, field, name + std::string(200'000, '['))));
    }
    CHECK(isRefused(std::string(5000, 'i'), heartbeatText));
    CHECK(isRefused("i-1\r\nHost: other", heartbeatText));
}

// Guards against a message of a few megabytes that takes a hundred times its size when decoded.
TEST_CASE("A heartbeat or an answer that is too large is not decoded")
{
    std::string numbers;
    for (int index = 0; index < 1'000'000; ++index)
        numbers += "0,";
    const std::string large = ",\"x\":[" + numbers + "0]}";
    CHECK(decodeHeartbeat("i-1", heartbeatText).has_value());
    CHECK_FALSE(decodeHeartbeat("i-1", heartbeatText.substr(0, heartbeatText.size() - 1) + large)
                        .has_value());
    const std::string lists = R"({"clock_ms":1,"born":17,"running":[],"ended":[])";
    const auto verdictOf = [](const std::string &body) {
        return decodeAnswer(CallId(1), AnswerFormat::RunLists, 200, body).verdict;
    };
    CHECK(verdictOf(lists + "}") == WorkerVerdict::Done);
    CHECK(verdictOf(lists + large) == WorkerVerdict::NoAnswer);
}

// Guards against a list that is nested too deeply or has numbers that a count can't have.
TEST_CASE("An answer with odd lists counts as no answer")
{
    const std::string row = R"([58,"5c.0.1.9",1,"done",""])";
    const auto verdictOf = [](const std::string &running, const std::string &ended) {
        return decodeAnswer(CallId(1), AnswerFormat::RunLists, 200,
                            R"({"clock_ms":1,"running":[)" + running + R"(],"ended":[)" + ended
                                    + "]}")
                .verdict;
    };
    CHECK(verdictOf(R"(["5c.0.1.17",2,"0bb8",1e308,1e308])", row) == WorkerVerdict::Done);
    for (const char *number : {"1e308", "1e400", "18446744073709551616", "18446744073709551615",
                               "-1", "0.5", "[]", "12345678901234567890"}) {
        INFO(number);
        CHECK(verdictOf("[\"5c.0.1.17\"," + std::string(number) + "]", "")
              == WorkerVerdict::NoAnswer);
        CHECK(verdictOf("", replaced(row, "58", number)) == WorkerVerdict::NoAnswer);
        CHECK(verdictOf("", replaced(row, ",1,", "," + std::string(number) + ","))
              == WorkerVerdict::NoAnswer);
    }
    for (const std::size_t depth : {std::size_t(900), std::size_t(5000), std::size_t(200'000)}) {
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        CHECK(verdictOf(nested, "") == WorkerVerdict::NoAnswer);
        CHECK(verdictOf("", nested) == WorkerVerdict::NoAnswer);
        CHECK(decodeAnswer(CallId(1), AnswerFormat::Acknowledgement, 409, nested).verdict
              == WorkerVerdict::Refused);
    }
}

TEST_CASE("Orders are encoded in the platform's format")
{
    CallWorker call;
    call.fence = Fence(7);
    call.revision = FenceRevision(3);
    call.leaseUntil = 486000;
    const JobTaskRef task{{JobId("5c0e7a21d94b36f8"), 0, 1}, 17};
    call.order = OrderStart{task, RunNumber(2), std::make_shared<const std::string>("text"),
                            "00000bb87a21d94b", ""};
    CHECK(encodeOrder(call).path == "/run-start");
    CHECK(encodeOrder(call).body
          == R"({"checkpoint":"00000bb87a21d94b","fence":30064771075,"run":2,"spec":"text",)"
             R"("task":"5c0e7a21d94b36f8.0.1.17","until_ms":486000})");
    call.order = OrderStop{task, RunNumber(2)};
    CHECK(encodeOrder(call).body
          == R"({"fence":30064771075,"run":2,"task":"5c0e7a21d94b36f8.0.1.17"})");
    call.order = OrderLeaseRenewal{CompletionNumber(57), Milliseconds(1000)};
    CHECK(encodeOrder(call).path == "/hold");
    CHECK(encodeOrder(call).body
          == R"({"fence":30064771075,"last_seen":57,"until_ms":486000,"wait_ms":1000})");
}

TEST_CASE("A worker's answers are decoded, and a truncated one counts as no answer")
{
    const WorkerAnswer lists = decodeAnswer(
            CallId(3), AnswerFormat::RunLists, 200,
            R"({"clock_ms":482113,"born":17,"running":[["5c.0.1.17",2,"0bb8",41,12]],)"
            R"("ended":[[58,"5c.0.1.9",1,"done",""]]})");
    CHECK(lists.verdict == WorkerVerdict::Done);
    CHECK(lists.clock == 482113);
    CHECK(lists.born == Milliseconds(17));
    REQUIRE(lists.running.size() == 1);
    CHECK(lists.running[0].percent == 41);
    CHECK(lists.running[0].tailMsOrMillicores == 12);
    REQUIRE(lists.ended.size() == 1);
    CHECK(lists.ended[0].ending == RunEnding::Done);
    const auto verdictOf = [](int status, const std::string &body) {
        return decodeAnswer(CallId(1), AnswerFormat::Acknowledgement, status, body).verdict;
    };
    CHECK(verdictOf(200, "cut {") == WorkerVerdict::NoAnswer);
    CHECK(verdictOf(421, "") == WorkerVerdict::OtherIncarnation);
    CHECK(verdictOf(409, R"({"reason":"fence"})") == WorkerVerdict::Fenced);
    CHECK(verdictOf(409, R"({"reason":"old"})") == WorkerVerdict::Superseded);
    CHECK(verdictOf(409, R"({"reason":"late"})") == WorkerVerdict::Late);
    CHECK(verdictOf(409, R"({"reason":"room"})") == WorkerVerdict::NoFreeCapacity);
    CHECK(verdictOf(409, R"({"reason":"ticket"})") == WorkerVerdict::NoTicket);
    CHECK(verdictOf(503, "") == WorkerVerdict::Refused);
}

// Guards against a task in two places: a worker that fails after it has executed a start would get
// its task started elsewhere at once.
TEST_CASE("Only the statuses that the platform names say that an order was not executed")
{
    const auto verdictOf = [](int status) {
        return decodeAnswer(CallId(1), AnswerFormat::Acknowledgement, status, "{}").verdict;
    };
    for (const int status : {400, 429, 503})
        CHECK(verdictOf(status) == WorkerVerdict::Refused);
    for (const int status : {301, 404, 408, 500, 502, 504})
        CHECK(verdictOf(status) == WorkerVerdict::NoAnswer);
}

TEST_CASE("The adviser's answer is decoded, and an invalid answer differs from an empty one")
{
    const AdviceResponse response = decodeAdviceResponse(
            AdviceRequestId(1), 200, R"({"good":[["i-1","c81e"]],"valid_ms":3000})");
    CHECK(response.answered);
    REQUIRE(response.good.size() == 1);
    CHECK(response.good[0].ticket == "c81e");
    CHECK(response.validity == Milliseconds(3000));
    CHECK(decodeAdviceResponse(AdviceRequestId(1), 200, R"({"good":[],"valid_ms":3000})").answered);
    CHECK_FALSE(decodeAdviceResponse(AdviceRequestId(1), 429, "").answered);
    CHECK_FALSE(decodeAdviceResponse(AdviceRequestId(1), 200, R"({"valid_ms":3000})").answered);
    CHECK(encodeAdviceRequest({AdviceRequestId(1), {JobId("5c"), 0, 1}, {WorkerId("i-1")}, {}})
          == R"({"step":"5c.0.1","workers":["i-1"]})");
}

TEST_CASE("Callers' calls are decoded with key, host, path and time-out")
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/p/5c0e7a21d94b36f8";
    request.headers
            = {{"host", "h.example:80"}, {"authorization", "Token k1"}, {"deadline-ms", "500"}};
    const DecodedCall status = decodeCallerCall(request);
    const auto &call = std::get<JobCall>(std::get<CellCall>(status.call));
    CHECK(call.verb == JobVerb::Status);
    CHECK(call.host == "h.example");
    CHECK(call.key == ApiKey("k1"));
    CHECK(status.timeout < Milliseconds(500));
    request.method = "POST";
    request.body = "{";
    const DecodedCall submit = decodeCallerCall(request);
    // The body's defect is reported only after the key has been checked.
    CHECK_FALSE(std::get<JobCall>(std::get<CellCall>(submit.call)).spec.has_value());
    request.method = "PUT";
    CHECK(std::holds_alternative<CallRefused>(decodeCallerCall(request).call));
    request.method = "POST";
    request.path = "/instances/i-1/leave";
    CHECK(std::holds_alternative<WorkerLeave>(std::get<CellCall>(decodeControlCall(request).call)));
}

TEST_CASE("Refusals have the platform's status codes and say when to retry")
{
    const auto statusOf = [](Refusal refusal) {
        return encodeAnswer(CallRefused{refusal, "why", {}}).status;
    };
    CHECK(statusOf(Refusal::NoSuchQueue) == 404);
    CHECK(statusOf(Refusal::UnknownKey) == 401);
    CHECK(statusOf(Refusal::Malformed) == 400);
    CHECK(statusOf(Refusal::NoSuchJob) == 410);
    CHECK(statusOf(Refusal::Unavailable) == 503);
    CHECK(statusOf(Refusal::Unknown) == 504);
    const HttpResponse busy
            = encodeAnswer(CallRefused{Refusal::Unavailable, "", Milliseconds(1200)});
    CHECK(busy.headers.at("Retry-After") == "2");
    CHECK(*encodeAnswer(QueueLengthReport{12}).body == R"({"waiting":12})");
    CHECK(*encodeAnswer(JobStateReport{JobState::Running}).body == R"({"state":"running"})");
}

TEST_CASE("The settings file is decoded, unknown fields are ignored, invalid files refused")
{
    const absl::StatusOr<BootSettings> boot = decodeBootSettings(bootText);
    REQUIRE(boot.ok());
    CHECK(boot->controlAddress == "10.1.0.19:8180");
    CHECK(boot->firstPort == 7420);
    CHECK(boot->seeds.at(1).ip == "10.2.0.17");
    CHECK(boot->isFirstStart);
    CHECK(boot->toleratedLosses == 2);
    CHECK(boot->jobStatusRetention == Milliseconds(120'000));
    CHECK(boot->catchUpTime == Milliseconds(4500));
    CHECK(boot->adviserAddress == "10.200.1.9:8182");
    CHECK_FALSE(decodeBootSettings("").ok());
    CHECK_FALSE(decodeBootSettings("[]").ok());
    CHECK_FALSE(decodeBootSettings(replaced(bootText, "[7420,7435]", "[7420]")).ok());
    CHECK_FALSE(decodeBootSettings(replaced(bootText, "[7420,7435]", "[7420,743500]")).ok());
    CHECK_FALSE(decodeBootSettings(replaced(bootText, "10.2.0.17:8180", "10.2.0.17")).ok());
    CHECK_FALSE(decodeBootSettings(replaced(bootText, "\"node\"", "\"nod\"")).ok());
}

// Guards against runs that count as lost because their row in the list could not be decoded.
TEST_CASE("A worker's answer with an invalid list counts as no answer")
{
    const auto verdictOf = [](const std::string &body) {
        const WorkerAnswer answer = decodeAnswer(CallId(1), AnswerFormat::RunLists, 200, body);
        CHECK(answer.error.empty() == (answer.verdict == WorkerVerdict::Done));
        return answer.verdict;
    };
    CHECK(verdictOf(R"({"clock_ms":1,"running":[],"ended":[]})") == WorkerVerdict::Done);
    for (const char *body :
         {R"({"clock_ms":1})", R"({"clock_ms":1,"running":[]})",
          R"({"clock_ms":1,"running":{},"ended":[]})",
          R"({"clock_ms":1,"running":[["j.0.0.0"]],"ended":[]})",
          R"({"clock_ms":1,"running":[["j.0.0.0",-1,"",0]],"ended":[]})",
          R"({"clock_ms":1,"running":[["j.0.0",1,"",0]],"ended":[]})",
          R"({"clock_ms":1,"running":[],"ended":[[1,"j.0.0.0",1]]})",
          R"({"clock_ms":1,"running":[],"ended":[[1,"j.0.0.0",1,"vanished",""]]})"})
        CHECK(verdictOf(body) == WorkerVerdict::NoAnswer);
}

// Guards against an overflow that answers a caller with an extremely late deadline at once.
TEST_CASE("The largest possible deadline does not expire at once")
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/p/1";
    request.headers["deadline-ms"] = "9223372036854775807";
    const DecodedCall decoded = decodeCallerCall(request);
    CHECK(decoded.timeout > Milliseconds(0));
    CHECK(decoded.timeout <= Milliseconds(3'600'000));
}

// Guards against values whose sums and products overflow.
TEST_CASE("Implausible times and clocks are refused")
{
    std::string defect;
    CHECK_FALSE(
            decodeJob(R"({"steps":[{"count":1,"est_ms":9007199254740992}]})", defect).has_value());
    CHECK_FALSE(isDecodable(replaced(configurationText, "\"stretch\":2.2", "\"stretch\":1e15")));
    CHECK_FALSE(isDecodable(
            replaced(configurationText, "\"decide_ms\":370.0", "\"decide_ms\":9007199254740992")));
    const WorkerAnswer answer = decodeAnswer(CallId(1), AnswerFormat::Acknowledgement, 200,
                                             R"({"clock_ms":9223372036854775807})");
    CHECK_FALSE(answer.clock.has_value());
    const AdviceResponse response = decodeAdviceResponse(
            AdviceRequestId(1), 200, R"({"good":[["w","t"]],"valid_ms":1e300})");
    CHECK(response.validity <= Milliseconds(3'600'000));
    CHECK_FALSE(decodeBootSettings(replaced(bootText, "[7420,7435]", "[72956,7435]")).ok());
}
