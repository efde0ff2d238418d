#include "tests/standins/standin_server.h"

#include "drivers/codec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gentiancross::tests {

namespace {

constexpr std::size_t ReadSize = 65'536;
constexpr int Backlog = 512;
constexpr std::int64_t LateMs = 3'000;

void sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
                = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

std::string head(int status, std::size_t length, const std::string &task)
{
    std::string text = "HTTP/1.1 " + std::to_string(status)
            + " Told\r\nContent-Length: " + std::to_string(length) + "\r\nConnection: close\r\n";
    if (!task.empty())
        text += "X-Task: " + task + "\r\n";
    return text + "\r\n";
}

SimulatedTask parseSimulatedTask(const std::string &payload)
{
    SimulatedTask work;
    Json::Value json;
    if (!codec::parseJson(payload, json) || !json.isObject())
        return work;
    work.runMs = json.get("run_ms", Json::Int64(work.runMs)).asInt64();
    work.answerBytes = json.get("answer_bytes", 0).asInt64();
    work.nonce = json.get("nonce", "").asString();
    work.fault = json.get("fault", "").asString();
    return work;
}

} // namespace

struct StandinServer::Request
{
    std::string path;
    std::string order;
    std::string body;
};

StandinServer::StandinServer(StandinOptions options)
    : m_options(std::move(options))
{
    m_announceTo.resize(static_cast<std::size_t>(m_options.count));
    for (int index = 0; index < m_options.count; ++index) {
        const std::string name = m_options.dataCentre + "-w" + std::to_string(index);
        const std::string address = "http://" + m_options.ip + ':' + std::to_string(m_options.port)
                + "/w/" + std::to_string(index);
        const std::string rack
                = m_options.dataCentre + "-r" + std::to_string(index / m_options.workersPerRack);
        m_workers.push_back(std::make_unique<StandinWorker>(name, address, m_options.dataCentre,
                                                            rack, m_options.capacity));
    }
}

bool StandinServer::run()
{
    const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    ::inet_pton(AF_INET, m_options.ip.c_str(), &address.sin_addr);
    if (::bind(listening, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(listening, Backlog) != 0)
        return false;
    std::thread([this] { runAnnounceLoop(); }).detach();
    while (true) {
        const int socket = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

void StandinServer::runAnnounceLoop()
{
    for (std::size_t turn = 0;; ++turn) {
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            if (!m_workers[index]->isSilent())
                announce(index, turn);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_options.announceMs));
    }
}

std::string StandinServer::chooseEntry(std::size_t index, std::size_t turn)
{
    const std::lock_guard lock(m_mutex);
    const std::string &entry = m_announceTo[index];
    return entry.empty() ? m_options.entries[turn % m_options.entries.size()] : entry;
}

void StandinServer::announce(std::size_t index, std::size_t turn)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + chooseEntry(index, turn) + "/v1/announcements";
    call.headers["Content-Type"] = "application/json";
    call.body = std::make_shared<const std::string>(
            codec::formatJson(m_workers[index]->announcement()));
    call.timeout = Milliseconds(2000);
    m_client.start(std::move(call), [this, index, turn](const HttpResult &result) {
        handleAnnouncementReply(index, turn, result);
    });
}

void StandinServer::handleAnnouncementReply(std::size_t index, std::size_t turn,
                                            const HttpResult &result)
{
    Json::Value reply;
    const bool isAnswer = result.outcome == CallOutcome::Answered && result.response.status == 200
            && codec::parseJson(*result.response.body, reply) && reply.isObject();
    const std::string announceTo = isAnswer ? reply["announce_to"].asString() : std::string();
    {
        const std::lock_guard lock(m_mutex);
        // After a call without an answer, the worker tries any entry host again.
        if (!isAnswer || !announceTo.empty())
            m_announceTo[index] = announceTo;
    }
    const bool isRenewal = isAnswer && announceTo.empty();
    if (!announceTo.empty() || (isRenewal && m_workers[index]->applyAnnouncementReply(reply)))
        announce(index, turn);
}

bool StandinServer::readRequest(int socket, Request &request)
{
    std::string bytes;
    std::string chunk(ReadSize, '\0');
    std::size_t headEnd = std::string::npos;
    std::size_t needed = 0;
    while (headEnd == std::string::npos || bytes.size() < needed) {
        const ssize_t got = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (got <= 0)
            return false;
        bytes.append(chunk, 0, static_cast<std::size_t>(got));
        headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            continue;
        std::string lower = bytes.substr(0, headEnd);
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t length = lower.find("content-length:");
        needed = headEnd + 4;
        if (length != std::string::npos)
            needed += std::stoul(lower.substr(length + 15));
        const std::size_t order = lower.find("x-start-order: ");
        if (order != std::string::npos)
            request.order = bytes.substr(order + 15, bytes.find("\r\n", order) - order - 15);
    }
    const std::size_t space = bytes.find(' ');
    request.path = bytes.substr(space + 1, bytes.find(' ', space + 1) - space - 1);
    request.body = bytes.substr(headEnd + 4);
    return true;
}

void StandinServer::serve(int socket)
{
    Request request;
    if (readRequest(socket, request))
        answer(socket, request);
    ::shutdown(socket, SHUT_WR);
    ::close(socket);
}

void StandinServer::answer(int socket, const Request &request)
{
    if (request.path.starts_with("/w/")) {
        const std::size_t index = std::stoul(request.path.substr(3));
        StandinWorker &worker = *m_workers.at(index);
        worker.connectionChanged(1);
        answerOrder(socket, request, worker);
        worker.connectionChanged(-1);
        return;
    }
    if (request.path == "/direct") {
        // Performs the work without a start order, as the baseline of latency measurements.
        const SimulatedTask work = parseSimulatedTask(request.body);
        std::this_thread::sleep_for(std::chrono::milliseconds(work.runMs));
        const std::string body = "begin\n";
        sendAll(socket, head(200, body.size(), {}) + body);
        return;
    }
    const std::string body = request.path == "/witness" ? recordsAsText() : control(request.body);
    sendAll(socket, head(200, body.size(), {}) + body);
}

void StandinServer::answerOrder(int socket, const Request &request, StandinWorker &worker)
{
    Json::Value order;
    if (!codec::parseJson(request.order, order) || !order.isObject())
        return;
    const SimulatedTask work = parseSimulatedTask(request.body);
    const OrderResult result = worker.handleOrder(order, work);
    const std::string task = order["task"].asString();
    if (work.fault == "silent" || result.status == 0)
        return;
    if (work.fault == "late")
        std::this_thread::sleep_for(std::chrono::milliseconds(LateMs));
    const std::string whole = head(result.status, result.body.size(), task) + result.body;
    if (work.fault == "cut" && result.status == 200)
        sendAll(socket, whole.substr(0, whole.size() - result.body.size() / 2));
    else
        sendAll(socket, work.fault == "twice" ? whole + whole : whole);
}

std::string StandinServer::control(const std::string &body)
{
    Json::Value json;
    if (!codec::parseJson(body, json) || !json.isObject())
        return "bad\n";
    const std::string mode = json["mode"].asString();
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (json.isMember("worker") && json["worker"].asUInt64() != index)
            continue;
        if (mode == "restart")
            m_workers[index]->restart();
        else
            m_workers[index]->setMode(mode);
    }
    return "ok\n";
}

std::string StandinServer::recordsAsText() const
{
    Json::Value json;
    json["runs"] = Json::Value(Json::arrayValue);
    json["breaches"] = Json::Value(Json::arrayValue);
    for (const auto &worker : m_workers)
        worker->appendRecords(json["runs"], json["breaches"]);
    return codec::formatJson(json);
}

} // namespace gentiancross::tests
