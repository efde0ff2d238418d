#include "main/entry_host.h"

#include "control/host_reducer.h"
#include "core/error.h"
#include "drivers/http_client.h"
#include "drivers/journal_file.h"
#include "drivers/log.h"
#include "drivers/main_loop.h"
#include "drivers/random.h"
#include "drivers/system_clock.h"
#include "main/host_store.h"
#include "servers/connection_monitor.h"
#include "servers/control_thread.h"
#include "servers/effect_router.h"
#include "servers/http_frontend.h"
#include "servers/journal_writer.h"
#include "servers/metrics.h"
#include "servers/peer_link.h"
#include "servers/start_order_sender.h"

#include <csignal>
#include <cstdlib>
#include <memory>

namespace gentiancross {

namespace {

/** Posts ticks and signals as events; called on the main thread. */
class EntryMainLoopHandler final : public MainLoopHandler
{
public:
    EntryMainLoopHandler(EventSink &events, ConnectionMonitor &connections)
        : m_events(events)
        , m_connections(connections)
    {}

    void handleTick() override
    {
        m_events.post(Ticked{});
        m_connections.tick();
    }

    void handleSignal(int) override { m_events.post(ShutdownRequested{}); }

private:
    EventSink &m_events;
    ConnectionMonitor &m_connections;
};

HostReducerOptions makeReducerOptions(const ServeSettings &settings, const Identity &identity)
{
    HostReducerOptions options;
    options.directory = settings.directory;
    options.identity = identity;
    options.operatorKey = hashKey(settings.operatorKey, settings.peers.fleetSecret);
    options.keyGrace = settings.keyGrace;
    options.drainNotice = settings.drainNotice;
    options.seed = generateRandomSeed();
    return options;
}

} // namespace

absl::Status runEntryHost(const ServeSettings &settings)
{
    startLog(settings.logFormat, settings.directory.self.value());
    JournalFile journal;
    absl::StatusOr<RecoveredHost> host
            = openStore(settings.directory.self, settings.dataFolder, journal);
    if (!host.ok())
        return host.status();

    const SystemClock clock;
    HostReducer root(makeReducerOptions(settings, host->identity));
    ControlThread control(root, clock);
    Metrics metrics;
    JournalWriter journalWriter(journal, control, metrics, &exitAfterDiskFailure);
    HttpClient client;
    ByteBudget decodedCalls(deriveDecodedCallBytes());
    PeerLink peers(settings.peers, control, decodedCalls);
    StartOrderSender startOrders(client, clock, control);
    ConnectionBudget connections(deriveConnectionLimits());
    ConnectionMonitor connectionMonitor(connections, clock);
    HttpFrontend frontend(settings.frontend, settings.peers, client, peers, clock, control, metrics,
                          connections);
    EntryMainLoopHandler handler(control, connectionMonitor);
    MainLoop mainLoop(handler);
    EffectRouter router({frontend, peers, startOrders,
                         settings.dataFolder.empty() ? nullptr : &journalWriter,
                         [&mainLoop] { mainLoop.stop(); }});
    control.setEffectHandler(&router);

    mainLoop.watchSignal(SIGTERM);
    mainLoop.watchSignal(SIGINT);

    control.post(std::move(host->recovered));
    journalWriter.start();
    peers.start();
    control.start();
    absl::Status status = frontend.start();
    if (status.ok()) {
        logInfo(host->identity.replica.value(), "serving");
        mainLoop.run();
        logInfo(host->identity.replica.value(), "stopping");
    }
    control.stop();
    frontend.stop();
    client.stop();
    peers.stop();
    journalWriter.stop();
    return status;
}

} // namespace gentiancross
