// What the cases share: a small deployment's platform with its operator, clients and judge.
#pragma once

#include "platform.h"

#include <csignal>

namespace standin {

constexpr char JobHost[] = "jobs.example";

struct Queue
{
    std::string name;
    std::string prefix;
    int priority = 0;
    double stretch = 1.5;
    int targetMs = 250;
    int attempts = 3;
    /** The adviser's time, and for each worker that it is asked about. */
    double decideMs = 19;
    double eachMs = 0.28;
};

struct Tenant
{
    std::string name;
    int capCpu = 0;
    int capMemory = 0;
};

struct Step
{
    int count = 1;
    int cpu = 1000;
    int memory = 256;
    int estimateMs = 500;
    bool lasts = false;
    Json::Value more = Json::Value(Json::objectValue);
};

class Case
{
public:
    Case(const char *octet, const char *recordPath)
        : net(std::string("127.") + octet + '.')
        , record(recordPath)
    {
        for (int n = 1; n <= 4; ++n)
            keepers.push_back(net + "1." + std::to_string(n) + ":8180");
        for (int n = 1; n <= 2; ++n)
            fronts.push_back(net + "2." + std::to_string(n) + ":8183");
    }
    ~Case() { stop(); }

    /** \a queueOf tells the queue of a job, for the time that the adviser takes. */
    bool startAdviser(std::function<bool(const std::string &, const std::string &)> allows,
                      std::function<Queue(const std::string &)> queueOf = {})
    {
        adviser = std::make_unique<Adviser>(
                net + "3.1", std::uint16_t(8182), std::move(allows),
                [queueOf](const std::string &step, std::size_t count) {
                    const Queue queue = queueOf ? queueOf(step) : Queue();
                    return std::int64_t(queue.decideMs + queue.eachMs * double(count));
                },
                2500);
        return adviser->start();
    }
    bool addWorker(int cpu, int memory, const std::string &kind = "a")
    {
        const int n = int(workers.size()) + 1;
        workers.push_back(std::make_unique<Worker>(
                record, "w-" + std::to_string(n), net + "4." + std::to_string(n),
                std::uint16_t(8080), "pool", "z" + std::to_string(1 + n % 4),
                "r-" + std::to_string(n % 2), cpu, memory, keepers, kind));
        Worker &worker = *workers.back();
        worker.checkTicket = [this, &worker](const std::string &task, const std::string &ticket) {
            return adviser == nullptr || adviser->isValid(stepOf(task), worker.id(), ticket);
        };
        return worker.start();
    }
    /** Puts a version and waits until it is in force; all queues ask for advice if there is an
     * adviser. */
    bool configure(const std::vector<Queue> &queues, const std::vector<Tenant> &tenants,
                   int version = 1)
    {
        Json::Value config;
        config["version"] = version;
        for (const Queue &queue : queues) {
            Json::Value route;
            route["name"] = queue.name;
            route["host"] = JobHost;
            route["path_prefix"] = queue.prefix;
            route["kind"] = "unsafe";
            route["timeout_ms"] = 3000;
            route["target_runtime_ms"] = queue.targetMs;
            route["priority"] = queue.priority;
            route["service"] = "pool";
            route["max_attempts"] = queue.attempts;
            route["stretch"] = queue.stretch;
            if (adviser != nullptr) {
                route["advice"]["decide_ms"] = queue.decideMs;
                route["advice"]["each_ms"] = queue.eachMs;
                route["advice"]["valid_ms"] = 2500;
            }
            config["routes"].append(route);
        }
        Json::Value service;
        service["name"] = "pool";
        service["health_path"] = "/health";
        service["enforces_capacity"] = false;
        config["services"].append(service);
        for (const Tenant &tenant : tenants) {
            Json::Value json;
            json["name"] = tenant.name;
            json["api_keys"].append("key-of-" + tenant.name);
            json["weight"] = 10;
            json["cap"]["cpu"] = tenant.capCpu;
            json["cap"]["mem_mb"] = tenant.capMemory;
            json["cap"]["gpu"] = 0;
            config["tenants"].append(json);
        }
        for (std::size_t tries = 0; tries < 100; ++tries) {
            if (call(keepers[tries % keepers.size()], "POST", "/config/put", "control", "",
                     toText(config), 2000)
                        .status
                == 200) {
                record.line("operator: version " + std::to_string(version) + " acknowledged");
                sleepMs(3000);
                return true;
            }
            sleepMs(200);
        }
        return false;
    }
    static std::string headers(const std::string &tenant)
    {
        return "Authorization: Token key-of-" + tenant + "\r\nDeadline-Ms: 3000\r\n";
    }
    Answer submit(const Queue &queue, const std::string &id, const std::string &tenant,
                  const std::string &spec, const std::vector<Step> &steps, bool quiet = false)
    {
        Json::Value job;
        job["spec"] = spec;
        std::string what;
        for (const Step &step : steps) {
            Json::Value json = step.more;
            json["count"] = step.count;
            json["cpu"] = step.cpu;
            json["mem_mb"] = step.memory;
            json["est_ms"] = step.estimateMs;
            if (step.lasts)
                json["long_running"] = true;
            job["steps"].append(json);
            what += (what.empty() ? "" : ", ") + std::to_string(step.count) + " tasks of "
                    + std::to_string(step.cpu) + " millicores";
        }
        const Answer answer = call(fronts[m_next++ % fronts.size()], "POST", queue.prefix + id,
                                   JobHost, headers(tenant), toText(job), 3000);
        if (!quiet)
            record.line("client of " + tenant + " submits " + queue.prefix + id + " (" + what
                        + (steps.front().lasts ? ", lasting" : "") + "): status "
                        + std::to_string(answer.status));
        return answer;
    }
    std::string stateOf(const Queue &queue, const std::string &id, const std::string &tenant)
    {
        const Answer answer = call(fronts[m_next++ % fronts.size()], "GET", queue.prefix + id,
                                   JobHost, headers(tenant), "", 3000);
        const Json::Value body = fromText(answer.body);
        return answer.status == 200 && body.isObject() ? body.get("state", "").asString()
                                                       : std::to_string(answer.status);
    }
    int cancel(const Queue &queue, const std::string &id, const std::string &tenant)
    {
        return call(fronts[m_next++ % fronts.size()], "DELETE", queue.prefix + id, JobHost,
                    headers(tenant), "", 3000)
                .status;
    }
    Worker *find(const std::string &task)
    {
        for (auto &worker : workers) {
            if (worker->running().contains(task))
                return worker.get();
        }
        return nullptr;
    }
    /** How many tasks of the job run. */
    std::size_t running(const std::string &job)
    {
        std::size_t count = 0;
        for (auto &worker : workers) {
            for (const auto &[task, run] : worker->running())
                count += task.starts_with(job) ? 1 : 0;
        }
        return count;
    }
    bool await(const std::string &job, std::size_t tasks, int seconds)
    {
        for (int waited = 0; waited < seconds * 20; ++waited) {
            if (running(job) >= tasks)
                return true;
            sleepMs(50);
        }
        return false;
    }
    /** Writes what runs where; \a cpuOf tells what a task uses. */
    void recordUse(const std::function<int(const std::string &)> &cpuOf)
    {
        for (auto &worker : workers) {
            std::string text = worker->id() + " runs";
            int used = 0;
            for (const auto &[task, run] : worker->running()) {
                text += ' ' + task;
                used += cpuOf(task);
            }
            record.line(text + ": " + std::to_string(used) + " millicores in use");
        }
    }
    int finish(int status, const std::string &text)
    {
        stop(); // The verdict is the record's last line.
        record.line(text);
        return status;
    }
    void stop()
    {
        for (auto &worker : workers)
            worker->stop();
        if (adviser != nullptr)
            adviser->stop();
    }

    const std::string net;
    Record record;
    Addresses keepers;
    Addresses fronts;
    std::unique_ptr<Adviser> adviser;
    std::vector<std::unique_ptr<Worker>> workers;

private:
    std::size_t m_next = 0;
};

} // namespace standin
