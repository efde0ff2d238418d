#pragma once

#include "control/host_reducer.h"
#include "tests/control/solo_events.h"

#include <memory>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/**
 * Owns the reducer of one host and simulates its disk, workers and clock. Called by the benchmarks
 * of the reducer.
 */
class ReducerLoad
{
public:
    ReducerLoad();

    /** Passes an event to the reducer; records are synced at once, and starts are collected. */
    void feed(EventPayload payload);
    /** Advances the clock by 50 ms. */
    void tick();
    /** Applies a change by an operator. */
    void change(const std::string &name, const ReplicatedCommand &command);
    /** Creates teams "t0", "t1", ... with one key each and a limit that is never reached. */
    void createTeams(int teams);
    /** Announces a worker with these tasks; returns the reply. */
    const AnnouncementReply &announce(int worker, const std::vector<TaskId> &running,
                                      const std::vector<TaskId> &stopped = {});
    void submit(WorkKind kind, std::uint32_t tasks, int team);
    /** Answers all starts since the last call, as their workers would. */
    void answerStarts();

    std::vector<StartTask> &starts() { return m_starts; }
    [[nodiscard]] double journalBytes() const { return m_journalBytes; }
    [[nodiscard]] Instant now() const { return m_now; }

private:
    std::unique_ptr<HostReducer> m_reducer;
    Instant m_now{1'000'000};
    std::uint64_t m_exchange = 0;
    AnnouncementReply m_lastReply;
    SyncToken m_token;
    SyncToken m_synced;
    std::vector<StartTask> m_starts;
    double m_journalBytes = 0.0;
};

} // namespace gentiancross::benchmarks
