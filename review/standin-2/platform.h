// Stand-ins for the platform: workers, adviser, operator and clients, as PROTOCOL.md describes them.
// Used only by the cases of this review.
#pragma once

#include <arpa/inet.h>
#include <json/json.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Writes record.txt: one line an event, with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(Clock::now())
    {}
    [[nodiscard]] std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start)
                .count();
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const std::int64_t now = nowMs();
        std::fprintf(m_file, "%7.3f %s\n", double(now) / 1000, text.c_str());
        std::fflush(m_file);
        std::printf("%7.3f %s\n", double(now) / 1000, text.c_str());
        std::fflush(stdout);
    }

private:
    std::FILE *m_file;
    Clock::time_point m_start;
    std::mutex m_mutex;
};

inline std::string toText(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

inline Json::Value fromText(const std::string &text)
{
    Json::Value json;
    std::string errors;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &json, &errors))
        return {};
    return json;
}

struct Answer
{
    /** 0: no complete answer. */
    int status = 0;
    std::string body;
    /** True if the whole request was sent. */
    bool wasSent = false;
    std::int64_t tookMs = 0;
};

inline int connectTo(const std::string &address, int timeoutMs)
{
    const std::size_t colon = address.find(':');
    sockaddr_in peer = {};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&peer), sizeof peer) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/** Sends one request on an open connection and reads the whole answer. */
inline Answer exchange(int fd, const std::string &method, const std::string &path,
                       const std::string &host, const std::string &headers,
                       const std::string &body, int timeoutMs)
{
    Answer answer;
    const Clock::time_point begin = Clock::now();
    const Clock::time_point end = begin + std::chrono::milliseconds(timeoutMs);
    const auto took = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin).count();
    };
    const std::string request = method + ' ' + path + " HTTP/1.1\r\nHost: " + host
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n" + headers + "\r\n" + body;
    std::size_t sent = 0;
    while (sent < request.size()) {
        const ssize_t count
                = ::send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return answer;
        sent += std::size_t(count);
    }
    answer.wasSent = true;
    std::string text;
    std::size_t head = std::string::npos;
    std::size_t length = 0;
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
        pollfd waiting{fd, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&waiting, 1, int(left.count())) <= 0)
            break;
        char chunk[16384];
        const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
        if (count <= 0)
            break;
        text.append(chunk, std::size_t(count));
        if (head == std::string::npos) {
            head = text.find("\r\n\r\n");
            if (head == std::string::npos)
                continue;
            std::string lower = text.substr(0, head);
            for (char &c : lower)
                c = char(std::tolower(static_cast<unsigned char>(c)));
            const std::size_t at = lower.find("content-length:");
            length = at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15));
        }
        if (text.size() >= head + 4 + length) {
            answer.status = std::stoi(text.substr(9, 3));
            answer.body = text.substr(head + 4, length);
            break;
        }
    }
    answer.tookMs = took();
    return answer;
}

inline Answer call(const std::string &address, const std::string &method, const std::string &path,
                   const std::string &host, const std::string &headers, const std::string &body,
                   int timeoutMs)
{
    const int fd = connectTo(address, timeoutMs);
    if (fd < 0)
        return {};
    Answer answer = exchange(fd, method, path, host, headers, body, timeoutMs);
    ::close(fd);
    return answer;
}

/** An HTTP server with one thread a connection. */
class Server
{
public:
    struct Request
    {
        std::string method;
        std::string path;
        std::string target;
        std::string body;
    };
    /** Returns status and body; status 0 closes the connection without an answer. */
    using Handler = std::function<std::pair<int, std::string>(const Request &)>;

    Server(std::string ip, std::uint16_t port, Handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handler(std::move(handler))
    {}
    ~Server() { stop(); }

    bool start()
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_port);
        inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
        m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
                                            | MHD_USE_POLL,
                                    m_port, nullptr, nullptr, &Server::onAccess, this,
                                    MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&address),
                                    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
        return m_daemon != nullptr;
    }
    void stop()
    {
        if (m_daemon != nullptr)
            MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }

private:
    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *, const char *data, size_t *size,
                               void **context)
    {
        auto *const server = static_cast<Server *>(self);
        auto *request = static_cast<Request *>(*context);
        if (request == nullptr) {
            *context = request = new Request{method, url, {}, {}};
            const char *target
                    = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Target-Instance");
            request->target = target == nullptr ? "" : target;
            return MHD_YES;
        }
        if (*size > 0) {
            request->body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        const auto [status, body] = server->m_handler(*request);
        delete request;
        *context = nullptr;
        if (status == 0)
            return MHD_NO;
        MHD_Response *const response = MHD_create_response_from_buffer(
                body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", "application/json");
        const MHD_Result result
                = MHD_queue_response(connection, static_cast<unsigned int>(status), response);
        MHD_destroy_response(response);
        return result;
    }

    std::string m_ip;
    std::uint16_t m_port;
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
};

/** Where the keepers take heartbeats. */
using Addresses = std::vector<std::string>;

/** One worker. A lasting task's spec is "lasts"; any other spec is the run time in ms, after "fails "
 * for a task that fails then. */
class Worker
{
public:
    Worker(Record &record, std::string id, std::string ip, std::uint16_t port, std::string service,
           std::string zone, std::string rack, int cpu, int memory, Addresses keepers,
           std::string kind = "a")
        : m_record(record)
        , m_id(std::move(id))
        , m_address(ip + ':' + std::to_string(port))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_rack(std::move(rack))
        , m_cpu(cpu)
        , m_memory(memory)
        , m_keepers(std::move(keepers))
        , m_kind(std::move(kind))
        , m_server(ip, port, [this](const Server::Request &request) { return receive(request); })
    {}
    ~Worker() { stop(); }

    bool start()
    {
        m_born = wallMs();
        m_begun = Clock::now();
        if (!m_server.start())
            return false;
        m_threads.emplace_back([this] { beat(); });
        m_threads.emplace_back([this] { tick(); });
        return true;
    }
    /** The worker is lost: it answers nothing and runs nothing. */
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isDown = true;
            for (const auto &[task, run] : m_runs)
                m_record.line(m_id + " lost with " + task + " run " + std::to_string(run.number));
            m_runs.clear();
        }
        m_changed.notify_all();
    }
    /** A lost worker starts again under its id; it holds and knows nothing of before. Its first
     * heartbeat follows after \a firstBeatMs. */
    void restart(std::int64_t firstBeatMs)
    {
        const std::lock_guard lock(m_mutex);
        m_highestEnded.clear();
        m_ends.clear();
        m_lastEnd = 0;
        m_sequence = 0;
        m_fence = 0;
        m_leaseUntil = 0;
        m_born = std::max(wallMs(), m_born + 1);
        m_begun = Clock::now();
        m_nextBeat = Clock::now() + std::chrono::milliseconds(firstBeatMs);
        m_isDown = false;
        ++m_life;
        m_record.line(m_id + " starts again under its id");
    }
    /** Cuts the worker off from all keepers, both ways, or joins it again. It runs on meanwhile; what
     * was sent to it is lost. */
    void setCut(bool isCut)
    {
        const std::lock_guard lock(m_mutex);
        m_isCut = isCut;
        m_record.line(m_id + (isCut ? " is cut off" : " is joined again"));
    }
    /** Numbers of the ends that it lists. */
    std::size_t listedEnds()
    {
        const std::lock_guard lock(m_mutex);
        return m_ends.size();
    }
    /** Delivers an order that was held on its way. */
    std::pair<int, std::string> deliver(const std::string &path, const std::string &body)
    {
        return handle({"POST", path, m_id, body});
    }
    void stop()
    {
        if (m_isStopping.exchange(true))
            return;
        m_changed.notify_all();
        m_server.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }
    /** Ends a run by its own fault. */
    void fail(const std::string &task)
    {
        const std::lock_guard lock(m_mutex);
        if (m_runs.contains(task))
            end(task, "failed");
    }
    /** Tasks that run, with their run numbers. */
    std::map<std::string, std::uint64_t> running()
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::string, std::uint64_t> tasks;
        for (const auto &[task, run] : m_runs)
            tasks[task] = run.number;
        return tasks;
    }
    [[nodiscard]] const std::string &id() const { return m_id; }
    /** Called for each start that is carried out, with the spec of the order. */
    std::function<void(const std::string &task, std::uint64_t run, const std::string &spec)> onStart;
    /** What lies between the keepers and the worker: returns true if it holds the order, which gets
     * no response then. Set before the start. */
    std::function<bool(const Server::Request &)> holdBack;
    /** Returns false if the ticket does not allow the step here. */
    std::function<bool(const std::string &task, const std::string &ticket)> checkTicket;

private:
    struct Run
    {
        std::uint64_t number = 0;
        /** On this worker's clock; 0: it lasts. */
        std::int64_t endsAt = 0;
        bool fails = false;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    [[nodiscard]] std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begun)
                .count();
    }
    void end(const std::string &task, const char *how)
    {
        const std::uint64_t run = m_runs.at(task).number;
        m_runs.erase(task);
        m_highestEnded[task] = std::max(m_highestEnded[task], run);
        m_ends.push_back({++m_lastEnd, task, run, how});
        m_record.line(m_id + " ended " + task + " run " + std::to_string(run) + ' ' + how);
        m_changed.notify_all();
    }
    std::pair<int, std::string> reply(int status, Json::Value json) const
    {
        json["clock_ms"] = Json::Int64(clockMs());
        json["born"] = Json::Int64(m_born);
        return {status, toText(json)};
    }
    std::pair<int, std::string> refuse(const char *reason) const
    {
        Json::Value json;
        json["reason"] = reason;
        return reply(409, json);
    }
    std::pair<int, std::string> receive(const Server::Request &request)
    {
        if (holdBack && holdBack(request)) {
            for (int waited = 0; waited < 3000 && !m_isStopping; waited += 50)
                sleepMs(50); // Longer than the caller's time-out.
            return {0, {}};
        }
        bool wasCut = false;
        {
            const std::lock_guard lock(m_mutex);
            wasCut = m_isCut;
        }
        for (int waited = 0; wasCut && waited < 3000 && !m_isStopping; waited += 50)
            sleepMs(50);
        return wasCut ? std::pair<int, std::string>() : handle(request);
    }
    std::pair<int, std::string> handle(const Server::Request &request)
    {
        std::unique_lock lock(m_mutex);
        // A worker that is lost answers nothing; the caller's time-out ends the call.
        const std::uint64_t life = m_life;
        while (m_isDown && !m_isStopping)
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        if (m_isStopping || m_life != life)
            return {0, {}};
        if (request.target != m_id)
            return reply(421, Json::Value(Json::objectValue));
        const Json::Value body = fromText(request.body);
        if (!body.isObject())
            return reply(400, Json::Value(Json::objectValue));
        const std::uint64_t fence = body.get("fence", 0).asUInt64();
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (request.path == "/run-start")
            return startRun(body);
        if (request.path == "/run-stop") {
            const std::string task = body["task"].asString();
            const std::uint64_t run = body["run"].asUInt64();
            if (m_runs.contains(task) && m_runs.at(task).number == run)
                end(task, "stopped");
            m_highestEnded[task] = std::max(m_highestEnded[task], run);
            return reply(200, Json::Value(Json::objectValue));
        }
        if (request.path != "/hold")
            return reply(404, Json::Value(Json::objectValue));
        extendLease(body);
        const std::uint64_t seen = body.get("last_seen", 0).asUInt64();
        std::erase_if(m_ends, [seen](const End &each) { return each.number <= seen; });
        const auto until = Clock::now()
                + std::chrono::milliseconds(std::min(body.get("wait_ms", 0).asInt(), 2000));
        while (m_ends.empty() && !m_isStopping && !m_isDown && Clock::now() < until)
            m_changed.wait_until(lock, until);
        while (m_isDown && !m_isStopping)
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        if (m_isStopping || m_life != life || m_isCut)
            return {0, {}};
        Json::Value lists;
        lists["running"] = Json::Value(Json::arrayValue);
        lists["ended"] = Json::Value(Json::arrayValue);
        for (const auto &[task, run] : m_runs) {
            Json::Value row;
            row.append(task);
            row.append(Json::UInt64(run.number));
            row.append("");
            row.append(100);
            row.append(0);
            lists["running"].append(row);
        }
        for (const End &each : m_ends) {
            if (lists["ended"].size() >= 500)
                break;
            Json::Value row;
            row.append(Json::UInt64(each.number));
            row.append(each.task);
            row.append(Json::UInt64(each.run));
            row.append(each.how);
            row.append("");
            lists["ended"].append(row);
        }
        return reply(200, lists);
    }
    void extendLease(const Json::Value &body)
    {
        if (body.isMember("until_ms"))
            m_leaseUntil = std::max(m_leaseUntil, std::min<std::int64_t>(body["until_ms"].asInt64(),
                                                                         clockMs() + 10'000));
    }
    std::pair<int, std::string> startRun(const Json::Value &body)
    {
        const std::string task = body["task"].asString();
        const std::uint64_t number = body["run"].asUInt64();
        const std::string spec = body["spec"].asString();
        if (m_runs.contains(task) && m_runs.at(task).number == number) {
            extendLease(body);
            return reply(200, Json::Value(Json::objectValue));
        }
        if (m_runs.contains(task) || number <= m_highestEnded[task]) {
            extendLease(body);
            return refuse("old");
        }
        if (body["until_ms"].asInt64() <= clockMs())
            return refuse("late");
        if (checkTicket && !checkTicket(task, body.get("ticket", "").asString()))
            return refuse("ticket");
        extendLease(body);
        Run run;
        run.number = number;
        run.fails = spec.starts_with("fails ");
        if (spec != "lasts")
            run.endsAt = clockMs() + std::atoi(spec.c_str() + (run.fails ? 6 : 0));
        m_runs[task] = run;
        m_record.line(m_id + " started " + task + " run " + std::to_string(number));
        if (onStart)
            onStart(task, number, spec);
        return reply(200, Json::Value(Json::objectValue));
    }
    void tick()
    {
        while (!m_isStopping) {
            {
                const std::lock_guard lock(m_mutex);
                const std::int64_t now = clockMs();
                std::vector<std::string> done;
                std::vector<std::string> lapsed;
                for (const auto &[task, run] : m_runs) {
                    if (now >= m_leaseUntil)
                        lapsed.push_back(task);
                    else if (run.endsAt != 0 && now >= run.endsAt)
                        done.push_back(task);
                }
                for (const std::string &task : done)
                    end(task, m_runs.at(task).fails ? "failed" : "done");
                for (const std::string &task : lapsed)
                    end(task, "lapsed");
            }
            sleepMs(10);
        }
    }
    void beat()
    {
        std::size_t next = std::hash<std::string>()(m_id) % m_keepers.size();
        std::string named;
        while (!m_isStopping) {
            Json::Value json;
            {
                std::unique_lock lock(m_mutex);
                if (m_isDown || m_isCut || Clock::now() < m_nextBeat) {
                    named.clear();
                    lock.unlock();
                    sleepMs(10);
                    continue;
                }
                json["service"] = m_service;
                json["addr"] = m_address;
                json["zone"] = m_zone;
                json["version"] = "v1";
                json["slots"] = 8;
                json["state"] = "ready";
                json["cold_left_ms"] = 0;
                json["capacity"]["cpu"] = m_cpu;
                json["capacity"]["mem_mb"] = m_memory;
                json["capacity"]["gpu"] = 0;
                json["labels"].append(m_kind);
                json["labels"].append(m_rack);
                json["clock_ms"] = Json::Int64(clockMs());
                json["born"] = Json::Int64(m_born);
                json["seq"] = Json::UInt64(++m_sequence);
            }
            const std::string keeper = named.empty() ? m_keepers[next] : named;
            const Answer answer = call(keeper, "POST", "/instances/" + m_id + "/heartbeat", keeper,
                                       "", toText(json), 1000);
            if (answer.status / 100 == 2) {
                named = fromText(answer.body).get("heartbeat_addr", "").asString();
                const std::lock_guard lock(m_mutex);
                m_nextBeat = std::max(m_nextBeat, Clock::now() + std::chrono::milliseconds(1500));
            } else {
                named.clear();
                next = (next + 1) % m_keepers.size();
                sleepMs(100);
            }
        }
    }

    Record &m_record;
    const std::string m_id;
    const std::string m_address;
    const std::string m_service;
    const std::string m_zone;
    const std::string m_rack;
    const int m_cpu;
    const int m_memory;
    const Addresses m_keepers;
    const std::string m_kind;
    std::int64_t m_born = 0;
    Clock::time_point m_begun;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    bool m_isDown = false;
    bool m_isCut = false;
    std::uint64_t m_life = 1;
    Clock::time_point m_nextBeat;
    std::atomic<bool> m_isStopping{false};
    Server m_server;
    std::vector<std::thread> m_threads;
};

/** The adviser: \a allows says whether a worker may run a step. */
class Adviser
{
public:
    Adviser(std::string ip, std::uint16_t port,
            std::function<bool(const std::string &step, const std::string &worker)> allows,
            std::function<std::int64_t(const std::string &step, std::size_t workers)> timeMs,
            int validMs)
        : m_allows(std::move(allows))
        , m_timeMs(std::move(timeMs))
        , m_validMs(validMs)
        , m_server(std::move(ip), port,
                   [this](const Server::Request &request) { return handle(request); })
    {}
    bool start() { return m_server.start(); }
    void stop() { m_server.stop(); }
    bool isValid(const std::string &step, const std::string &worker, const std::string &ticket)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_tickets.find(ticket);
        return found != m_tickets.end() && found->second.step == step
                && found->second.worker == worker
                && Clock::now() <= found->second.issued + std::chrono::milliseconds(m_validMs);
    }

private:
    struct Ticket
    {
        std::string step;
        std::string worker;
        Clock::time_point issued;
    };
    std::pair<int, std::string> handle(const Server::Request &request)
    {
        const Json::Value body = fromText(request.body);
        const std::string step = body["step"].asString();
        sleepMs(m_timeMs(step, body["workers"].size()));
        Json::Value json;
        json["good"] = Json::Value(Json::arrayValue);
        json["valid_ms"] = m_validMs;
        const std::lock_guard lock(m_mutex);
        for (const Json::Value &worker : body["workers"]) {
            if (!m_allows(step, worker.asString()))
                continue;
            const std::string ticket = "t" + std::to_string(++m_last);
            m_tickets[ticket] = {step, worker.asString(), Clock::now()};
            Json::Value row;
            row.append(worker.asString());
            row.append(ticket);
            json["good"].append(row);
        }
        return {200, toText(json)};
    }

    std::function<bool(const std::string &, const std::string &)> m_allows;
    std::function<std::int64_t(const std::string &, std::size_t)> m_timeMs;
    int m_validMs;
    std::mutex m_mutex;
    std::uint64_t m_last = 0;
    std::map<std::string, Ticket> m_tickets;
    Server m_server;
};

/** The step's name in a task's name. */
inline std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace standin
