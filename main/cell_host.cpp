#include "main/cell_host.h"

#include "control/jobs/cell_root.h"
#include "core/error.h"
#include "drivers/http_client.h"
#include "drivers/journal_file.h"
#include "drivers/log.h"
#include "drivers/main_loop.h"
#include "drivers/random.h"
#include "drivers/system_clock.h"
#include "main/host_store.h"
#include "platform/cell_frontend.h"
#include "platform/worker_caller.h"
#include "servers/cell_metrics.h"
#include "servers/control_thread.h"
#include "servers/effect_router.h"
#include "servers/journal_writer.h"
#include "servers/log_writer.h"
#include "servers/metrics.h"
#include "servers/peer_link.h"
#include "servers/peer_listener.h"

#include <absl/strings/str_cat.h>
#include <ace/OS_NS_sys_stat.h>

#include <csignal>
#include <cstdlib>

namespace gentiancross {

namespace {

/** One for the call that waits for ends and some for orders; new ones are dear for workers. */
constexpr long MostConnectionsPerWorker = 4;
/** The settings file may change without a signal, so it is looked at once a second. */
constexpr int TicksPerLook = 20;
/** Resends of a job come up to some seconds late; a job must still be known then. */
constexpr Milliseconds ResendMargin{30'000};

HostId hostAt(const std::string &ip, const platform::BootSettings &boot)
{
    return HostId(absl::StrCat(ip, ":", boot.firstPort));
}

std::vector<HostId> seedsOf(const platform::BootSettings &boot)
{
    std::vector<HostId> seeds;
    for (const platform::SocketAddress &seed : boot.seeds)
        seeds.push_back(hostAt(seed.ip, boot));
    return seeds;
}

/** Turns ticks, signals and changes of the settings file into events. */
class CellPulse final : public MainLoopHandler
{
public:
    CellPulse(EventSink &events, platform::CellFrontend &front, std::string bootPath)
        : m_events(events)
        , m_front(front)
        , m_bootPath(std::move(bootPath))
        , m_changedAt(changeTime())
    {}

    void handleTick() override
    {
        m_events.post(Ticked{});
        if (++m_ticks % TicksPerLook == 0 && changeTime() != m_changedAt)
            readAgain();
    }

    void handleSignal(int signal) override
    {
        if (signal == SIGHUP) {
            readAgain();
            return;
        }
        m_front.startDraining();
        m_events.post(ShutdownRequested{});
    }

private:
    [[nodiscard]] std::pair<time_t, long> changeTime() const
    {
        ACE_stat status;
        if (ACE_OS::stat(m_bootPath.c_str(), &status) != 0)
            return {};
        return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
    }

    void readAgain()
    {
        m_changedAt = changeTime();
        const absl::StatusOr<platform::BootSettings> boot = platform::readBootSettings(m_bootPath);
        if (boot.ok())
            m_events.post(SeedsRead{seedsOf(*boot)});
        else
            logWarning("reload", describeError(boot.status()));
    }

    EventSink &m_events;
    platform::CellFrontend &m_front;
    std::string m_bootPath;
    std::pair<time_t, long> m_changedAt;
    int m_ticks = 0;
};

CellOptions cellOptions(const platform::BootSettings &boot, const Identity &identity)
{
    CellOptions options;
    const HostId self = hostAt(boot.ip, boot);
    options.identity = identity;
    options.isKeeper = !boot.dataFolder.empty();
    options.seeds = seedsOf(boot);
    options.callsAdviser = !boot.adviser.empty();
    options.heartbeatAddress = boot.control;
    options.voters = 2 * std::size_t(boot.toleratedLosses) + 1;
    options.seed = generateRandomSeed();
    if (boot.jobStatusRetention > Milliseconds(0))
        options.jobRetention = boot.jobStatusRetention + ResendMargin;
    options.directory.self = self;
    options.directory.hosts.emplace(
            self, HostInfo{self, DataCentreId(boot.dataCentre), options.isKeeper});
    for (const HostId &seed : options.seeds)
        options.directory.hosts.try_emplace(seed, HostInfo{seed, DataCentreId(), true});
    if (boot.isFirstStart)
        options.directory.initialVoters = options.seeds;
    return options;
}

} // namespace

absl::Status runCellHost(const CellSettings &settings)
{
    const platform::BootSettings &boot = settings.boot;
    startLog(LogFormat::Json, boot.node, LogStream::StandardOutput);
    JournalFile journal;
    absl::StatusOr<Beginning> beginning
            = openStore(hostAt(boot.ip, boot), boot.dataFolder, journal);
    if (!beginning.ok())
        return beginning.status();

    const SystemClock clock;
    CellRoot root(cellOptions(boot, beginning->identity));
    ControlThread control(root, clock);
    Metrics metrics;
    JournalWriter journalServer(journal, control, metrics, &exitAfterDiskFailure);
    LogWriter log;
    CellMetrics cellMetrics(log);
    HttpClient client(MostConnectionsPerWorker);
    PeerLink peers({hostAt(boot.ip, boot), {}, settings.fleetSecret, true}, control);
    PeerListener peerListener(peers, settings.fleetSecret);
    platform::WorkerCaller workers(client, clock, control, boot.adviser);
    platform::CellFrontend front(boot, clock, control, metrics, cellMetrics);
    CellPulse listener(control, front, settings.bootPath);
    MainLoop mainLoop(listener);
    EffectRouter router({front, peers, workers, boot.dataFolder.empty() ? nullptr : &journalServer,
                         [&mainLoop] { mainLoop.stop(); }, &workers, &log, &cellMetrics});
    control.setEffectHandler(&router);

    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        mainLoop.watchSignal(signal);

    control.post(std::move(beginning->recovered));
    log.start();
    journalServer.start();
    peers.start();
    control.start();
    absl::Status status = peerListener.start(settings.peerIp, boot.firstPort);
    if (status.ok())
        status = front.start();
    if (status.ok()) {
        logInfo("start", absl::StrCat("serving as ", beginning->identity.replica.value()));
        mainLoop.run();
    }
    front.stop();
    control.stop();
    peerListener.stop();
    client.stop();
    peers.stop();
    journalServer.stop();
    log.stop();
    logInfo("stop", "ended");
    return status;
}

} // namespace gentiancross
