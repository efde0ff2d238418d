#pragma once

#include "drivers/http_client.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_random.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gentiancross::tests {

struct ClientOptions
{
    /** "ip:port" at which callers reach the entry hosts. */
    std::vector<std::string> frontAddresses;
    double jobsPerSecond = 5;
    int maxTasksPerStep = 8;
    std::int64_t millicores = 2500;
    std::int64_t runMs = 600;
    /** On average one in this many accepted jobs is cancelled; 0 for none. */
    int cancelEvery = 20;
};

/**
 * Emulates callers on a thread of its own: submits jobs, retries under the same name after lost
 * responses, polls the state until the job has ended, and cancels some. Owned by Soak. Thread
 * safety: start and stop from one thread.
 */
class SoakClients
{
public:
    SoakClients(ClientOptions options, std::uint32_t seed, InvariantChecker &checker);
    SoakClients(const SoakClients &) = delete;
    SoakClients &operator=(const SoakClients &) = delete;
    ~SoakClients();

    void start();
    /** Submits no new jobs; pending jobs are still polled. */
    void stopSubmitting() { m_isSubmitting = false; }
    void stop();
    /** Sets the API key of all further calls. */
    void useKey(const std::string &key);

private:
    struct PendingJob
    {
        std::string body;
        int attempts = 0;
        std::size_t frontIndex = 0;
        Instant nextCallAt;
        bool isAccepted = false;
        bool hasOpenCall = false;
        bool isCancelling = false;
    };

    void run();
    void submitNew();
    void send(const std::string &job, PendingJob &pending);
    void handleSubmitResponse(const std::string &job, const HttpResult &result);
    void pollState(const std::string &job, PendingJob &pending);
    void handleState(const std::string &job, const HttpResult &result);
    void cancel(const std::string &job, PendingJob &pending);
    [[nodiscard]] HttpCall makeCall(const char *method, const std::string &job,
                                    const PendingJob &pending);

    ClientOptions m_options;
    SoakRandom m_random;
    InvariantChecker &m_checker;
    SystemClock m_clock;
    std::mutex m_mutex;
    std::map<std::string, PendingJob> m_pending;
    std::string m_key = "key-1";
    std::uint64_t m_submittedJobs = 0;
    std::uint64_t m_jobIdBase;
    std::atomic<bool> m_isSubmitting = true;
    std::atomic<bool> m_isStopping = false;
    HttpClient m_client;
    std::thread m_thread;
};

} // namespace gentiancross::tests
