#include "tests/soak/soak_clients.h"

#include "drivers/codec.h"
#include "tests/soak/emulated_worker.h"

#include <absl/strings/str_cat.h>

namespace gentiancross::tests {

namespace {

constexpr Milliseconds CallTimeout{3000};
constexpr Milliseconds StatePollInterval{700};
constexpr std::chrono::milliseconds LoopInterval{5};
/** Multiplied by the number of attempts so far. */
constexpr Milliseconds RetryBackoff{200};
constexpr int MaxSubmitAttempts = 5;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

SoakClients::SoakClients(ClientOptions options, std::uint32_t seed, InvariantChecker &checker)
    : m_options(std::move(options))
    , m_random(seed)
    , m_checker(checker)
    , m_jobIdBase(std::uint64_t(seed) << 32)
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
                if (pending.hasOpenCall || now < pending.nextCallAt)
                    continue;
                if (pending.isAccepted)
                    pollState(job, pending);
                else
                    send(job, pending);
            }
        }
        std::this_thread::sleep_for(LoopInterval);
    }
}

HttpCall SoakClients::makeCall(const char *method, const std::string &job,
                               const PendingJob &pending)
{
    HttpCall call;
    call.method = method;
    call.url = "http://"
            + m_options.frontAddresses[pending.frontIndex % m_options.frontAddresses.size()] + "/q/"
            + job;
    call.headers["Host"] = "jobs.example";
    call.headers["Authorization"] = "Token " + m_key;
    call.headers["Deadline-Ms"] = std::to_string(CallTimeout.value());
    call.timeout = CallTimeout;
    return call;
}

void SoakClients::submitNew()
{
    const std::string job
            = absl::StrCat(absl::Hex(m_jobIdBase + ++m_submittedJobs, absl::kZeroPad16));
    std::vector<SoakStep> steps;
    const std::int64_t count = m_random.between(1, 2);
    for (std::int64_t number = 0; number < count; ++number) {
        SoakStep step;
        step.count = int(m_random.between(1, m_options.maxTasksPerStep));
        step.millicores = m_options.millicores;
        step.runMs = m_random.between(m_options.runMs / 2, m_options.runMs * 3 / 2);
        step.waitsForPrevious = number > 0;
        steps.push_back(step);
    }
    Json::Value json;
    json["spec"] = encodePayload(steps);
    for (const SoakStep &step : steps) {
        Json::Value row;
        row["count"] = step.count;
        row["cpu"] = Json::Int64(step.millicores);
        row["mem_mb"] = 64;
        row["est_ms"] = Json::Int64(m_options.runMs);
        if (step.waitsForPrevious)
            row["after"].append(0);
        json["steps"].append(row);
    }
    m_checker.recordSubmission(job, steps);
    PendingJob &pending = m_pending[job];
    pending.body = codec::formatJson(json);
    pending.frontIndex = std::size_t(m_random.between(0, 1'000));
    send(job, pending);
}

void SoakClients::send(const std::string &job, PendingJob &pending)
{
    m_checker.recordAttempt(job);
    pending.hasOpenCall = true;
    ++pending.attempts;
    ++pending.frontIndex;
    HttpCall call = makeCall("POST", job, pending);
    call.headers["Content-Type"] = "application/json";
    call.body = std::make_shared<const std::string>(pending.body);
    m_client.start(std::move(call),
                   [this, job](const HttpResult &result) { handleSubmitResponse(job, result); });
}

void SoakClients::handleSubmitResponse(const std::string &job, const HttpResult &result)
{
    const std::lock_guard lock(m_mutex);
    PendingJob &pending = m_pending.at(job);
    pending.hasOpenCall = false;
    const int status = result.outcome == CallOutcome::Answered ? result.response.status : 0;
    if (status >= 200 && status < 300) {
        m_checker.recordAcceptance(job);
        pending.isAccepted = true;
        pending.nextCallAt = m_clock.now() + StatePollInterval;
        const bool cancels
                = m_options.cancelEvery > 0 && m_random.between(1, m_options.cancelEvery) == 1;
        if (cancels)
            cancel(job, pending);
        return;
    }
    if (status == 429 || status == 503)
        m_checker.recordRejection(job);
    else if (status == 401 || status == 404 || result.outcome == CallOutcome::NotSent)
        m_checker.recordAttemptEnd(job);
    else
        m_checker.recordUncertainOutcome(job);
    if (pending.attempts >= MaxSubmitAttempts) {
        m_pending.erase(job);
        return;
    }
    pending.nextCallAt = m_clock.now() + RetryBackoff * pending.attempts;
}

void SoakClients::pollState(const std::string &job, PendingJob &pending)
{
    pending.hasOpenCall = true;
    ++pending.frontIndex;
    m_client.start(makeCall("GET", job, pending),
                   [this, job](const HttpResult &result) { handleState(job, result); });
}

void SoakClients::handleState(const std::string &job, const HttpResult &result)
{
    const std::lock_guard lock(m_mutex);
    PendingJob &pending = m_pending.at(job);
    pending.hasOpenCall = false;
    pending.nextCallAt = m_clock.now() + StatePollInterval;
    if (result.outcome != CallOutcome::Answered)
        return;
    Json::Value json;
    std::string state = result.response.status == 410 ? "gone" : "";
    if (result.response.status == 200 && codec::parseJson(*result.response.body, json))
        state = json["state"].asString();
    m_checker.recordShownState(job, state);
    if (state == "completed" || state == "cancelled" || state == "failed" || state == "gone")
        m_pending.erase(job);
}

void SoakClients::cancel(const std::string &job, PendingJob &pending)
{
    m_checker.recordCancellation(job);
    m_client.start(makeCall("DELETE", job, pending), [](const HttpResult &) {});
}

} // namespace gentiancross::tests
