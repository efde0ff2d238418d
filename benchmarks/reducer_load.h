#pragma once

#include "control/host_reducer.h"
#include "tests/control/solo_events.h"

#include <memory>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/** One host's reducer, with its disk, its workers and its time played by a benchmark. */
class ReducerLoad
{
public:
    ReducerLoad();

    /** Feeds an event; what it persists is synced at once, and its starts are kept. */
    void feed(EventPayload payload);
    /** Lets 50 ms pass. */
    void tick();
    void change(const std::string &name, const ReplicatedCommand &command);
    /** Makes teams "t0", "t1", ... with one key each and no limit that matters. */
    void makeTeams(int teams);
    /** What the worker is told in answer. */
    const AnnouncementReply &announce(int worker, const std::vector<TaskId> &running,
                                      const std::vector<TaskId> &stopped = {});
    void submit(WorkKind kind, std::uint32_t tasks, int team);
    /** Has the workers answer all orders since the last call. */
    void endStarts();

    std::vector<StartTask> &starts() { return m_starts; }
    [[nodiscard]] double recordBytes() const { return m_recordBytes; }
    [[nodiscard]] Instant now() const { return m_now; }

private:
    std::unique_ptr<HostReducer> m_root;
    Instant m_now{1'000'000};
    std::uint64_t m_exchange = 0;
    AnnouncementReply m_told;
    SyncToken m_token;
    SyncToken m_synced;
    std::vector<StartTask> m_starts;
    double m_recordBytes = 0.0;
};

} // namespace gentiancross::benchmarks
