#pragma once

#include "control/host_reducer.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Who is in the data centre of a SoloHost. */
enum class Companion {
    None,
    /** A host without a disk, which answers what it is sent to mirror. */
    Mirror,
};

/**
 * One entry host's reducer with time, disk and worker in the hands of a test: the only host of its
 * data centre with a disk. Nothing is synced unless the test says so.
 */
class SoloHost
{
public:
    explicit SoloHost(Companion company = Companion::None);

    /** Feeds an event and keeps its effects. */
    void feed(EventPayload payload);
    /** Lets time pass in steps of 50 ms, syncing all that is written. */
    void run(int steps);
    void sync();
    /** Ends the process; a new one starts from what was synced. */
    void restart();
    void pass(Milliseconds span) { m_now = m_now + span; }

    /** Makes team "t" with key "k", and one worker "w" that obeys this host. */
    void prepare(std::int64_t limit = 100'000);
    /** An operator's change of a team or another command, under its own name. */
    void changeTeam(const std::string &name, const ReplicatedCommand &command)
    {
        operatorChange(name, command);
    }
    /** Makes another team, whose key has its name. */
    void addTeam(const std::string &team);
    void announce(const std::vector<std::string> &running = {},
                  const std::vector<std::string> &finished = {});
    /** Submits a short request of team "t"; returns its exchange. */
    ExchangeId submit(const std::string &name, bool idempotent, const std::string &key = "k");

    /** The newest effect of this type since the last call of forget, or null. */
    template <typename T>
    const T *last() const
    {
        for (auto effect = m_effects.rbegin(); effect != m_effects.rend(); ++effect) {
            if (const auto *typed = std::get_if<T>(&*effect))
                return typed;
        }
        return nullptr;
    }
    template <typename T>
    [[nodiscard]] std::size_t count() const
    {
        std::size_t count = 0;
        for (const Effect &effect : m_effects)
            count += std::holds_alternative<T>(effect) ? 1 : 0;
        return count;
    }
    /** The answer to an exchange, if it was given. */
    template <typename T>
    const T *answerTo(ExchangeId exchange) const
    {
        for (const Effect &effect : m_effects) {
            const auto *reply = std::get_if<Reply>(&effect);
            if (reply != nullptr && reply->exchange == exchange)
                return std::get_if<T>(&reply->answer);
        }
        return nullptr;
    }
    void forget() { m_effects.clear(); }
    [[nodiscard]] const std::vector<Effect> &effects() const { return m_effects; }
    /** What the worker announces from now on. */
    void setLeaving(bool leaving) { m_leaving = leaving; }
    void setAutoSync(bool on) { m_autoSync = on; }
    /** The mirror, if there is one, answers or is silent from now on. */
    void setMirrorAnswering(bool on) { m_mirrorAnswers = on; }
    [[nodiscard]] Instant workerClock() const { return m_now + Milliseconds(5'000'000); }

private:
    void begin();
    void answerAsMirror();
    void operatorChange(const std::string &name, const ReplicatedCommand &command);

    Companion m_companion;
    std::unique_ptr<HostReducer> m_root;
    std::vector<Effect> m_effects;
    /** What the mirror has to answer yet. */
    std::vector<MirrorAppend> m_unansweredAppends;
    std::vector<JournalRecord> m_durable;
    std::vector<Persist> m_unsynced;
    Instant m_now{1'000'000};
    std::uint64_t m_exchange = 0;
    Epoch m_workerEpoch;
    int m_runs = 0;
    bool m_autoSync = true;
    bool m_mirrorAnswers = true;
    bool m_leaving = false;
};

} // namespace gentiancross::tests
