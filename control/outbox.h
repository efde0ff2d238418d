#pragma once

#include "core/effects.h"

#include <deque>
#include <utility>
#include <vector>

namespace gentiancross {

/**
 * Collects the effects of one event, and holds back messages until what they tell is durable.
 * Thread safety: owned by the control thread.
 */
class Outbox
{
public:
    /** \a hasStore is false on a host that persists nothing; nothing is held back there. */
    explicit Outbox(bool hasStore)
        : m_hasStore(hasStore)
    {}

    void add(Effect effect) { m_effects.push_back(std::move(effect)); }
    /** A line for the operator's log. */
    void note(const std::string &subject, std::string what)
    {
        add(LogLine{false, subject, std::move(what)});
    }
    /** Counts or measures; told with the next Measured effect. */
    void measure(Measurement measurement) { m_measurements.push_back(measurement); }
    void count(CellEvent event, std::uint32_t times = 1) { measure(EventCounted{event, times}); }
    /** What was measured since the last call. */
    Measurements takeMeasurements() { return std::exchange(m_measurements, {}); }
    /** Adds a Measured effect if there is something to tell. */
    void reportMeasurements(Instant now);
    void send(const HostId &to, PeerMessage message) { add(SendToPeer{to, std::move(message), 0}); }

    /** Sends \a message once all that was persisted so far, in this event too, is synced. */
    void sendAfterSync(const HostId &to, PeerMessage message);

    void persist(JournalRecord record);
    /** Puts \a records in place of the whole journal; records persisted in this event follow them.
     */
    void replaceJournal(std::vector<JournalRecord> records);

    /** The token that covers everything persisted up to the end of the current event. */
    [[nodiscard]] SyncToken currentToken() const;
    [[nodiscard]] SyncToken syncedToken() const { return m_synced; }
    [[nodiscard]] std::size_t recordsSinceReplace() const { return m_recordsSinceReplace; }

    /** Releases what waited for \a token. */
    void synced(SyncToken token);

    /** The effects of the event that ends now. */
    Effects take();

private:
    struct DeferredMessage
    {
        SyncToken token;
        SendToPeer message;
    };

    bool m_hasStore;
    Effects m_effects;
    Measurements m_measurements;
    std::vector<JournalRecord> m_records;
    bool m_replaceAll = false;
    SyncToken m_issued;
    SyncToken m_synced;
    std::deque<DeferredMessage> m_deferred;
    std::size_t m_recordsSinceReplace = 0;
};

} // namespace gentiancross
