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
#include "servers/connection_monitor.h"
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
#include <malloc.h>

namespace gentiancross {

namespace {

/** One for the lease renewal, which waits for run completions, and some for orders; each new
 * connection is expensive for a worker. */
constexpr long MaxConnectionsPerWorker = 4;
/** The settings file may change without a signal, so it is checked once a second. */
constexpr int TicksPerFileCheck = 20;
/** The allocator raises this threshold when a large buffer is freed, and then keeps the memory of
 * bodies; entry hosts have too little for that. */
constexpr int MappedBufferBytes = 64 << 10;
/** A caller may resend a job some seconds late; the job must still be known then. */
constexpr Milliseconds ResendMargin{30'000};

HostId makeHostId(const std::string &ip, const platform::BootSettings &boot)
{
    return HostId(absl::StrCat(ip, ":", boot.firstPort));
}

std::vector<HostId> seedHosts(const platform::BootSettings &boot)
{
    std::vector<HostId> seeds;
    for (const SocketAddress &seed : boot.seeds)
        seeds.push_back(makeHostId(seed.ip, boot));
    return seeds;
}

/** Empty if the settings do not list the data centres: the host's own is not all of them. */
std::set<DataCentreId> dataCentresOf(const platform::BootSettings &boot)
{
    std::set<DataCentreId> dataCentres;
    for (const std::string &dataCentre : boot.dataCentres)
        dataCentres.emplace(dataCentre);
    if (!dataCentres.empty() && !boot.dataCentre.empty())
        dataCentres.emplace(boot.dataCentre);
    return dataCentres;
}

/** Posts ticks, signals and changes of the settings file as events; called on the main thread. */
class CellMainLoopHandler final : public MainLoopHandler
{
public:
    CellMainLoopHandler(EventSink &events, platform::CellFrontend &frontend,
                        ConnectionMonitor &connections, std::string bootPath)
        : m_events(events)
        , m_connections(connections)
        , m_frontend(frontend)
        , m_bootPath(std::move(bootPath))
        , m_modifiedAt(modificationTime())
    {}

    void handleTick() override
    {
        m_events.post(Ticked{});
        m_connections.tick();
        if (++m_ticks % TicksPerFileCheck == 0 && modificationTime() != m_modifiedAt)
            reloadBootSettings();
    }

    void handleSignal(int signal) override
    {
        if (signal == SIGHUP) {
            reloadBootSettings();
            return;
        }
        m_frontend.startDraining();
        m_events.post(ShutdownRequested{});
    }

private:
    [[nodiscard]] std::pair<time_t, long> modificationTime() const
    {
        ACE_stat status;
        if (ACE_OS::stat(m_bootPath.c_str(), &status) != 0)
            return {};
        return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
    }

    void reloadBootSettings()
    {
        m_modifiedAt = modificationTime();
        const absl::StatusOr<platform::BootSettings> boot = platform::readBootSettings(m_bootPath);
        if (boot.ok())
            m_events.post(SeedsRead{seedHosts(*boot), dataCentresOf(*boot)});
        else
            logWarning("reload", describeError(boot.status()));
    }

    EventSink &m_events;
    ConnectionMonitor &m_connections;
    platform::CellFrontend &m_frontend;
    std::string m_bootPath;
    std::pair<time_t, long> m_modifiedAt;
    int m_ticks = 0;
};

CellOptions makeCellOptions(const platform::BootSettings &boot, const Identity &identity)
{
    CellOptions options;
    const HostId self = makeHostId(boot.ip, boot);
    options.identity = identity;
    options.isKeeper = !boot.dataFolder.empty();
    options.seeds = seedHosts(boot);
    options.callsAdviser = !boot.adviserAddress.empty();
    options.heartbeatAddress = boot.controlAddress;
    options.voters = deriveVoterOptions(boot.toleratedLosses, boot.catchUpTime);
    options.seed = generateRandomSeed();
    if (boot.jobStatusRetention > Milliseconds(0))
        options.jobRetention = boot.jobStatusRetention + ResendMargin;
    options.dataCentres = dataCentresOf(boot);
    options.memory = boot.memory;
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
    if (boot.dataFolder.empty())
        ::mallopt(M_MMAP_THRESHOLD, MappedBufferBytes);
    JournalFile journal;
    absl::StatusOr<RecoveredHost> host
            = openStore(makeHostId(boot.ip, boot), boot.dataFolder, journal);
    if (!host.ok())
        return host.status();

    const SystemClock clock;
    CellRoot root(makeCellOptions(boot, host->identity));
    ControlThread control(root, clock);
    Metrics metrics;
    JournalWriter journalWriter(journal, control, metrics, &exitAfterDiskFailure);
    LogWriter log;
    CellMetrics cellMetrics(log);
    HttpClient client(MaxConnectionsPerWorker);
    ByteBudget decodedCalls(boot.decodedCalls);
    PeerLink peers({makeHostId(boot.ip, boot), {}, settings.fleetSecret, true}, control,
                   decodedCalls);
    ConnectionBudget connections(boot.connections);
    ConnectionMonitor connectionMonitor(connections, clock);
    PeerListener peerListener(peers, settings.fleetSecret, connections);
    platform::WorkerCaller workers(client, clock, control, boot.adviserAddress);
    platform::CellFrontend frontend(boot, clock, control, metrics, cellMetrics, connections,
                                    decodedCalls);
    CellMainLoopHandler handler(control, frontend, connectionMonitor, settings.bootPath);
    MainLoop mainLoop(handler);
    EffectRouter router({frontend, peers, workers,
                         boot.dataFolder.empty() ? nullptr : &journalWriter,
                         [&mainLoop] { mainLoop.stop(); }, &workers, &log, &cellMetrics});
    control.setEffectHandler(&router);

    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        mainLoop.watchSignal(signal);

    control.post(std::move(host->recovered));
    log.start();
    journalWriter.start();
    peers.start();
    control.start();
    absl::Status status = peerListener.start(settings.peerIp, boot.firstPort);
    if (status.ok())
        status = frontend.start();
    if (status.ok()) {
        logInfo("start", absl::StrCat("serving as ", host->identity.replica.value()));
        mainLoop.run();
    }
    frontend.stop();
    control.stop();
    peerListener.stop();
    client.stop();
    peers.stop();
    journalWriter.stop();
    log.stop();
    logInfo("stop", "all servers stopped");
    return status;
}

} // namespace gentiancross
