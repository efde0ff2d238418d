// A lasting task whose worker is lost is not started again, although workers that may run it
// have room for it several times over, while larger lasting tasks wait that fit nowhere.
#include "platform.h"

using namespace standin;

namespace {

constexpr char Route[] = "/watch/";
constexpr char Host[] = "jobs.example";
/** Workers of 32 cores; a large task leaves 12 free. */
constexpr int SmallWorkers = 7;

} // namespace

int main(int argc, char **argv)
{
    const std::string net = std::string("127.") + argv[1] + '.';
    const bool isTrouble = std::string(argv[2]) != "0";
    Record record(argv[3]);
    Addresses keepers;
    for (int n = 1; n <= 4; ++n)
        keepers.push_back(net + "1." + std::to_string(n) + ":8180");
    const std::string front = net + "2.1:8183";

    const std::string large = "1111111111111111";
    const std::string small = "2222222222222222";
    // The policy allows the small service four of the eight workers.
    const std::set<std::string> allowed{"w-1", "w-6", "w-7", "w-8"};
    Adviser adviser(
            net + "3.1", 8182,
            [&](const std::string &step, const std::string &worker) {
                return !step.starts_with(small) || allowed.contains(worker);
            },
            [](const std::string &, std::size_t count) { return std::int64_t(20 + count); }, 2500);
    if (!adviser.start())
        return 2;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 1; n <= SmallWorkers + 1; ++n) {
        const bool isLarge = n > SmallWorkers;
        workers.push_back(std::make_unique<Worker>(
                record, "w-" + std::to_string(n), net + "4." + std::to_string(n),
                std::uint16_t(8080), "pool", "z" + std::to_string(1 + n % 4),
                "r-" + std::to_string(n % 2), isLarge ? 64000 : 32000, isLarge ? 131072 : 65536,
                keepers));
        Worker &worker = *workers.back();
        worker.checkTicket = [&adviser, &worker](const std::string &task, const std::string &ticket) {
            return adviser.isValid(stepOf(task), worker.id(), ticket);
        };
        if (!worker.start())
            return 2;
    }
    const auto finish = [&](int status, const std::string &text) {
        for (auto &worker : workers)
            worker->stop();
        adviser.stop();
        record.line(text);
        return status;
    };

    Json::Value config;
    config["version"] = 1;
    Json::Value route;
    route["name"] = "watch";
    route["host"] = Host;
    route["path_prefix"] = Route;
    route["kind"] = "unsafe";
    route["timeout_ms"] = 3000;
    route["target_runtime_ms"] = 2500;
    route["priority"] = 1;
    route["service"] = "pool";
    route["max_attempts"] = 2;
    route["stretch"] = 2.2;
    route["advice"]["decide_ms"] = 20.0;
    route["advice"]["each_ms"] = 1.0;
    route["advice"]["valid_ms"] = 2500;
    config["routes"].append(route);
    Json::Value service;
    service["name"] = "pool";
    service["health_path"] = "/health";
    service["enforces_capacity"] = false;
    config["services"].append(service);
    for (const char *name : {"one", "two"}) {
        Json::Value tenant;
        tenant["name"] = name;
        tenant["api_keys"].append(std::string("key-of-") + name);
        tenant["weight"] = 10;
        tenant["cap"]["cpu"] = std::string(name) == "one" ? 500'000 : 20'000;
        tenant["cap"]["mem_mb"] = 500'000;
        tenant["cap"]["gpu"] = 0;
        config["tenants"].append(tenant);
    }
    bool isConfigured = false;
    for (int tries = 0; tries < 100 && !isConfigured; ++tries) {
        isConfigured = call(keepers[std::size_t(tries) % keepers.size()], "POST", "/config/put",
                            "control", "", toText(config), 2000)
                               .status
                == 200;
        if (!isConfigured)
            sleepMs(200);
    }
    if (!isConfigured)
        return finish(2, "no keeper took the configuration");
    record.line("configuration acknowledged");
    sleepMs(3000);

    const auto submit = [&](const std::string &id, const char *key, int count, int cpu, int memory) {
        Json::Value job;
        job["spec"] = "lasts";
        Json::Value step;
        step["count"] = count;
        step["cpu"] = cpu;
        step["mem_mb"] = memory;
        step["est_ms"] = 400;
        step["long_running"] = true;
        job["steps"].append(step);
        const Answer answer = call(front, "POST", Route + id, Host,
                                   std::string("Authorization: Token ") + key
                                           + "\r\nDeadline-Ms: 3000\r\n",
                                   toText(job), 3000);
        record.line("submitted " + id + " (" + std::to_string(count) + " tasks of "
                    + std::to_string(cpu) + " millicores): " + std::to_string(answer.status));
        return answer.status == 200;
    };
    const auto find = [&](const std::string &task) -> Worker * {
        for (auto &worker : workers) {
            if (worker->running().contains(task))
                return worker.get();
        }
        return nullptr;
    };
    const auto count = [&](const std::string &job) {
        std::size_t running = 0;
        for (auto &worker : workers) {
            for (const auto &[task, run] : worker->running())
                running += task.starts_with(job) ? 1 : 0;
        }
        return running;
    };
    const auto await = [&](const std::string &job, std::size_t tasks, int seconds) {
        for (int waited = 0; waited < seconds * 20; ++waited) {
            if (count(job) >= tasks)
                return true;
            sleepMs(50);
        }
        return false;
    };

    // Ten tasks of 20 cores: one fits on each worker of 32 cores, three on the one of 64.
    if (!submit(large, "key-of-one", SmallWorkers + 3, 20'000, 4096)
        || !await(large, SmallWorkers + 3, 20))
        return finish(2, "the large job did not start");
    // One task of 2 cores.
    if (!submit(small, "key-of-two", 1, 2'000, 1024) || !await(small, 1, 20))
        return finish(2, "the small job did not start");
    const std::string task = small + ".0.0.0";
    Worker *const home = find(task);
    if (home == nullptr)
        return finish(2, "the small job's task has ended");
    record.line("the small task runs on " + home->id());
    sleepMs(4000);

    if (isTrouble) {
        record.line("trouble: w-8 is lost for good");
        workers.back()->crash();
    } else {
        record.line("no trouble: the small task ends by its own fault");
        home->fail(task);
    }
    if (home->id() != "w-8" && isTrouble) {
        sleepMs(8000);
        record.line("the small task ends by its own fault");
        home->fail(task);
    }
    // Six seconds from its last run, the four calm seconds before, and three seconds without a run.
    constexpr int BoundMs = 6000 + 4000 + 3000;
    const std::int64_t begin = record.nowMs();
    while (record.nowMs() - begin < BoundMs + 7000) {
        sleepMs(50);
        if (find(task) != nullptr && record.nowMs() - begin > 200)
            break;
    }
    const std::int64_t took = record.nowMs() - begin;
    const bool runs = find(task) != nullptr;
    for (auto &worker : workers) {
        std::string text = worker->id() + " runs";
        int used = 0;
        for (const auto &[each, run] : worker->running()) {
            text += ' ' + each;
            used += each.starts_with(large) ? 20 : 2;
        }
        record.line(text + " (" + std::to_string(used) + " cores)");
    }
    if (!runs || took > BoundMs)
        return finish(1, "LOST: the small task has not run for " + std::to_string(took)
                              + " ms; it needs 2 cores, w-1, w-6 and w-7 have 12 free each");
    return finish(0, "held: the small task runs again after " + std::to_string(took) + " ms");
}
