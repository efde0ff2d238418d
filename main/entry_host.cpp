#include "main/entry_host.h"

#include "control/root.h"
#include "core/error.h"
#include "drivers/http_client.h"
#include "drivers/journal_file.h"
#include "drivers/log.h"
#include "drivers/random.h"
#include "drivers/system_clock.h"
#include "main/host_store.h"
#include "servers/control_server.h"
#include "servers/effect_router.h"
#include "servers/front_server.h"
#include "servers/journal_server.h"
#include "servers/metrics.h"
#include "servers/peer_link.h"
#include "servers/target_link.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Sig_Handler.h>
#include <ace/Signal.h>

#include <csignal>
#include <cstdlib>
#include <memory>

namespace gentiancross {

namespace {

constexpr long TickMicroseconds = 50'000;

/** Turns the reactor's timer and signals into events. */
class Pulse final : public ACE_Event_Handler
{
public:
    Pulse(ACE_Reactor &reactor, EventSink &events)
        : ACE_Event_Handler(&reactor)
        , m_events(events)
    {}

    int handle_timeout(const ACE_Time_Value &, const void *) override
    {
        m_events.post(Ticked{});
        return 0;
    }

    int handle_signal(int, siginfo_t *, ucontext_t *) override
    {
        // The reactor calls this between its waits, not inside the signal.
        m_events.post(ShutdownRequested{});
        return 0;
    }

private:
    EventSink &m_events;
};

RootOptions rootOptions(const ServeSettings &settings, const Identity &identity)
{
    RootOptions options;
    options.directory = settings.directory;
    options.identity = identity;
    options.operatorKey = hashKey(settings.operatorKey, settings.peers.fleetSecret);
    options.keyGrace = settings.keyGrace;
    options.drainNotice = settings.drainNotice;
    options.seed = randomSeed();
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
    Root root(rootOptions(settings, beginning->identity));
    ControlServer control(root, clock);
    Metrics metrics;
    JournalServer journalServer(journal, control, metrics, &endAfterDiskFailure);
    HttpClient client;
    PeerLink peers(settings.peers, control);
    TargetLink targets(client, clock, control);
    FrontServer front(settings.front, settings.peers, client, peers, clock, control, metrics);
    ACE_Reactor reactor;
    Pulse pulse(reactor, control);
    EffectRouter router({front, peers, targets,
                         settings.dataFolder.empty() ? nullptr : &journalServer,
                         [&reactor] { reactor.end_reactor_event_loop(); }});
    control.setEffectHandler(&router);

    ACE_Sig_Set signals;
    signals.sig_add(SIGTERM);
    signals.sig_add(SIGINT);
    reactor.register_handler(signals, &pulse);
    const ACE_Time_Value interval(0, TickMicroseconds);
    reactor.schedule_timer(&pulse, nullptr, interval, interval);

    control.post(std::move(beginning->recovered));
    journalServer.start();
    peers.start();
    control.start();
    absl::Status status = front.start();
    if (status.ok()) {
        logInfo(beginning->identity.replica.value(), "serving");
        reactor.run_reactor_event_loop();
        logInfo(beginning->identity.replica.value(), "ended");
    }
    reactor.cancel_timer(&pulse);
    control.stop();
    front.stop();
    client.stop();
    peers.stop();
    journalServer.stop();
    return status;
}

} // namespace gentiancross
