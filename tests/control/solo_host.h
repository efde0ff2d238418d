#pragma once

#include "control/host_reducer.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Which other host is in the data centre of a SoloHost. */
enum class Companion {
    None,
    /** A host without a disk, which replies to the mirror messages it is sent. */
    Mirror,
};

/**
 * Test fixture with the reducer of one entry host, the only one of its data centre with a disk. The
 * test controls the time, the disk and the worker. With setAutoSync(false) nothing is synced until
 * the test calls sync().
 */
class SoloHost
{
public:
    explicit SoloHost(Companion company = Companion::None);

    /** Feeds an event and keeps its effects. */
    void feed(EventPayload payload);
    /** Advances the time in steps of 50 ms with a tick each, syncing all writes if auto-sync is on.
     */
    void run(int steps);
    void sync();
    /** Restarts the process; the new one recovers from the synced records. */
    void restart();
    void advance(Milliseconds span) { m_now = m_now + span; }

    /** Creates team "t" with key "k" and registers one worker "w" with this host. */
    void prepare(std::int64_t limit = 100'000);
    /** Sends an operator's change of a team, or another command, under the request name \a name. */
    void changeTeam(const std::string &name, const ReplicatedCommand &command)
    {
        operatorChange(name, command);
    }
    /** Creates another team, whose key hash is the team's name. */
    void addTeam(const std::string &team);
    void announce(const std::vector<std::string> &running = {},
                  const std::vector<std::string> &finished = {});
    /** Submits a short request of the team with \a key ("t" by default); returns its exchange. */
    ExchangeId submit(const std::string &name, bool idempotent, const std::string &key = "k");

    /** Returns the latest effect of this type since the last call of clearEffects, or null. */
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
    /** Returns the answer to an exchange, or null if there is none of this type yet. */
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
    void clearEffects() { m_effects.clear(); }
    [[nodiscard]] const std::vector<Effect> &effects() const { return m_effects; }
    /** Sets whether the worker announces that it is leaving from now on. */
    void setLeaving(bool leaving) { m_leaving = leaving; }
    void setAutoSync(bool on) { m_autoSync = on; }
    /** Sets whether the mirror, if there is one, replies from now on. */
    void setMirrorAnswering(bool on) { m_mirrorAnswers = on; }
    [[nodiscard]] Instant workerClock() const { return m_now + Milliseconds(5'000'000); }

private:
    void begin();
    void answerAsMirror();
    void operatorChange(const std::string &name, const ReplicatedCommand &command);

    Companion m_companion;
    std::unique_ptr<HostReducer> m_root;
    std::vector<Effect> m_effects;
    /** Messages that the mirror has yet to reply to. */
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
