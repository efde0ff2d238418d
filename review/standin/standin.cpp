#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int ControlPort = 8180;
constexpr int AdviserPort = 8182;
constexpr int FrontPort = 8183;
constexpr int ReadyPort = 8184;
constexpr int PeerPort = 7420;
constexpr int LastPeerPort = 7435;
constexpr int HeartbeatMs = 1500;
constexpr std::int64_t MaxHoldMs = 10'000;
constexpr std::size_t MaxEndsListed = 500;
/** A script takes 120 s at most. */
constexpr unsigned int MaxSeconds = 110;

const auto Began = std::chrono::steady_clock::now();

sockaddr_in makeAddress(const std::string &ip, int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::pair<std::string, int> splitAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

int listenAt(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = makeAddress(ip, port);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(socket, 512) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

int connectTo(const std::string &ip, int port, int timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = makeAddress(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd one{socket, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof(error);
        if (error == 0 && ::poll(&one, 1, timeoutMs) == 1)
            ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        else
            error = ETIMEDOUT;
        if (error != 0) {
            ::close(socket);
            return -1;
        }
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return socket;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
                = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

/** Reads more bytes until \a deadline; false at the end of the connection or of the time. */
bool receiveMore(int socket, std::string &bytes, std::int64_t deadline)
{
    pollfd one{socket, POLLIN, 0};
    const std::int64_t left = deadline - nowMs();
    if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) != 1)
        return false;
    char chunk[16384];
    const ssize_t count = ::recv(socket, chunk, sizeof(chunk), 0);
    if (count <= 0)
        return false;
    bytes.append(chunk, static_cast<std::size_t>(count));
    return true;
}

/** Reads one message with a declared length, and removes it from \a bytes. */
bool receiveMessage(int socket, std::string &bytes, std::int64_t deadline, std::string &firstLine,
                    Headers &headers, std::string &body)
{
    std::size_t end = 0;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(socket, bytes, deadline))
            return false;
    }
    std::istringstream lines(bytes.substr(0, end));
    std::getline(lines, firstLine);
    headers.clear();
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        headers[lowerCase(line.substr(0, colon))]
                = value == std::string::npos ? std::string() : line.substr(value);
    }
    const auto length = headers.find("content-length");
    const std::size_t size
            = length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (bytes.size() < end + 4 + size) {
        if (!receiveMore(socket, bytes, deadline))
            return false;
    }
    body = bytes.substr(end + 4, size);
    bytes.erase(0, end + 4 + size);
    return true;
}

bool parse(const std::string &text, Json::Value &json)
{
    Json::CharReaderBuilder builder;
    std::string errors;
    std::istringstream stream(text);
    return Json::parseFromStream(builder, stream, &json, &errors);
}

} // namespace

const char *const QueueHost = "jobs.example";
const char *const ServiceName = "pool-a";

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - Began)
            .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool waitFor(std::int64_t milliseconds, const std::function<bool()> &condition)
{
    for (const std::int64_t end = nowMs() + milliseconds; nowMs() < end; sleepMs(20)) {
        if (condition())
            return true;
    }
    return condition();
}

std::string toText(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string &path)
    : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const std::string whole = std::to_string(nowMs()) + " ms  " + text + '\n';
    [[maybe_unused]] const ssize_t count = ::write(m_file, whole.data(), whole.size());
}

Reply call(const std::string &address, const std::string &method, const std::string &path,
           const Headers &headers, const std::string &body, int timeoutMs)
{
    const std::int64_t begin = nowMs();
    const auto [ip, port] = splitAddress(address);
    Reply reply;
    const int socket = connectTo(ip, port, timeoutMs);
    if (socket < 0)
        return reply;
    std::string text = method + ' ' + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host"))
        text += "Host: " + address + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string bytes;
    std::string firstLine;
    Headers answered;
    if (sendAll(socket, text)
        && receiveMessage(socket, bytes, begin + timeoutMs, firstLine, answered, reply.body)
        && firstLine.size() > 12)
        reply.status = std::atoi(firstLine.c_str() + 9);
    ::close(socket);
    reply.tookMs = nowMs() - begin;
    return reply;
}

bool Server::start(const std::string &ip, int port, Handler handler)
{
    m_handler = std::move(handler);
    m_listening = listenAt(ip, port);
    if (m_listening < 0)
        return false;
    m_thread = std::thread([this] {
        while (!m_isStopping) {
            pollfd one{m_listening, POLLIN, 0};
            if (::poll(&one, 1, 100) != 1)
                continue;
            const int socket = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
            m_threads.emplace_back([this, socket] { serve(socket); });
        }
    });
    return true;
}

void Server::serve(int socket)
{
    std::string bytes;
    std::string firstLine;
    Request request;
    while (!m_isStopping
           && receiveMessage(socket, bytes, nowMs() + 600'000, firstLine, request.headers,
                             request.body)) {
        std::istringstream words(firstLine);
        words >> request.method >> request.path;
        const auto [status, body] = m_handler(request);
        if (status == 0)
            continue;
        const std::string text = "HTTP/1.1 " + std::to_string(status)
                + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (!sendAll(socket, text))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    ::close(socket);
}

void Server::stop()
{
    if (m_isStopping.exchange(true))
        return;
    if (m_thread.joinable())
        m_thread.join();
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
        threads.swap(m_threads);
    }
    for (std::thread &thread : threads)
        thread.join();
    if (m_listening >= 0)
        ::close(m_listening);
}

bool Forwarder::start(const std::string &ip, int port, const std::string &targetIp)
{
    m_targetIp = targetIp;
    m_port = port;
    m_listening = listenAt(ip, port);
    if (m_listening < 0)
        return false;
    m_thread = std::thread([this] { run(); });
    return true;
}

void Forwarder::silenceOpenConnections()
{
    m_silence = true;
    waitFor(1000, [this] { return !m_silence; });
}

void Forwarder::run()
{
    std::vector<Link> links;
    while (!m_isStopping) {
        if (m_silence) {
            for (Link &link : links)
                link.isSilent = true;
            m_silence = false;
        }
        std::vector<pollfd> polled{{m_listening, POLLIN, 0}};
        std::vector<std::pair<std::size_t, int>> owners{{0, 0}};
        for (std::size_t index = 0; index < links.size(); ++index) {
            if (links[index].isSilent || links[index].isClosed)
                continue;
            for (int side = 0; side < 2; ++side) {
                polled.push_back({links[index].ends[side], POLLIN, 0});
                owners.emplace_back(index, side);
            }
        }
        if (::poll(polled.data(), polled.size(), 5) <= 0)
            continue;
        for (std::size_t index = 1; index < polled.size(); ++index) {
            Link &link = links[owners[index].first];
            if (polled[index].revents == 0 || link.isClosed)
                continue;
            const int side = owners[index].second;
            char chunk[65536];
            const ssize_t count = ::recv(link.ends[side], chunk, sizeof(chunk), 0);
            if (count > 0 && sendAll(link.ends[1 - side], std::string(chunk, std::size_t(count))))
                continue;
            ::close(link.ends[0]);
            ::close(link.ends[1]);
            link.isClosed = true;
        }
        if (polled[0].revents != 0) {
            const int one = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
            const int other = one < 0 ? -1 : connectTo(m_targetIp, m_port, 300);
            if (one >= 0 && other >= 0)
                links.push_back({{one, other}, false, false});
            else if (one >= 0)
                ::close(one);
        }
    }
    for (const Link &link : links) {
        if (!link.isClosed) {
            ::close(link.ends[0]);
            ::close(link.ends[1]);
        }
    }
}

void Forwarder::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    if (m_listening >= 0)
        ::close(std::exchange(m_listening, -1));
}

std::size_t RunBook::began(const std::string &worker, const std::string &task, std::uint64_t run)
{
    m_record.line("run begins: task=" + task + " run=" + std::to_string(run) + " worker=" + worker);
    const std::lock_guard lock(m_mutex);
    m_starts.push_back({worker, task, run, nowMs(), -1, {}});
    return m_starts.size() - 1;
}

void RunBook::ended(std::size_t index, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    Start &start = m_starts[index];
    start.endedAt = nowMs();
    start.how = how;
    m_record.line("run ends: task=" + start.task + " run=" + std::to_string(start.run)
                  + " worker=" + start.worker + " how=" + how);
}

void RunBook::noted(std::size_t index)
{
    const std::lock_guard lock(m_mutex);
    Start &start = m_starts[index];
    start.notedAt = nowMs();
    m_record.line("end taken note of by last_seen: task=" + start.task + " run="
                  + std::to_string(start.run) + " worker=" + start.worker + " how=" + start.how);
}

std::vector<Start> RunBook::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::vector<Start> RunBook::ofJob(const std::string &job) const
{
    std::vector<Start> starts = all();
    std::erase_if(starts, [&job](const Start &each) { return !each.task.starts_with(job + '.'); });
    return starts;
}

std::vector<std::pair<Start, Start>> RunBook::overlaps() const
{
    const std::vector<Start> starts = all();
    std::vector<std::pair<Start, Start>> found;
    for (std::size_t one = 0; one < starts.size(); ++one) {
        for (std::size_t two = one + 1; two < starts.size(); ++two) {
            const bool stillRan = starts[one].endedAt < 0 || starts[one].endedAt > starts[two].at;
            if (starts[one].task == starts[two].task && stillRan)
                found.emplace_back(starts[one], starts[two]);
        }
    }
    return found;
}

Worker::Worker(WorkerOptions options, std::vector<std::string> controls, RunBook &runs,
               Record &record)
    : m_options(std::move(options))
    , m_controls(std::move(controls))
    , m_book(runs)
    , m_record(record)
    , m_born(unixMs())
    , m_startedAt(nowMs())
{}

bool Worker::start()
{
    if (!m_server.start(m_options.ip, m_options.port,
                        [this](const Request &request) { return handle(request); }))
        return false;
    m_ticker = std::thread([this] {
        while (!m_isStopping) {
            tick();
            sleepMs(5);
        }
    });
    m_beater = std::thread([this] { heartbeats(); });
    return true;
}

void Worker::stop()
{
    if (m_isStopping.exchange(true))
        return;
    m_changed.notify_all();
    if (m_ticker.joinable())
        m_ticker.join();
    if (m_beater.joinable())
        m_beater.join();
    m_server.stop();
}

std::int64_t Worker::clock() const
{
    return nowMs() - m_startedAt;
}

std::size_t Worker::runningCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

void Worker::failAllUntil(std::int64_t until)
{
    const std::lock_guard lock(m_mutex);
    m_failUntil = until;
    std::vector<std::string> tasks;
    for (const auto &[task, run] : m_runs)
        tasks.push_back(task);
    for (const std::string &task : tasks)
        end(task, "failed");
    m_changed.notify_all();
}

void Worker::end(const std::string &task, const char *how)
{
    const Run run = m_runs.at(task);
    m_runs.erase(task);
    m_closedRuns[task] = std::max(m_closedRuns[task], run.number);
    m_ends.push_back({++m_lastEnd, task, run.number, how, run.index});
    m_book.ended(run.index, how);
    m_delaysCalls = std::exchange(m_delaysAfterEnd, false) || m_delaysCalls;
    m_changed.notify_all();
}

void Worker::tick()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, const char *>> ends;
    for (const auto &[task, run] : m_runs) {
        if (clock() >= m_leaseUntil)
            ends.emplace_back(task, "lapsed");
        else if (nowMs() < m_failUntil)
            ends.emplace_back(task, "failed");
        else if (nowMs() >= run.endsAt)
            ends.emplace_back(task, "done");
    }
    for (const auto &[task, how] : ends)
        end(task, how);
}

std::pair<int, std::string> Worker::answer(int status, Json::Value json)
{
    json["clock_ms"] = Json::Int64(clock());
    json["born"] = Json::Int64(m_born);
    return {status, toText(json)};
}

std::pair<int, std::string> Worker::refuse(const char *reason)
{
    Json::Value json;
    json["reason"] = reason;
    return answer(409, json);
}

void Worker::delayCallsAfterNextEnd()
{
    const std::lock_guard lock(m_mutex);
    m_delaysAfterEnd = true;
}

void Worker::answerCalls()
{
    const std::lock_guard lock(m_mutex);
    m_delaysCalls = false;
}

std::size_t Worker::delayedCount(const std::string &path) const
{
    const std::lock_guard lock(m_mutex);
    return std::size_t(std::count_if(m_delayed.begin(), m_delayed.end(),
                                     [&path](const Request &each) { return each.path == path; }));
}

void Worker::carryOutDelayed(const std::string &path)
{
    std::unique_lock lock(m_mutex);
    for (const Request &request : m_delayed) {
        if (request.path != path)
            continue;
        m_record.line(m_options.id + " carries out late: POST " + path + ' ' + request.body);
        carryOut(request, lock, false);
    }
}

void Worker::restart(std::int64_t silentMs)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[task, run] : m_runs)
        m_book.ended(run.index, "crashed");
    m_runs.clear();
    m_closedRuns.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseUntil = 0;
    m_sequence = 0;
    m_born = unixMs();
    m_startedAt = nowMs();
    m_silentUntil = nowMs() + silentMs;
    m_record.line(m_options.id
                  + " crashes and starts again under its id: born=" + std::to_string(m_born));
}

std::pair<int, std::string> Worker::handle(const Request &request)
{
    std::unique_lock lock(m_mutex);
    if (m_delaysCalls && (request.path == "/run-start" || request.path == "/hold")) {
        m_record.line(m_options.id + " leaves unanswered: POST " + request.path + ' '
                      + request.body);
        m_delayed.push_back(request);
        return {0, {}};
    }
    return carryOut(request, lock, true);
}

std::pair<int, std::string> Worker::carryOut(const Request &request,
                                             std::unique_lock<std::mutex> &lock, bool mayWait)
{
    Json::Value json;
    if (!parse(request.body, json) || !json.isObject())
        return answer(400, {});
    const auto target = request.headers.find("target-instance");
    if (target != request.headers.end() && target->second != m_options.id)
        return answer(421, {});
    const std::uint64_t fence = json.get("fence", 0).asUInt64();
    if (fence < m_fence)
        return refuse("fence");
    m_fence = fence;
    const std::int64_t until
            = std::min<std::int64_t>(json.get("until_ms", 0).asInt64(), clock() + MaxHoldMs);
    if (request.path == "/hold") {
        m_leaseUntil = std::max(m_leaseUntil, until);
        const std::uint64_t seen = json.get("last_seen", 0).asUInt64();
        for (const End &each : m_ends) {
            if (each.number <= seen)
                m_book.noted(each.index);
        }
        std::erase_if(m_ends, [seen](const End &each) { return each.number <= seen; });
        const std::int64_t wait
                = mayWait ? std::min(json.get("wait_ms", 0).asInt64(), Json::Int64(2000)) : 0;
        m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                           [this] { return !m_ends.empty() || m_isStopping; });
        Json::Value lists;
        lists["running"] = Json::Value(Json::arrayValue);
        lists["ended"] = Json::Value(Json::arrayValue);
        for (const auto &[task, run] : m_runs) {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(Json::UInt64(run.number));
            row.append("");
            row.append(100);
            row.append(1000);
            lists["running"].append(row);
        }
        for (const End &each : m_ends) {
            if (lists["ended"].size() == MaxEndsListed)
                break;
            Json::Value row(Json::arrayValue);
            row.append(Json::UInt64(each.number));
            row.append(each.task);
            row.append(Json::UInt64(each.run));
            row.append(each.how);
            row.append("");
            lists["ended"].append(row);
        }
        return answer(200, lists);
    }
    const std::string task = json["task"].asString();
    const std::uint64_t number = json["run"].asUInt64();
    const auto running = m_runs.find(task);
    if (request.path == "/run-stop") {
        if (running != m_runs.end() && running->second.number <= number)
            end(task, "stopped");
        m_closedRuns[task] = std::max(m_closedRuns[task], number);
        return answer(200, {});
    }
    if (request.path != "/run-start")
        return answer(404, {});
    if (running != m_runs.end() && running->second.number == number) {
        m_leaseUntil = std::max(m_leaseUntil, until);
        return answer(200, {});
    }
    const auto closed = m_closedRuns.find(task);
    if (running != m_runs.end() || (closed != m_closedRuns.end() && number <= closed->second)) {
        m_leaseUntil = std::max(m_leaseUntil, until);
        return refuse("old");
    }
    if (until <= clock())
        return refuse("late");
    m_leaseUntil = std::max(m_leaseUntil, until);
    const std::string spec = json["spec"].asString();
    const std::size_t work = spec.find("ms=");
    const std::int64_t workMs
            = work == std::string::npos ? 500 : std::atoll(spec.c_str() + work + 3);
    m_runs[task] = {number, nowMs() + workMs, m_book.began(m_options.id, task, number)};
    return answer(200, {});
}

void Worker::heartbeats()
{
    std::size_t turn = std::hash<std::string>()(m_options.id) % m_controls.size();
    std::string next;
    while (!m_isStopping) {
        std::unique_lock lock(m_mutex);
        if (nowMs() < m_silentUntil) {
            lock.unlock();
            sleepMs(10);
            continue;
        }
        const std::int64_t born = m_born;
        Json::Value json;
        json["service"] = m_options.service;
        json["addr"] = m_options.ip + ':' + std::to_string(m_options.port);
        json["zone"] = m_options.zone;
        json["version"] = "v1";
        json["slots"] = 8;
        json["state"] = "ready";
        json["cold_left_ms"] = 0;
        json["capacity"]["cpu"] = Json::Int64(m_options.cpu);
        json["capacity"]["mem_mb"] = Json::Int64(m_options.memory);
        json["capacity"]["gpu"] = 0;
        json["labels"].append(m_options.kind);
        json["labels"].append(m_options.rack);
        json["clock_ms"] = Json::Int64(clock());
        json["born"] = Json::Int64(m_born);
        json["seq"] = Json::UInt64(++m_sequence);
        lock.unlock();
        const std::string to = next.empty() ? m_controls[turn % m_controls.size()] : next;
        const Reply reply = call(to, "POST", "/instances/" + m_options.id + "/heartbeat", {},
                                 toText(json), 1000);
        if (reply.status < 200 || reply.status >= 300) {
            next.clear();
            ++turn;
            sleepMs(50);
            continue;
        }
        Json::Value answered;
        if (parse(reply.body, answered) && answered["heartbeat_addr"].isString())
            next = answered["heartbeat_addr"].asString();
        // The next life sends its first heartbeat without waiting for its turn.
        const auto isSameLife = [this, born] {
            const std::lock_guard guard(m_mutex);
            return m_born == born;
        };
        for (std::int64_t left = HeartbeatMs; left > 0 && !m_isStopping && isSameLife(); left -= 10)
            sleepMs(10);
    }
}

bool Adviser::start(const std::string &ip, int port, double decideMs, double eachMs, int validMs)
{
    return m_server.start(ip, port, [=, this](const Request &request) {
        Json::Value json;
        if (!parse(request.body, json) || !json["workers"].isArray())
            return std::pair<int, std::string>(400, "{}");
        sleepMs(std::int64_t(decideMs + eachMs * json["workers"].size()));
        Json::Value advice;
        advice["valid_ms"] = validMs;
        advice["good"] = Json::Value(Json::arrayValue);
        for (const Json::Value &worker : json["workers"]) {
            Json::Value row(Json::arrayValue);
            row.append(worker);
            row.append("t-" + json["step"].asString() + '-' + worker.asString());
            advice["good"].append(row);
        }
        return std::pair<int, std::string>(200, toText(advice));
    });
}

Cell::Cell(CellOptions options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
{
    // A block of addresses of its own, so that scripts can run side by side.
    for (int turn = 0; turn < 150; ++turn) {
        m_block = 50 + (int(::getpid()) + turn) % 150;
        const int probe = listenAt(ip(1, 1), ControlPort);
        const int other = listenAt(ip(9, 250), AdviserPort);
        if (probe >= 0)
            ::close(probe);
        if (other >= 0)
            ::close(other);
        if (probe >= 0 && other >= 0)
            break;
    }
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr)
        m_folder = name;
}

std::string Cell::ip(int third, int number) const
{
    return "127." + std::to_string(m_block) + '.' + std::to_string(third) + '.'
            + std::to_string(number);
}

std::vector<std::string> Cell::controls() const
{
    std::vector<std::string> addresses;
    for (int number = 1; number <= m_options.keepers; ++number)
        addresses.push_back(ip(1, number) + ':' + std::to_string(ControlPort));
    return addresses;
}

std::vector<std::string> Cell::fronts() const
{
    std::vector<std::string> addresses;
    for (int number = 0; number < m_options.entries; ++number)
        addresses.push_back(ip(1, 101 + number) + ':' + std::to_string(FrontPort));
    return addresses;
}

bool Cell::start()
{
    if (m_folder.empty())
        return false;
    for (const int entry : m_options.forwardedEntries) {
        m_forwarders[entry] = std::make_unique<Forwarder>();
        if (!m_forwarders[entry]->start(ip(1, 101 + entry), PeerPort, ip(2, 101 + entry)))
            return false;
    }
    for (int number = 1; number <= m_options.keepers; ++number)
        spawn("core-z" + std::to_string(number) + "-1", true, number, {});
    for (int entry = 0; entry < m_options.entries; ++entry)
        spawn("edge-z" + std::to_string(entry + 1) + "-1", false, 101 + entry,
              m_options.forwardedEntries.contains(entry) ? ip(2, 101 + entry) : std::string());
    return true;
}

void Cell::spawn(const std::string &name, bool isKeeper, int number, const std::string &peerIp)
{
    const std::string own = ip(1, number);
    Json::Value json;
    json["node"] = name;
    json["role"] = isKeeper ? "keeper" : "entry";
    json["machine_class"] = isKeeper ? "core" : "edge";
    json["serves"].append(isKeeper ? "control" : "edge");
    json["ip"] = own;
    json["zone"] = "z" + std::to_string(number % 100);
    json["region"] = "one";
    if (isKeeper) {
        json["listen"]["control"] = own + ':' + std::to_string(ControlPort);
        json["data_dir"] = m_folder + '/' + name;
        std::filesystem::create_directories(m_folder + '/' + name);
    } else {
        json["listen"]["front"] = own + ':' + std::to_string(FrontPort);
        json["listen"]["ready"] = own + ':' + std::to_string(ReadyPort);
        json["data_dir"] = Json::Value();
    }
    json["port_range"].append(PeerPort);
    json["port_range"].append(LastPeerPort);
    for (const std::string &control : controls())
        json["seeds"].append(control);
    json["bootstrap"] = true;
    json["counts_as_loss"] = isKeeper;
    json["discovery"] = "registry";
    json["entry"] = "vip";
    json["heartbeat_ms"] = HeartbeatMs;
    json["fault_tolerance"]["machines"] = 1;
    json["fault_tolerance"]["zones"] = 1;
    json["fault_tolerance"]["regions"] = 0;
    json["bounds"]["status_s"] = 120;
    json["bounds"]["contact_ms"] = 3000;
    json["bounds"]["config_apply_ms"] = 2000;
    json["bounds"]["visible_ms"] = 3000;
    json["bounds"]["finish_s"] = 14;
    json["config_mode"] = "highest";
    json["orders"] = "call";
    json["advice"] = adviserIp() + ':' + std::to_string(AdviserPort);
    const std::string settings = m_folder + '/' + name + ".json";
    std::ofstream(settings) << toText(json);
    const std::string log = m_folder + '/' + name + ".log";
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::setenv("GENTIANCROSS_BOOT", settings.c_str(), 1);
        ::setenv("GENTIANCROSS_FLEET_SECRET", "between-hosts-of-one-cell", 1);
        if (peerIp.empty())
            ::execl("target/gentiancross", "target/gentiancross", "cell", nullptr);
        else
            ::execl("target/gentiancross", "target/gentiancross", "cell", "--peer-ip",
                    peerIp.c_str(), nullptr);
        ::_exit(127);
    }
    m_processes[name] = child;
    m_record.line("process started: " + name);
}

void Cell::stop()
{
    for (auto &[name, process] : m_processes) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    m_processes.clear();
    m_forwarders.clear();
    if (!m_folder.empty() && std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
    else if (!m_folder.empty())
        std::cerr << "logs: " << m_folder << '\n';
    m_folder.clear();
}

bool Cell::areAllRunning()
{
    bool areRunning = true;
    for (auto &[name, process] : m_processes) {
        if (::waitpid(process, nullptr, WNOHANG) == 0)
            continue;
        m_record.line("process ended by itself: " + name);
        areRunning = false;
    }
    return areRunning;
}

bool Cell::putConfiguration(const Json::Value &document, std::int64_t timeoutMs)
{
    const std::string body = toText(document);
    const std::vector<std::string> all = controls();
    std::size_t turn = 0;
    return waitFor(timeoutMs, [&] {
        const Reply reply = call(all[turn++ % all.size()], "POST", "/config/put", {}, body, 1000);
        m_record.line("operator: POST /config/put version=" + document["version"].asString()
                      + " -> " + std::to_string(reply.status));
        return reply.status == 200;
    });
}

bool Cell::waitUntilReady(std::int64_t timeoutMs)
{
    return waitFor(timeoutMs, [&] {
        for (int entry = 0; entry < m_options.entries; ++entry) {
            const std::string ready = ip(1, 101 + entry) + ':' + std::to_string(ReadyPort);
            if (call(ready, "GET", "/ready", {}, {}, 1000).status != 200)
                return false;
        }
        return true;
    });
}

Json::Value makeConfiguration(std::uint64_t version, const std::vector<RouteOptions> &routes,
                              const std::vector<TenantOptions> &tenants)
{
    Json::Value json;
    json["version"] = Json::UInt64(version);
    json["routes"] = Json::Value(Json::arrayValue);
    for (const RouteOptions &each : routes) {
        Json::Value route;
        route["name"] = each.name;
        route["host"] = QueueHost;
        route["path_prefix"] = each.prefix;
        route["kind"] = "unsafe";
        route["timeout_ms"] = 3000;
        route["target_runtime_ms"] = each.targetRuntimeMs;
        route["priority"] = each.priority;
        route["service"] = ServiceName;
        route["max_attempts"] = each.maxAttempts;
        route["stretch"] = 2.2;
        if (each.hasAdvice) {
            route["advice"]["decide_ms"] = 24.0;
            route["advice"]["each_ms"] = 0.34;
            route["advice"]["valid_ms"] = 2000;
        }
        route["public"] = false;
        json["routes"].append(route);
    }
    Json::Value service;
    service["name"] = ServiceName;
    service["health_path"] = "/health";
    service["max_conns"] = 64;
    service["protocol"] = "h1";
    service["tls"] = false;
    service["enforces_capacity"] = false;
    service["spare"] = false;
    json["services"].append(service);
    json["limits"]["max_header_bytes"] = 16384;
    json["limits"]["max_body_bytes"] = 262144;
    json["limits"]["header_timeout_ms"] = 3000;
    json["limits"]["idle_timeout_ms"] = 15000;
    for (const TenantOptions &each : tenants) {
        Json::Value tenant;
        tenant["name"] = each.name;
        tenant["api_keys"] = Json::Value(Json::arrayValue);
        for (const std::string &key : each.keys)
            tenant["api_keys"].append(key);
        tenant["priority"] = 1;
        tenant["weight"] = 10;
        tenant["cap"]["cpu"] = Json::Int64(each.capCpu);
        tenant["cap"]["mem_mb"] = 0;
        tenant["cap"]["gpu"] = 0;
        json["tenants"].append(tenant);
    }
    return json;
}

Reply clientCall(Record &record, const std::string &front, const std::string &method,
                 const std::string &path, const std::string &key, const std::string &body)
{
    constexpr int DeadlineMs = 3000;
    record.line("client: " + method + ' ' + path + " key=" + key + " to " + front
                + (body.empty() ? std::string() : " body=" + body));
    const Reply reply = call(front, method, path,
                             {{"Host", QueueHost},
                              {"Authorization", "Token " + key},
                              {"Deadline-Ms", std::to_string(DeadlineMs)}},
                             body, DeadlineMs);
    record.line("client: " + method + ' ' + path + " -> "
                + (reply.status == 0 ? std::string("no answer") : std::to_string(reply.status))
                + ' ' + reply.body + " after " + std::to_string(reply.tookMs) + " ms");
    return reply;
}

std::string stateIn(const Reply &reply)
{
    Json::Value json;
    return reply.status == 200 && parse(reply.body, json) && json["state"].isString()
            ? json["state"].asString()
            : std::string();
}

int runCase(int argc, char **argv, Outcome (*play)(Record &))
{
    if (argc != 2)
        return CouldNotRun;
    ::signal(SIGPIPE, SIG_IGN);
    // The processes end with this one.
    ::alarm(MaxSeconds);
    ::signal(SIGALRM, [](int) { ::_exit(CouldNotRun); });
    Record record(std::string(argv[1]) + "/record.txt");
    record.line(hasTrouble() ? "with the disruption" : "without the disruption");
    const Outcome outcome = play(record);
    const char *const words[] = {"the rule held", "THE RULE WAS BROKEN", "the case could not run"};
    record.line(words[outcome]);
    std::cout << words[outcome] << '\n';
    return outcome;
}

} // namespace review
