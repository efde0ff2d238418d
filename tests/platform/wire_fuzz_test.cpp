#include "platform/boot_settings.h"
#include "platform/call_wire.h"
#include "platform/worker_wire.h"
#include "tests/control/jobs/solo_cell.h"
#include "tests/servers/message_mutator.h"

#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include <sys/resource.h>

#include <set>

using namespace gentiancross;
using namespace gentiancross::platform;
using namespace gentiancross::tests;

namespace {

constexpr int HttpOk = 200;

const std::string bootText
        = R"({"node":"core-1","ip":"10.1.0.19","zone":"hobart","listen":{"control":"10.1.0.19:8180",)"
          R"("front":"10.1.0.19:80","ready":"10.1.0.19:81"},"port_range":[7420,7435],)"
          R"("seeds":["10.1.0.19:8180","10.2.0.17:8180"],"bootstrap":true,"data_dir":"/data/x",)"
          R"("advice":"10.200.1.9:8182","fault_tolerance":{"machines":2},"bounds":{"status_s":120}})";

std::string configurationText(std::uint64_t version)
{
    return absl::StrCat(
            R"({"version":)", version,
            R"(,"routes":[{"name":"r-1","host":"h","path_prefix":"/p/","timeout_ms":3000,)",
            R"("target_runtime_ms":1200,"priority":2,"service":"s","max_attempts":3,"stretch":2.2,)",
            R"("public":true},{"name":"r-2","host":"h","path_prefix":"/a/","timeout_ms":3000,)",
            R"("service":"s","advice":{"decide_ms":20.0,"each_ms":0.3,"valid_ms":2000},)",
            R"("public":true}],"services":[{"name":"s","enforces_capacity":true}],)",
            R"("tenants":[{"name":"t","api_keys":["k1","k2"],"weight":10,)",
            R"("cap":{"cpu":834733,"mem_mb":1103433,"gpu":0}}]})");
}

std::string heartbeatText(std::uint64_t worker, std::uint64_t sequence, Instant now)
{
    return absl::StrCat(R"({"service":"s","addr":"10.0.1.)", worker,
                        R"(:1","zone":"hobart","state":"ready",)",
                        R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},)",
                        R"("labels":["a","r1-3"],"clock_ms":)", now.value(), R"(,"seq":)", sequence,
                        R"(,"born":17})");
}

const std::string jobText
        = R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":900.5,)"
          R"("data_rack":"r1-3"},{"count":2,"after":[0],"checkpointing":true,"gang":true,)"
          R"("same_rack":true},{"count":1,"after":[0,1],"max_per_server":1}]})";

const std::string longRunningJobText
        = R"({"spec":"text","steps":[{"count":2,"cpu":100,"long_running":true,"target_ms":30},)"
          R"({"count":2,"cpu":100,"fills":true,"may_miss":1,"image":"i","required_label":"a"}],)"
          R"("repeats":3,"first_ms":0,"period_ms":500})";

/** A cell that receives valid and mutated messages from callers, workers, operators and the
 * adviser. */
class FuzzedCell
{
public:
    explicit FuzzedCell(std::uint64_t seed)
        : m_mutator(seed)
    {
        m_isMutating = false;
        putConfiguration();
        for (std::uint64_t worker = 1; worker <= Workers; ++worker)
            sendHeartbeat(worker);
        callFromClient();
        m_isMutating = true;
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
            takeStep();
    }

    [[nodiscard]] const SoloCell &cell() const { return m_cell; }
    [[nodiscard]] int rejected() const { return m_rejected; }

private:
    static constexpr std::uint64_t Workers = 5;

    void takeStep()
    {
        constexpr std::uint64_t Kinds = 8;
        switch (m_mutator.below(Kinds)) {
        case 0:
            sendHeartbeat(m_mutator.below(Workers) + 1);
            break;
        case 1:
            callFromClient();
            break;
        case 2:
            putConfiguration();
            break;
        case 3:
            answerAdviceRequest();
            break;
        case 4:
            m_cell.advance(150);
            break;
        default:
            answerOrder();
        }
    }

    std::string maybeMutated(const std::string &valid)
    {
        return m_isMutating && m_mutator.below(2) == 0 ? m_mutator.mutate(valid) : valid;
    }

    void deliver(const DecodedCall &decoded)
    {
        if (const auto *call = std::get_if<CellCall>(&decoded.call)) {
            m_cell.call(*call);
            return;
        }
        // The sender of a refused message gets the reason.
        const auto &refused = std::get<CallRefused>(decoded.call);
        CHECK_FALSE(refused.reason.empty());
        encodeAnswer(refused);
        ++m_rejected;
    }

    void sendHeartbeat(std::uint64_t worker)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = absl::StrCat("/instances/w", worker, "/",
                                    m_mutator.below(30) == 0 ? "leave" : "heartbeat");
        request.body = maybeMutated(heartbeatText(worker, ++m_sequence, m_cell.now()));
        deliver(decodeControlCall(request));
    }

    void putConfiguration()
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/config/put";
        request.body = maybeMutated(configurationText(++m_version));
        deliver(decodeControlCall(request));
    }

    void callFromClient()
    {
        const std::string digits = std::to_string(++m_job);
        HttpRequest request;
        constexpr std::uint64_t Methods = 8;
        const std::uint64_t method = m_mutator.below(Methods);
        request.method = method == 0 ? "DELETE" : method == 1 ? "GET" : "POST";
        request.path = absl::StrCat(m_mutator.below(3) == 0 ? "/a/" : "/p/",
                                    std::string(16 - digits.size(), '0'), digits);
        request.headers["host"] = maybeMutated("h:80");
        request.headers["authorization"] = maybeMutated("Token k1");
        request.headers["deadline-ms"] = maybeMutated("3000");
        request.body = maybeMutated(m_mutator.below(3) == 0 ? longRunningJobText : jobText);
        deliver(decodeCallerCall(request));
    }

    void answerAdviceRequest()
    {
        if (m_cell.adviceRequests().empty())
            return;
        const AdviceRequest request = m_cell.adviceRequests().front();
        m_cell.adviceRequests().erase(m_cell.adviceRequests().begin());
        std::string good;
        for (const WorkerId &worker : request.workers)
            absl::StrAppend(&good, good.empty() ? "" : ",", "[\"", worker.value(), "\",\"t\"]");
        const std::string body = absl::StrCat(R"({"good":[)", good, R"(],"valid_ms":2000.5})");
        m_cell.feed(decodeAdviceResponse(request.id, HttpOk, maybeMutated(body)));
    }

    /** A worker's lists: all runs that it was told to start, some of them as ended. */
    std::string runListsText(const WorkerIncarnation &incarnation)
    {
        std::string running;
        std::string ended;
        for (const auto &[task, run] : m_started[incarnation]) {
            const std::string row = absl::StrCat("\"", task, "\",", run);
            if (m_mutator.below(4) != 0) {
                absl::StrAppend(&running, running.empty() ? "" : ",", "[", row, ",\"c\",41,7]");
                continue;
            }
            const char *const how = m_mutator.below(3) == 0 ? "failed" : "done";
            absl::StrAppend(&ended, ended.empty() ? "" : ",", "[", ++m_end, ",", row, ",\"", how,
                            "\",\"c\"]");
        }
        return absl::StrCat(R"({"clock_ms":)", m_cell.now().value(), R"(,"born":17,"running":[)",
                            running, R"(],"ended":[)", ended, "]}");
    }

    void answerOrder()
    {
        std::vector<CallWorker> &orders = m_cell.orders();
        if (orders.empty())
            return;
        const auto at
                = orders.begin() + static_cast<std::ptrdiff_t>(m_mutator.below(orders.size()));
        const CallWorker order = *at;
        orders.erase(at);
        encodeOrder(order);
        if (const auto *start = std::get_if<OrderStart>(&order.order))
            m_started[order.incarnation].insert({taskName(start->task), start->run.value()});
        constexpr std::array<int, 5> Statuses = {200, 200, 409, 421, 500};
        const int status = m_isMutating && m_mutator.below(5) == 0
                ? Statuses.at(m_mutator.below(Statuses.size()))
                : HttpOk;
        const AnswerFormat format = std::holds_alternative<OrderLeaseRenewal>(order.order)
                ? AnswerFormat::RunLists
                : AnswerFormat::Acknowledgement;
        WorkerAnswer decoded = decodeAnswer(order.call, format, status,
                                            maybeMutated(runListsText(order.incarnation)));
        if (decoded.verdict != WorkerVerdict::Done)
            CHECK_FALSE(decoded.error.empty());
        m_cell.feed(std::move(decoded));
    }

    static std::string taskName(const JobTaskRef &task)
    {
        return absl::StrCat(task.step.job.value(), ".", task.step.occurrence, ".", task.step.step,
                            ".", task.index);
    }

    MessageMutator m_mutator;
    SoloCell m_cell;
    bool m_isMutating = false;
    std::map<WorkerIncarnation, std::set<std::pair<std::string, std::uint64_t>>> m_started;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_job = 0;
    std::uint64_t m_end = 0;
    int m_rejected = 0;
};

/** The peak resident memory of this process. */
long peakMemoryKiB()
{
    rusage usage = {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

void runSeeds(std::uint64_t seeds, int steps)
{
    // A host with a disk has 256 MB of memory in total.
    constexpr long MaxGrowthKiB = 200 << 10;
    const long before = peakMemoryKiB();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        FuzzedCell fuzzed(seed);
        REQUIRE_NOTHROW(fuzzed.run(steps));
        CHECK(fuzzed.rejected() > 0);
        CHECK(fuzzed.cell().warnings() > 0);
    }
    CHECK(peakMemoryKiB() - before < MaxGrowthKiB);
}

} // namespace

// Guards against a malformed message from outside that crashes a process of the cell.
TEST_CASE("No message from callers, workers, operators or the adviser crashes a process of a cell")
{
    runSeeds(12, 500);
}

TEST_CASE("No message to a cell crashes a process: many seeds", "[.fuzz]")
{
    runSeeds(600, 1500);
}

TEST_CASE("Any settings file is either decoded or refused with a reason")
{
    MessageMutator mutator(1);
    for (int round = 0; round < 3000; ++round) {
        const absl::StatusOr<BootSettings> boot = decodeBootSettings(mutator.mutate(bootText));
        if (boot.ok())
            CHECK(boot->firstPort <= boot->lastPort);
        else
            CHECK_FALSE(boot.status().message().empty());
    }
}
