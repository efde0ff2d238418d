// A caller is told that its key is unknown, although its only call has been accepted and runs.
#include "standin.h"

using namespace review;

namespace {

constexpr int Workers = 6;
const char *const Job = "5c0e7a21d94b36f8";

Outcome play(Record &record)
{
    RunBook runs(record);
    // The first entry host's traffic from other hosts passes a forwarder.
    Cell cell({3, 2, {0}}, record);
    Adviser adviser;
    if (!adviser.start(cell.adviserIp(), 8182, 24.0, 0.34, 2000) || !cell.start())
        return CouldNotRun;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 1; number <= Workers; ++number) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(number);
        options.ip = cell.ip(5, number);
        options.service = ServiceName;
        options.zone = "z" + std::to_string(1 + number % 3);
        options.rack = "r" + std::to_string(number % 2);
        workers.push_back(std::make_unique<Worker>(options, cell.controls(), runs, record));
        if (!workers.back()->start())
            return CouldNotRun;
    }
    const RouteOptions route{"r-checks", "/checks/", 0, 3, 250, false};
    const TenantOptions other{"tenant-b", {"key-b-1"}, 0};
    if (!cell.putConfiguration(
                makeConfiguration(3, {route}, {{"tenant-a", {"key-a-old", "key-a-new"}, 0}, other}),
                15'000)
        || !cell.waitUntilReady(10'000))
        return CouldNotRun;
    sleepMs(5000);

    // A job that shows that the path works.
    const std::string body
            = R"({"spec":"ms=2500","steps":[{"count":2,"cpu":1000,"mem_mb":64,"est_ms":2500}]})";
    const std::string front = cell.fronts()[0];
    if (clientCall(record, front, "POST", "/checks/00000000000000aa", "key-b-1", body).status != 200
        || !waitFor(5000, [&] { return runs.ofJob("00000000000000aa").size() == 2; }))
        return CouldNotRun;
    sleepMs(1000);

    if (hasTrouble()) {
        record.line("disruption: the open connections to edge-z1-1 from other hosts go silent; "
                    "new ones work");
        cell.forwarder(0).silenceOpenConnections();
    }
    Reply reply;
    std::thread client([&] {
        reply = clientCall(record, front, "POST", std::string("/checks/") + Job, "key-a-old", body);
    });
    sleepMs(400);
    record.line("operator: key-a-old is taken away");
    const bool isAcknowledged = cell.putConfiguration(
            makeConfiguration(4, {route}, {{"tenant-a", {"key-a-new"}, 0}, other}), 5000);
    client.join();
    sleepMs(4000);
    record.line("client: no further attempt; a call with an unknown key has its final answer");

    if (!isAcknowledged || !cell.areAllRunning())
        return CouldNotRun;
    const std::size_t starts = runs.ofJob(Job).size();
    const bool wasRejected = reply.status == 401 || reply.status == 404 || reply.status == 429
            || reply.status == 503;
    record.line("job " + std::string(Job) + ": the only attempt was answered with "
                + std::to_string(reply.status) + "; runs begun: " + std::to_string(starts));
    return wasRejected && starts > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, &play);
}
