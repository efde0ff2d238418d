#include "tests/soak/emulated_platform.h"

#include "drivers/codec.h"

namespace gentiancross::tests {

namespace {

constexpr std::uint16_t WorkerPort = 8025;
constexpr std::uint16_t AdviserPort = 8182;
constexpr std::size_t MaxAdviceRequestBytes = 1 << 20;
constexpr int ValidMs = 2500;
/** One in this many pairs of step and worker is unfit. */
constexpr std::size_t UnfitInterval = 4;
constexpr std::chrono::milliseconds TickInterval{5};
constexpr int TicksPerHeartbeat = 300;
constexpr Milliseconds HeartbeatTimeout{1000};

} // namespace

EmulatedAdviser::EmulatedAdviser(std::string ip, std::uint16_t port)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_http(*this, MaxAdviceRequestBytes)
{}

void EmulatedAdviser::handleRequest(HttpToken token, HttpRequest request)
{
    Json::Value json;
    Json::Value advice;
    advice["valid_ms"] = ValidMs;
    advice["good"] = Json::Value(Json::arrayValue);
    if (codec::parseJson(request.body, json) && json.isObject()) {
        for (const Json::Value &worker : json["workers"]) {
            const std::string pair = json["step"].asString() + worker.asString();
            if (std::hash<std::string>()(pair) % UnfitInterval == 0)
                continue;
            Json::Value row(Json::arrayValue);
            row.append(worker);
            row.append("ticket");
            advice["good"].append(row);
        }
    }
    HttpResponse response;
    response.headers["Content-Type"] = "application/json";
    response.body = std::make_shared<const std::string>(codec::formatJson(advice));
    m_http.respond(token, std::move(response));
}

EmulatedPlatform::EmulatedPlatform(PlatformOptions options, InvariantChecker &checker)
    : m_options(std::move(options))
    , m_adviser(m_options.addressPrefix + ".250", AdviserPort)
    , m_controlTurns(std::size_t(m_options.workers))
{
    constexpr int WorkersPerAddress = 200;
    for (int number = 0; number < m_options.workers; ++number) {
        const std::string ip
                = m_options.addressPrefix + '.' + std::to_string(1 + number % WorkersPerAddress);
        const auto port = static_cast<std::uint16_t>(WorkerPort + number / WorkersPerAddress);
        m_workers.push_back(std::make_unique<EmulatedWorker>(
                number, ip, port, m_options.capacityMillicores, checker));
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
    return m_options.addressPrefix + ".250:" + std::to_string(AdviserPort);
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
            if ((tick + int(index)) % TicksPerHeartbeat == 0)
                sendHeartbeat(index);
        }
        std::this_thread::sleep_for(TickInterval);
    }
}

void EmulatedPlatform::sendHeartbeat(std::size_t index)
{
    const std::string body = m_workers[index]->nextHeartbeatBody();
    if (body.empty())
        return;
    post(index, m_workers[index]->id() + "/heartbeat", body,
         [this, index](const HttpResult &result) {
             const bool isAccepted
                     = result.outcome == CallOutcome::Answered && result.response.status == 200;
             if (!isAccepted)
                 ++m_controlTurns[index];
         });
}

void EmulatedPlatform::sendForeignHeartbeat(std::size_t index, const ForeignHeartbeat &foreign)
{
    constexpr std::int64_t DefectCount = 4;
    Json::Value json = m_workers[index]->lastHeartbeat();
    json["seq"] = Json::UInt64(json["seq"].asUInt64() + 1);
    switch (foreign.defect % DefectCount) {
    case 0:
        json["service"] = "unnamed";
        break;
    case 1:
        json["state"] = "resting";
        break;
    case 2:
        json.removeMember("capacity");
        break;
    default:
        json["seq"] = "1";
        break;
    }
    json["born"] = Json::Int64(json["born"].asInt64() + foreign.birthShiftMs);
    const std::string id = foreign.hasOtherId ? "i-other" : m_workers[index]->id();
    post(index, id + "/heartbeat", codec::formatJson(json), [](const HttpResult &) {});
}

void EmulatedPlatform::setControlAddresses(std::vector<std::string> addresses)
{
    const std::lock_guard lock(m_addressMutex);
    m_options.controlAddresses = std::move(addresses);
}

void EmulatedPlatform::sendLeave(std::size_t index, std::int64_t bornMs)
{
    post(index, m_workers[index]->id() + "/leave", R"({"born":)" + std::to_string(bornMs) + '}',
         [](const HttpResult &) {});
}

void EmulatedPlatform::post(std::size_t index, const std::string &path, const std::string &body,
                            HttpClient::Completion completion)
{
    HttpCall call;
    call.method = "POST";
    {
        const std::lock_guard lock(m_addressMutex);
        const std::vector<std::string> &addresses = m_options.controlAddresses;
        call.url = "http://" + addresses[(index + m_controlTurns[index]) % addresses.size()]
                + "/instances/" + path;
    }
    call.headers["Content-Type"] = "application/json";
    call.body = std::make_shared<const std::string>(body);
    call.timeout = HeartbeatTimeout;
    m_client.start(std::move(call), std::move(completion));
}

} // namespace gentiancross::tests
