#include "tests/soak/emulated_platform.h"

#include "drivers/codec.h"

namespace gentiancross::tests {

namespace {

constexpr std::uint16_t WorkerPort = 8025;
constexpr std::uint16_t AdviserPort = 8182;
constexpr std::size_t LargestQuestion = 1 << 20;
constexpr int ValidMs = 2500;
/** One worker in so many may not run a step. */
constexpr std::size_t BadEvery = 4;
constexpr std::chrono::milliseconds TickTime{5};
constexpr int TicksPerBeat = 300;
constexpr Milliseconds BeatTimeout{1000};

} // namespace

EmulatedAdviser::EmulatedAdviser(std::string ip, std::uint16_t port)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_http(*this, LargestQuestion)
{}

void EmulatedAdviser::handleRequest(HttpToken token, HttpRequest request)
{
    Json::Value json;
    Json::Value told;
    told["valid_ms"] = ValidMs;
    told["good"] = Json::Value(Json::arrayValue);
    if (codec::parseJson(request.body, json) && json.isObject()) {
        for (const Json::Value &worker : json["workers"]) {
            const std::string pair = json["step"].asString() + worker.asString();
            if (std::hash<std::string>()(pair) % BadEvery == 0)
                continue;
            Json::Value row(Json::arrayValue);
            row.append(worker);
            row.append("ticket");
            told["good"].append(row);
        }
    }
    HttpResponse response;
    response.headers["Content-Type"] = "application/json";
    response.body = std::make_shared<const std::string>(codec::formatJson(told));
    m_http.respond(token, std::move(response));
}

EmulatedPlatform::EmulatedPlatform(PlatformOptions options, Observations &observations)
    : m_options(std::move(options))
    , m_adviser(m_options.net + ".250", AdviserPort)
    , m_turns(std::size_t(m_options.workers))
{
    constexpr int WorkersPerAddress = 200;
    for (int number = 0; number < m_options.workers; ++number) {
        const std::string ip = m_options.net + '.' + std::to_string(1 + number % WorkersPerAddress);
        const auto port = static_cast<std::uint16_t>(WorkerPort + number / WorkersPerAddress);
        m_workers.push_back(std::make_unique<EmulatedWorker>(number, ip, port, m_options.capacity,
                                                             observations));
    }
}

EmulatedPlatform::~EmulatedPlatform()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    m_client.stop();
    m_adviser.stop();
    for (const auto &worker : m_workers)
        worker->stop();
}

std::string EmulatedPlatform::adviserAddress() const
{
    return m_options.net + ".250:" + std::to_string(AdviserPort);
}

bool EmulatedPlatform::start()
{
    if (!m_adviser.start())
        return false;
    for (const auto &worker : m_workers) {
        if (!worker->start())
            return false;
    }
    m_thread = std::thread([this] { run(); });
    return true;
}

void EmulatedPlatform::run()
{
    for (int tick = 0; !m_isStopping; ++tick) {
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            m_workers[index]->tick();
            if ((tick + int(index)) % TicksPerBeat == 0)
                beat(index);
        }
        std::this_thread::sleep_for(TickTime);
    }
}

void EmulatedPlatform::beat(std::size_t index)
{
    const std::string body = m_workers[index]->nextBeat();
    if (body.empty())
        return;
    const std::size_t turn = (index + m_turns[index]) % m_options.controls.size();
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + m_options.controls[turn] + "/instances/" + m_workers[index]->id()
            + "/heartbeat";
    call.headers["Content-Type"] = "application/json";
    call.body = std::make_shared<const std::string>(body);
    call.timeout = BeatTimeout;
    m_client.start(std::move(call), [this, index](const HttpResult &result) {
        const bool isTaken
                = result.outcome == CallOutcome::Answered && result.response.status == 200;
        if (!isTaken)
            ++m_turns[index];
    });
}

} // namespace gentiancross::tests
