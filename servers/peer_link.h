#pragma once

#include "drivers/byte_budget.h"
#include "drivers/rpc/rpc_client.h"
#include "drivers/rpc/rpc_dispatcher.h"
#include "servers/event_sink.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace gentiancross {

/** The addresses and credentials for reaching the other entry hosts. */
struct PeerAddresses
{
    HostId self;
    /** "ip:port" of each other host's peer listener. */
    std::map<HostId, std::string> addresses;
    std::string fleetSecret;
    /** True if the name of an unlisted host is itself its address. */
    bool hostsAreAddresses = false;
};

/**
 * Owns the senders to the other entry hosts, and receives their messages. Each peer has its
 * own sending thread, so that an unresponsive peer does not delay the others; messages queued
 * during a call are batched into the next. A message that can't be sent is dropped, since the
 * protocols retransmit where needed. Large messages have a sender of their own, so that small ones
 * to the same peer overtake them. Thread safety: carryOut from the control thread, dispatch from
 * any thread.
 */
class PeerLink final : public EffectHandler
{
public:
    /** The decoded calls that other hosts relay count against \a decodedCalls. Both references must
     * outlive this object. */
    PeerLink(PeerAddresses addresses, EventSink &events, ByteBudget &decodedCalls);
    ~PeerLink() override;

    void start();
    void stop();
    /** Handles SendToPeer effects. */
    void carryOut(Effect effect) override;
    /** Handles one call from a peer and returns the response text. */
    std::string dispatch(const std::string &request);

private:
    class Sender;

    using Senders = std::map<HostId, std::unique_ptr<Sender>>;

    Sender &addSender(Senders &senders, const HostId &peer, const std::string &address,
                      long timeout);
    /** The sender for the message, started if need be; null if its receiver has no address. */
    Sender *findSender(const SendToPeer &message);
    void receive(const std::string &text);
    /** Returns false if the batch as a whole is malformed. Drops messages that can't be decoded. */
    static bool decodeBatch(const std::string &text, std::vector<PeerMessageReceived> &events);

    PeerAddresses m_addresses;
    EventSink &m_events;
    ByteBudget &m_decodedCalls;
    Senders m_senders;
    /** Senders of large messages, made when there is a first one. */
    Senders m_largeSenders;
    std::mutex m_dispatchMutex;
    RpcDispatcher m_dispatcher;
};

} // namespace gentiancross
