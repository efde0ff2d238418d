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

/** Turns ticks and signals into events. */
class EntryPulse final : public MainLoopHandler
{
public:
    explicit EntryPulse(EventSink &events)
        : m_events(events)
    {}

    void handleTick() override { m_events.post(Ticked{}); }
    void handleSignal(int) override { m_events.post(ShutdownRequested{}); }

private:
    EventSink &m_events;
};

HostReducerOptions rootOptions(const ServeSettings &settings, const Identity &identity)
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
    absl::StatusOr<Beginning> beginning
            = openStore(settings.directory.self, settings.dataFolder, journal);
    if (!beginning.ok())
        return beginning.status();

    const SystemClock clock;
    HostReducer root(rootOptions(settings, beginning->identity));
    ControlThread control(root, clock);
    Metrics metrics;
    JournalWriter journalServer(journal, control, metrics, &exitAfterDiskFailure);
    HttpClient client;
    PeerLink peers(settings.peers, control);
    StartOrderSender targets(client, clock, control);
    HttpFrontend front(settings.front, settings.peers, client, peers, clock, control, metrics);
    EntryPulse listener(control);
    MainLoop mainLoop(listener);
    EffectRouter router({front, peers, targets,
                         settings.dataFolder.empty() ? nullptr : &journalServer,
                         [&mainLoop] { mainLoop.stop(); }});
    control.setEffectHandler(&router);

    mainLoop.watchSignal(SIGTERM);
    mainLoop.watchSignal(SIGINT);

    control.post(std::move(beginning->recovered));
    journalServer.start();
    peers.start();
    control.start();
    absl::Status status = front.start();
    if (status.ok()) {
        logInfo(beginning->identity.replica.value(), "serving");
        mainLoop.run();
        logInfo(beginning->identity.replica.value(), "ended");
    }
    control.stop();
    front.stop();
    client.stop();
    peers.stop();
    journalServer.stop();
    return status;
}

} // namespace gentiancross
