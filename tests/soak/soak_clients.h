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
    /** "ip:port" of the hosts that take callers. */
    std::vector<std::string> fronts;
    double jobsPerSecond = 5;
    int widest = 8;
    std::int64_t cores = 2500;
    std::int64_t runMs = 600;
    /** One job in so many is cancelled after it was accepted; 0 for none. */
    int cancelEvery = 20;
};

/**
 * Callers: they hand jobs in, resend after lost answers under the same name, ask for the state
 * until the job is over, and cancel some. Thread safety: start and stop from one thread.
 */
class SoakClients
{
public:
    SoakClients(ClientOptions options, std::uint32_t seed, Observations &observations);
    SoakClients(const SoakClients &) = delete;
    SoakClients &operator=(const SoakClients &) = delete;
    ~SoakClients();

    void start();
    /** No new jobs from now on; states are still asked for. */
    void stopSubmitting() { m_isSubmitting = false; }
    void stop();
    /** The key that callers use from now on. */
    void useKey(const std::string &key);

private:
    struct Pending
    {
        std::string body;
        int attempts = 0;
        std::size_t front = 0;
        Instant nextLook;
        bool isAccepted = false;
        bool isAsking = false;
        bool isCancelling = false;
    };

    void run();
    void submitNew();
    void send(const std::string &job, Pending &pending);
    void answered(const std::string &job, const HttpResult &result);
    void look(const std::string &job, Pending &pending);
    void shown(const std::string &job, const HttpResult &result);
    void cancel(const std::string &job, Pending &pending);
    [[nodiscard]] HttpCall callFor(const char *method, const std::string &job,
                                   const Pending &pending);

    ClientOptions m_options;
    SoakRandom m_random;
    Observations &m_observations;
    SystemClock m_clock;
    std::mutex m_mutex;
    std::map<std::string, Pending> m_pending;
    std::string m_key = "key-1";
    std::uint64_t m_jobs = 0;
    std::uint64_t m_salt;
    std::atomic<bool> m_isSubmitting = true;
    std::atomic<bool> m_isStopping = false;
    HttpClient m_client;
    std::thread m_thread;
};

} // namespace gentiancross::tests
