#include "tests/soak/soak_clients.h"

#include "drivers/codec.h"
#include "tests/soak/emulated_worker.h"

#include <absl/strings/str_cat.h>

namespace gentiancross::tests {

namespace {

constexpr Milliseconds CallTimeout{3000};
constexpr Milliseconds LookPause{700};
constexpr std::chrono::milliseconds StepTime{5};
/** Grows with each attempt. */
constexpr Milliseconds RetryPause{200};
constexpr int MostAttempts = 5;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

SoakClients::SoakClients(ClientOptions options, std::uint32_t seed, Observations &observations)
    : m_options(std::move(options))
    , m_random(seed)
    , m_observations(observations)
    , m_salt(std::uint64_t(seed) << 32)
{}

SoakClients::~SoakClients()
{
    stop();
}

void SoakClients::start()
{
    m_thread = std::thread([this] { run(); });
}

void SoakClients::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    m_client.stop();
}

void SoakClients::useKey(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_key = key;
}

void SoakClients::run()
{
    Instant next = m_clock.now();
    while (!m_isStopping) {
        const Instant now = m_clock.now();
        {
            const std::lock_guard lock(m_mutex);
            while (m_isSubmitting && next <= now) {
                submitNew();
                const double gap = m_random.spread(MillisecondsPerSecond / m_options.jobsPerSecond);
                next = next + Milliseconds(std::int64_t(gap));
            }
            for (auto &[job, pending] : m_pending) {
                if (pending.isAsking || now < pending.nextLook)
                    continue;
                if (pending.isAccepted)
                    look(job, pending);
                else
                    send(job, pending);
            }
        }
        std::this_thread::sleep_for(StepTime);
    }
}

HttpCall SoakClients::callFor(const char *method, const std::string &job, const Pending &pending)
{
    HttpCall call;
    call.method = method;
    call.url = "http://" + m_options.fronts[pending.front % m_options.fronts.size()] + "/q/" + job;
    call.headers["Host"] = "jobs.example";
    call.headers["Authorization"] = "Token " + m_key;
    call.headers["Deadline-Ms"] = std::to_string(CallTimeout.value());
    call.timeout = CallTimeout;
    return call;
}

void SoakClients::submitNew()
{
    const std::string job = absl::StrCat(absl::Hex(m_salt + ++m_jobs, absl::kZeroPad16));
    std::vector<SoakStep> steps;
    const std::int64_t count = m_random.between(1, 2);
    for (std::int64_t number = 0; number < count; ++number) {
        SoakStep step;
        step.count = int(m_random.between(1, m_options.widest));
        step.cores = m_options.cores;
        step.runMs = m_random.between(m_options.runMs / 2, m_options.runMs * 3 / 2);
        step.isLater = number > 0;
        steps.push_back(step);
    }
    Json::Value json;
    json["spec"] = encodePayload(steps);
    for (const SoakStep &step : steps) {
        Json::Value row;
        row["count"] = step.count;
        row["cpu"] = Json::Int64(step.cores);
        row["mem_mb"] = 64;
        row["est_ms"] = Json::Int64(m_options.runMs);
        if (step.isLater)
            row["after"].append(0);
        json["steps"].append(row);
    }
    m_observations.submitted(job, steps);
    Pending &pending = m_pending[job];
    pending.body = codec::formatJson(json);
    pending.front = std::size_t(m_random.between(0, 1'000));
    send(job, pending);
}

void SoakClients::send(const std::string &job, Pending &pending)
{
    m_observations.attempted(job);
    pending.isAsking = true;
    ++pending.attempts;
    ++pending.front;
    HttpCall call = callFor("POST", job, pending);
    call.headers["Content-Type"] = "application/json";
    call.body = std::make_shared<const std::string>(pending.body);
    m_client.start(std::move(call),
                   [this, job](const HttpResult &result) { answered(job, result); });
}

void SoakClients::answered(const std::string &job, const HttpResult &result)
{
    const std::lock_guard lock(m_mutex);
    Pending &pending = m_pending.at(job);
    pending.isAsking = false;
    const int status = result.outcome == CallOutcome::Answered ? result.response.status : 0;
    if (status >= 200 && status < 300) {
        m_observations.accepted(job);
        pending.isAccepted = true;
        pending.nextLook = m_clock.now() + LookPause;
        const bool cancels
                = m_options.cancelEvery > 0 && m_random.between(1, m_options.cancelEvery) == 1;
        if (cancels)
            cancel(job, pending);
        return;
    }
    if (status == 429 || status == 503)
        m_observations.rejected(job);
    else if (status == 401 || status == 404 || result.outcome == CallOutcome::NotSent)
        m_observations.attemptOver(job);
    else
        m_observations.uncertain(job);
    if (pending.attempts >= MostAttempts) {
        m_pending.erase(job);
        return;
    }
    pending.nextLook = m_clock.now() + RetryPause * pending.attempts;
}

void SoakClients::look(const std::string &job, Pending &pending)
{
    pending.isAsking = true;
    ++pending.front;
    m_client.start(callFor("GET", job, pending),
                   [this, job](const HttpResult &result) { shown(job, result); });
}

void SoakClients::shown(const std::string &job, const HttpResult &result)
{
    const std::lock_guard lock(m_mutex);
    Pending &pending = m_pending.at(job);
    pending.isAsking = false;
    pending.nextLook = m_clock.now() + LookPause;
    if (result.outcome != CallOutcome::Answered)
        return;
    Json::Value json;
    std::string state = result.response.status == 410 ? "gone" : "";
    if (result.response.status == 200 && codec::parseJson(*result.response.body, json))
        state = json["state"].asString();
    m_observations.shown(job, state);
    if (state == "completed" || state == "cancelled" || state == "failed" || state == "gone")
        m_pending.erase(job);
}

void SoakClients::cancel(const std::string &job, Pending &pending)
{
    m_observations.cancelled(job);
    m_client.start(callFor("DELETE", job, pending), [](const HttpResult &) {});
}

} // namespace gentiancross::tests
