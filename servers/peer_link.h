#pragma once

#include "drivers/rpc/rpc_client.h"
#include "drivers/rpc/rpc_dispatcher.h"
#include "servers/event_sink.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace gentiancross {

/** How to reach the other entry hosts. */
struct PeerAddresses
{
    HostId self;
    /** "ip:port" of each other host's peer listener. */
    std::map<HostId, std::string> addresses;
    std::string fleetSecret;
    /** True if a host that is not listed is reached at the address that is its name. */
    bool hostsAreAddresses = false;
};

/**
 * Sends messages to the other entry hosts and takes theirs in. Each peer has a thread, so that one
 * that does not answer delays no other; messages that gather meanwhile go in one call. A message
 * that can't be sent is dropped: the protocols repeat what matters.
 * Thread safety: carryOut from the control thread, dispatch from any thread.
 */
class PeerLink final : public EffectHandler
{
public:
    PeerLink(PeerAddresses addresses, EventSink &events);
    ~PeerLink() override;

    void start();
    void stop();
    /** Takes SendToPeer effects. */
    void carryOut(Effect effect) override;
    /** Takes one call of a peer; returns the text to answer with. */
    std::string dispatch(const std::string &request);

private:
    class Sender;

    Sender &addSender(const HostId &peer, const std::string &address);
    void receive(const std::string &text);

    PeerAddresses m_addresses;
    EventSink &m_events;
    std::map<HostId, std::unique_ptr<Sender>> m_senders;
    std::mutex m_dispatchMutex;
    RpcDispatcher m_dispatcher;
};

} // namespace gentiancross
