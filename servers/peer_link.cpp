#include "servers/peer_link.h"

#include "core/job_size.h"
#include "core/record_size.h"
#include "drivers/log.h"
#include "drivers/text_codec.h"
#include "servers/submission_memory.h"

#include <absl/strings/numbers.h>

namespace gentiancross {

namespace {

constexpr char DeliverMethod[] = "deliver";
constexpr long CallTimeoutMilliseconds = 1000;
/** A message of some MiB takes up to a second on a busy link, and nothing else waits for it. */
constexpr long LargeCallTimeoutMilliseconds = 5000;
constexpr std::size_t MaxQueuedMessages = 2000;
constexpr std::size_t SmallMessageBytes = 512;
/** Approximate size of one run in a worker's list. */
constexpr std::size_t RunEntryBytes = 96;

/** A batch is split before it exceeds this size, unless it is a single message. Decoded, a call
 * takes about fifteen times the memory of its text. */
constexpr std::size_t MaxCallBytes = 512 << 10;

/** The links of entry hosts are slow: a larger submission would hold up the calls of other callers.
 */
constexpr std::size_t MaxSmallSubmissionBytes = 64 << 10;

/** Estimates the encoded size of a message. Large messages are large because of their records, and
 * senders limit batches of records by the same estimate. */
std::size_t encodedBytes(const PeerMessage &message)
{
    std::size_t bytes = SmallMessageBytes;
    if (const auto *entries = std::get_if<AppendRequest>(&message)) {
        for (const SharedEntry &entry : entries->entries)
            bytes += gentiancross::encodedBytes(*entry);
        return bytes;
    }
    if (const auto *request = std::get_if<RelayCallRequest>(&message)) {
        const auto *const job = std::get_if<JobCall>(&request->call);
        const bool hasSpec = job != nullptr && job->spec.has_value();
        return bytes
                + (hasSpec ? static_cast<std::size_t>(
                           gentiancross::encodedBytes(*job->spec).value())
                           : 0);
    }
    if (const auto *orders = std::get_if<WorkerOrders>(&message)) {
        for (const CallWorker &call : orders->calls) {
            const auto *start = std::get_if<OrderStart>(&call.order);
            bytes += SmallMessageBytes + (start == nullptr ? 0 : start->payload->size());
        }
        return bytes;
    }
    if (const auto *answers = std::get_if<WorkerAnswers>(&message)) {
        for (const WorkerAnswer &answer : answers->answers)
            bytes += SmallMessageBytes
                    + (answer.running.size() + answer.ended.size()) * RunEntryBytes;
        return bytes;
    }
    const auto *append = std::get_if<MirrorAppend>(&message);
    if (append == nullptr)
        return bytes;
    bytes += gentiancross::encodedBytes(append->records);
    if (append->piece.has_value())
        bytes += gentiancross::encodedBytes(append->piece->records);
    return bytes;
}

std::size_t encodedBytes(const SharedDocument &document)
{
    constexpr std::size_t Copies = 2; // As its source and as the parsed values.
    return document.has_value() ? Copies * document->source.size() : 0;
}

/** True for a message that may take so long to send that the small messages to the same peer, such
 * as orders for workers, must not wait for it. The protocols of these messages tolerate that others
 * overtake them. */
bool isLarge(const PeerMessage &message)
{
    if (const auto *entries = std::get_if<AppendRequest>(&message))
        return !entries->entries.empty() && encodedBytes(message) > MaxCallBytes;
    if (const auto *request = std::get_if<RelayCallRequest>(&message)) {
        const auto *const put = std::get_if<PutConfiguration>(&request->call);
        return put == nullptr ? encodedBytes(message) > MaxSmallSubmissionBytes
                              : encodedBytes(put->document) > MaxCallBytes;
    }
    if (const auto *response = std::get_if<RelayCallResponse>(&message)) {
        const auto *const report = std::get_if<ConfigurationReport>(&response->answer);
        return report != nullptr && report->source.size() > MaxCallBytes;
    }
    return std::holds_alternative<InstallSnapshot>(message);
}

/** Returns true for "ip:port". Checked before a sender is created, so that a malformed host name
 * does not start a thread. */
bool isAddress(const std::string &host)
{
    const std::size_t colon = host.find(':');
    std::uint32_t port = 0;
    return colon != std::string::npos && colon > 0 && host.find_first_not_of("0123456789.") == colon
            && absl::SimpleAtoi(host.substr(colon + 1), &port) && port > 0 && port <= UINT16_MAX;
}

void writeMessage(std::string &text, const SendToPeer &message)
{
    text += '[' + std::to_string(message.logicalTime) + ',';
    codec::write(text, message.message);
    text += ']';
}

bool readMessage(simdjson::ondemand::value json, PeerMessageReceived &event)
{
    JsonItems items(json);
    simdjson::ondemand::value item;
    return items.next(item) && codec::read(item, event.logicalTime) && items.next(item)
            && codec::read(item, event.message) && items.isAtEnd();
}

/** Reads a batch. Returns false if anything in it can't be read; \a events is then unspecified. */
bool readBatch(const std::string &text, std::vector<PeerMessageReceived> &events)
{
    JsonCursor cursor(text);
    simdjson::ondemand::value item;
    if (!cursor.open(item))
        return false;
    JsonItems items(item);
    HostId from;
    if (!items.next(item) || !codec::read(item, from))
        return false;
    while (items.next(item)) {
        PeerMessageReceived &event = events.emplace_back();
        event.from = from;
        if (!readMessage(item, event))
            return false;
    }
    return items.isAtEnd() && cursor.isAtEnd() && !events.empty();
}

/** Decodes a batch by a tree, and drops the messages that can't be decoded. Returns false if the
 * batch as a whole is malformed. */
bool decodeEach(const std::string &text, std::vector<PeerMessageReceived> &events)
{
    Json::Value batch;
    HostId from;
    if (!codec::parseJson(text, batch) || !batch.isArray() || batch.size() < 2
        || !codec::decode(batch[0], from))
        return false;
    for (Json::ArrayIndex index = 1; index < batch.size(); ++index) {
        PeerMessageReceived event;
        event.from = from;
        const Json::Value &json = batch[index];
        const bool isValid = json.isArray() && json.size() == 2
                && codec::decode(json[0], event.logicalTime)
                && codec::decode(json[1], event.message);
        if (isValid)
            events.push_back(std::move(event));
        else
            logWarning(from.value(), "peer link: message dropped: it could not be decoded");
    }
    return true;
}

} // namespace

/** Owns the queue, the RPC client and the sending thread of one peer. */
class PeerLink::Sender final : public ACE_Task_Base
{
public:
    Sender(HostId self, HostId peer, const RpcTarget &target)
        : m_self(std::move(self))
        , m_peer(std::move(peer))
        , m_client(target)
        , m_queue(MaxQueuedMessages)
    {}

    ~Sender() override { stop(); }

    void put(SendToPeer message) { m_queue.put(std::move(message)); }

    void stop()
    {
        m_queue.close();
        wait();
    }

    int svc() override
    {
        while (true) {
            // Freed before the next wait, since a batch may hold some MB.
            const std::vector<SendToPeer> batch = m_queue.takeAll();
            if (batch.empty())
                return 0;
            send(batch);
        }
    }

private:
    /** Sends the messages in order, in calls of bounded size. */
    void send(const std::vector<SendToPeer> &batch)
    {
        std::string text = emptyCall();
        std::size_t bytes = 0;
        for (const SendToPeer &message : batch) {
            const std::size_t size = encodedBytes(message.message);
            if (bytes > 0 && bytes + size > MaxCallBytes) {
                call(text + ']');
                text = emptyCall();
                bytes = 0;
            }
            bytes += size;
            text += ',';
            writeMessage(text, message);
        }
        call(text + ']');
    }

    [[nodiscard]] std::string emptyCall() const { return '[' + codec::encode(m_self); }

    void call(const std::string &text)
    {
        const std::string error = m_client.notify(DeliverMethod, text);
        // Only the first failure after a success is logged, since every call to a peer that is down
        // fails.
        if (error.empty() != m_wasReachable && !error.empty())
            logWarning(m_peer.value(), "peer link: call failed: " + error);
        m_wasReachable = error.empty();
    }

    HostId m_self;
    HostId m_peer;
    RpcClient m_client;
    WorkQueue<SendToPeer> m_queue;
    bool m_wasReachable = true;
};

PeerLink::PeerLink(PeerAddresses addresses, EventSink &events, ByteBudget &decodedCalls)
    : m_addresses(std::move(addresses))
    , m_events(events)
    , m_decodedCalls(decodedCalls)
    , m_dispatcher(DeliverMethod, [this](const std::string &batch) { receive(batch); })
{
    for (const auto &[peer, address] : m_addresses.addresses)
        addSender(m_senders, peer, address, CallTimeoutMilliseconds);
}

PeerLink::Sender &PeerLink::addSender(Senders &senders, const HostId &peer,
                                      const std::string &address, long timeout)
{
    const RpcTarget target{"http://" + address + "/rpc", m_addresses.fleetSecret, timeout};
    return *senders.emplace(peer, std::make_unique<Sender>(m_addresses.self, peer, target))
                    .first->second;
}

PeerLink::Sender *PeerLink::findSender(const SendToPeer &message)
{
    const bool isBulk = isLarge(message.message);
    Senders &senders = isBulk ? m_largeSenders : m_senders;
    const auto sender = senders.find(message.to);
    if (sender != senders.end())
        return sender->second.get();
    const auto listed = m_addresses.addresses.find(message.to);
    const bool isListed = listed != m_addresses.addresses.end();
    if (!isListed && !m_addresses.hostsAreAddresses)
        return nullptr;
    if (!isListed && !isAddress(message.to.value())) {
        logWarning(message.to.value(),
                   "peer link: message dropped: the host name is not an address (ip:port)");
        return nullptr;
    }
    Sender &added = addSender(senders, message.to, isListed ? listed->second : message.to.value(),
                              isBulk ? LargeCallTimeoutMilliseconds : CallTimeoutMilliseconds);
    added.activate();
    return &added;
}

PeerLink::~PeerLink() = default;

void PeerLink::start()
{
    for (auto &[peer, sender] : m_senders)
        sender->activate();
}

void PeerLink::stop()
{
    for (Senders *const senders : {&m_senders, &m_largeSenders}) {
        for (auto &[peer, sender] : *senders)
            sender->stop();
    }
}

void PeerLink::carryOut(Effect effect)
{
    auto message = std::get<SendToPeer>(std::move(effect));
    if (Sender *const sender = findSender(message))
        sender->put(std::move(message));
}

std::string PeerLink::dispatch(const std::string &request)
{
    const std::lock_guard lock(m_dispatchMutex);
    return m_dispatcher.dispatch(request);
}

bool PeerLink::decodeBatch(const std::string &text, std::vector<PeerMessageReceived> &events)
{
    if (readBatch(text, events))
        return true;
    events.clear();
    return decodeEach(text, events);
}

void PeerLink::receive(const std::string &text)
{
    std::vector<PeerMessageReceived> events;
    if (!decodeBatch(text, events)) {
        logWarning("peer link", "call dropped: it could not be decoded");
        return;
    }
    for (PeerMessageReceived &event : events) {
        if (auto *const relayed = std::get_if<RelayCallRequest>(&event.message))
            reserveMemory(relayed->call, m_decodedCalls);
        m_events.post(std::move(event));
    }
}

} // namespace gentiancross
