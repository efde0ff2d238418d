#include "drivers/http_client.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <ace/Task.h>
#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gentiancross {

namespace {

constexpr int MaxPollMilliseconds = 1000;
constexpr long ConnectTimeoutMilliseconds = 700;
/** Two for each worker of a large cell; uses half of a small host's file descriptors. */
constexpr long MaxIdleConnections = 2048;
/** Handles kept for reuse; more are only needed in bursts. */
constexpr std::size_t MaxIdleHandles = 64;
constexpr int MaxReadySockets = 64;
constexpr std::size_t MaxResponseBytes = 64 << 20;

std::string trimmed(std::string text)
{
    const auto isSpace = [](unsigned char character) { return std::isspace(character) != 0; };
    text.erase(text.begin(), std::find_if_not(text.begin(), text.end(), isSpace));
    text.erase(std::find_if_not(text.rbegin(), text.rend(), isSpace).base(), text.end());
    return text;
}

/** Converts epoll events to libcurl's select flags. */
int toCurlMask(std::uint32_t events)
{
    int mask = 0;
    if ((events & EPOLLIN) != 0)
        mask |= CURL_CSELECT_IN;
    if ((events & EPOLLOUT) != 0)
        mask |= CURL_CSELECT_OUT;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0)
        mask |= CURL_CSELECT_ERR;
    return mask;
}

} // namespace

class HttpClient::Implementation final : public ACE_Task_Base
{
public:
    explicit Implementation(long maxConnectionsPerPeer)
        : m_multi(curl_multi_init())
        , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
        , m_wakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, maxConnectionsPerPeer);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        updateEpoll(EPOLL_CTL_ADD, m_wakeEvent, EPOLLIN);
        activate();
    }

    ~Implementation() override
    {
        stop();
        for (CURL *const easy : m_idleHandles)
            curl_easy_cleanup(easy);
        curl_multi_cleanup(m_multi);
        ::close(m_wakeEvent);
        ::close(m_epoll);
    }

    void start(HttpCall call, Completion completion);
    void stop();
    int svc() override;

private:
    using SteadyClock = std::chrono::steady_clock;

    struct Transfer
    {
        HttpCall call;
        Completion completion;
        CURL *easy = nullptr;
        curl_slist *headers = nullptr;
        std::string body;
        Headers responseHeaders;
        bool tooLarge = false;
        bool hasExpired = false;
        /** True once the library was allowed to send the request; it may send it again on another
         * connection. */
        bool mayHaveBeenSent = false;
        bool wasResent = false;
        SteadyClock::time_point deadline;
        /** True if part of the response was read since the deadlines were last checked. */
        bool hasProgress = false;
    };

    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *data);
    static int onTimer(CURLM *multi, long milliseconds, void *self);
    static int onRequest(void *target, char *remote, char *local, int remotePort, int localPort);
    static size_t onBody(char *data, size_t size, size_t count, void *target);
    static size_t onHeader(char *data, size_t size, size_t count, void *target);
    void updateEpoll(int operation, int socket, std::uint32_t events) const;
    void wakeUp() const;
    [[nodiscard]] int pollTimeoutMilliseconds() const;
    /** Returns true if all data that had arrived was read. */
    bool pollSockets();
    /** Ends the calls whose deadline had passed at \a moment, unless their response is still being
     * received. Precondition: all data that had arrived by then was read. */
    void endOverdueCalls(SteadyClock::time_point moment);
    void beginQueuedCalls();
    void beginCall(std::unique_ptr<Transfer> transfer);
    void finishCompletedCalls();
    void finishCall(CURL *easy, CURLcode code);
    void removeDeadline(const Transfer &transfer);
    static HttpResult makeExpiredResult(const Transfer &transfer);
    static HttpResult takeResult(Transfer &transfer, CURLcode code);
    static bool isComplete(const Transfer &transfer);

    CURLM *m_multi;
    int m_epoll;
    /** Event descriptor; readable when calls were added or the client is to stop. */
    int m_wakeEvent;
    /** When the library's next timer is due. */
    std::optional<SteadyClock::time_point> m_nextTimer;
    /** Reset for each call, which costs less than creating new handles. */
    std::vector<CURL *> m_idleHandles;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Transfer>> m_queued;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> m_running;
    /** Deadlines of the running calls. Not left to the library, which handles its time-outs before
     * it reads data that has already arrived. */
    std::multimap<SteadyClock::time_point, CURL *> m_deadlines;
    bool m_stopping = false;
};

void HttpClient::Implementation::start(HttpCall call, Completion completion)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->completion = std::move(completion);
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        isFirst = m_queued.empty();
        m_queued.push_back(std::move(transfer));
    }
    if (isFirst)
        wakeUp();
}

void HttpClient::Implementation::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    wakeUp();
    wait();
}

void HttpClient::Implementation::wakeUp() const
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, in which case the thread wakes up anyway.
    [[maybe_unused]] const ssize_t written = ::write(m_wakeEvent, &one, sizeof(one));
}

void HttpClient::Implementation::updateEpoll(int operation, int socket, std::uint32_t events) const
{
    epoll_event event = {};
    event.events = events;
    event.data.fd = socket;
    ::epoll_ctl(m_epoll, operation, socket, &event);
}

int HttpClient::Implementation::onSocket(CURL *, curl_socket_t socket, int what, void *self,
                                         void *data)
{
    auto &client = *static_cast<Implementation *>(self);
    if (what == CURL_POLL_REMOVE) {
        client.updateEpoll(EPOLL_CTL_DEL, socket, 0);
        return 0;
    }
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0)
        events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0)
        events |= EPOLLOUT;
    client.updateEpoll(data == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, events);
    // Any non-null value marks the socket as registered with epoll.
    curl_multi_assign(client.m_multi, socket, self);
    return 0;
}

int HttpClient::Implementation::onTimer(CURLM *, long milliseconds, void *self)
{
    auto &client = *static_cast<Implementation *>(self);
    client.m_nextTimer.reset();
    if (milliseconds >= 0)
        client.m_nextTimer = SteadyClock::now() + std::chrono::milliseconds(milliseconds);
    return 0;
}

int HttpClient::Implementation::pollTimeoutMilliseconds() const
{
    constexpr std::chrono::milliseconds MaxPoll(MaxPollMilliseconds);
    SteadyClock::time_point next = SteadyClock::now() + MaxPoll;
    if (m_nextTimer.has_value())
        next = std::min(next, *m_nextTimer);
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.begin()->first);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(next - SteadyClock::now());
    return std::max(static_cast<int>(left.count()), 0);
}

int HttpClient::Implementation::svc()
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                break;
        }
        beginQueuedCalls();
        const SteadyClock::time_point before = SteadyClock::now();
        const bool hasReadAll = pollSockets();
        finishCompletedCalls();
        if (hasReadAll)
            endOverdueCalls(before);
    }
    while (!m_running.empty())
        finishCall(m_running.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    return 0;
}

bool HttpClient::Implementation::pollSockets()
{
    std::array<epoll_event, MaxReadySockets> ready;
    // Timers run last, so that a response that has arrived is read before its call can time out.
    const int count
            = ::epoll_wait(m_epoll, ready.data(), MaxReadySockets, pollTimeoutMilliseconds());
    int running = 0;
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = ready[static_cast<std::size_t>(index)];
        if (event.data.fd == m_wakeEvent) {
            std::uint64_t wakes = 0;
            [[maybe_unused]] const ssize_t got = ::read(m_wakeEvent, &wakes, sizeof(wakes));
            continue;
        }
        curl_multi_socket_action(m_multi, event.data.fd, toCurlMask(event.events), &running);
    }
    const bool hasReadAll = count < MaxReadySockets;
    if (hasReadAll && m_nextTimer.has_value() && *m_nextTimer <= SteadyClock::now()) {
        m_nextTimer.reset();
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    return hasReadAll;
}

void HttpClient::Implementation::endOverdueCalls(SteadyClock::time_point moment)
{
    std::vector<CURL *> overdue;
    for (const auto &[deadline, easy] : m_deadlines) {
        if (deadline > moment)
            break;
        Transfer &transfer = *m_running.at(easy);
        const std::chrono::milliseconds timeout(transfer.call.timeout.value());
        // A large response is read in several iterations, so a call that makes progress may take
        // up to twice its timeout.
        const bool isBeingRead
                = std::exchange(transfer.hasProgress, false) && moment < deadline + timeout;
        if (!isBeingRead)
            overdue.push_back(easy);
    }
    for (CURL *const easy : overdue)
        finishCall(easy, CURLE_OPERATION_TIMEDOUT);
}

void HttpClient::Implementation::beginQueuedCalls()
{
    std::vector<std::unique_ptr<Transfer>> added;
    {
        const std::lock_guard lock(m_mutex);
        added.swap(m_queued);
    }
    for (auto &transfer : added)
        beginCall(std::move(transfer));
}

void HttpClient::Implementation::beginCall(std::unique_ptr<Transfer> transfer)
{
    // Also checked here, so that a call that is already invalid does not open a connection.
    if (transfer->call.isValid && !transfer->call.isValid()) {
        transfer->completion(makeExpiredResult(*transfer));
        return;
    }
    CURL *easy = nullptr;
    if (m_idleHandles.empty()) {
        easy = curl_easy_init();
    } else {
        easy = m_idleHandles.back();
        m_idleHandles.pop_back();
        curl_easy_reset(easy);
    }
    transfer->easy = easy;
    for (const auto &[name, value] : transfer->call.headers)
        transfer->headers
                = curl_slist_append(transfer->headers, absl::StrCat(name, ": ", value).c_str());
    // Without this header the library waits for "100 Continue" before it sends a large body.
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, transfer->call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer->call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMilliseconds);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, transfer->call.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, transfer->call.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Implementation::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Implementation::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    if (transfer->call.body != nullptr) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->call.body->data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(transfer->call.body->size()));
    }
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Implementation::onRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    curl_multi_add_handle(m_multi, easy);
    transfer->deadline
            = SteadyClock::now() + std::chrono::milliseconds(transfer->call.timeout.value());
    m_deadlines.emplace(transfer->deadline, easy);
    m_running.emplace(easy, std::move(transfer));
}

int HttpClient::Implementation::onRequest(void *target, char *, char *, int, int)
{
    auto &transfer = *static_cast<Transfer *>(target);
    transfer.hasExpired = transfer.call.isValid && !transfer.call.isValid();
    if (transfer.hasExpired)
        return CURL_PREREQFUNC_ABORT;
    transfer.wasResent = transfer.mayHaveBeenSent;
    transfer.mayHaveBeenSent = true;
    return CURL_PREREQFUNC_OK;
}

size_t HttpClient::Implementation::onBody(char *data, size_t size, size_t count, void *target)
{
    auto &transfer = *static_cast<Transfer *>(target);
    transfer.tooLarge = transfer.body.size() + size * count > MaxResponseBytes;
    if (transfer.tooLarge)
        return 0;
    transfer.body.append(data, size * count);
    transfer.hasProgress = true;
    return size * count;
}

size_t HttpClient::Implementation::onHeader(char *data, size_t size, size_t count, void *target)
{
    auto &transfer = *static_cast<Transfer *>(target);
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        transfer.responseHeaders[name] = trimmed(line.substr(colon + 1));
    }
    return size * count;
}

void HttpClient::Implementation::finishCompletedCalls()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            finishCall(message->easy_handle, message->data.result);
    }
}

void HttpClient::Implementation::finishCall(CURL *easy, CURLcode code)
{
    auto node = m_running.extract(easy);
    Transfer &transfer = *node.mapped();
    removeDeadline(transfer);
    HttpResult result = takeResult(transfer, code);
    long opened = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &opened);
    result.newConnections = static_cast<std::uint32_t>(opened);
    curl_multi_remove_handle(m_multi, easy);
    if (m_idleHandles.size() < MaxIdleHandles)
        m_idleHandles.push_back(easy);
    else
        curl_easy_cleanup(easy);
    curl_slist_free_all(transfer.headers);
    transfer.completion(std::move(result));
}

void HttpClient::Implementation::removeDeadline(const Transfer &transfer)
{
    const auto [first, last] = m_deadlines.equal_range(transfer.deadline);
    const auto found = std::find_if(
            first, last, [&](const auto &entry) { return entry.second == transfer.easy; });
    m_deadlines.erase(found);
}

bool HttpClient::Implementation::isComplete(const Transfer &transfer)
{
    // The library verifies a declared length or chunked encoding. A response that is delimited only
    // by the end of its connection cannot be told from a truncated one.
    const bool hasLength = transfer.responseHeaders.contains("content-length");
    const auto encoding = transfer.responseHeaders.find("transfer-encoding");
    return hasLength
            || (encoding != transfer.responseHeaders.end() && encoding->second == "chunked");
}

HttpResult HttpClient::Implementation::makeExpiredResult(const Transfer &transfer)
{
    HttpResult result;
    result.hasExpired = true;
    result.error = makeError(absl::StatusCode::kDeadlineExceeded, Step::Network, transfer.call.url,
                             "the call was too old to be sent");
    return result;
}

HttpResult HttpClient::Implementation::takeResult(Transfer &transfer, CURLcode code)
{
    // An earlier copy may have been executed, whatever happened to the library's resend.
    if (transfer.hasExpired && !transfer.mayHaveBeenSent)
        return makeExpiredResult(transfer);
    HttpResult result;
    result.wasResent = transfer.wasResent;
    if (code != CURLE_OK || !isComplete(transfer)) {
        const std::string what
                = code == CURLE_OK ? "the answer's end was not told" : curl_easy_strerror(code);
        result.outcome = transfer.mayHaveBeenSent ? CallOutcome::Broken : CallOutcome::NotSent;
        result.error
                = makeError(absl::StatusCode::kUnavailable, Step::Network, transfer.call.url, what);
        return result;
    }
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    result.outcome = CallOutcome::Answered;
    result.response.status = static_cast<int>(status);
    result.response.headers = std::move(transfer.responseHeaders);
    result.response.body = std::make_shared<const std::string>(std::move(transfer.body));
    return result;
}

HttpClient::HttpClient(long maxConnectionsPerPeer)
    : m_implementation(std::make_unique<Implementation>(maxConnectionsPerPeer))
{}

HttpClient::~HttpClient() = default;

void HttpClient::start(HttpCall call, Completion completion)
{
    m_implementation->start(std::move(call), std::move(completion));
}

void HttpClient::stop()
{
    m_implementation->stop();
}

} // namespace gentiancross
