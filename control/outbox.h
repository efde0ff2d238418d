#pragma once

#include "core/effects.h"

#include <deque>
#include <utility>
#include <vector>

namespace gentiancross {

/**
 * Collects the effects of one event, and defers messages until the records they depend on are
 * durable. Owned by a host's reducer, which passes it to the parts that handle the event.
 * Thread safety: owned by the control thread.
 */
class Outbox
{
public:
    /** \a hasStore is false on a host that persists nothing; no message is deferred there. */
    explicit Outbox(bool hasStore)
        : m_hasStore(hasStore)
    {}

    void add(Effect effect) { m_effects.push_back(std::move(effect)); }
    /** Writes a line to the operator's log. */
    void note(const std::string &subject, std::string what)
    {
        add(LogLine{false, subject, std::move(what)});
    }
    /** Records a measurement, which is reported with the next Measured effect. */
    void measure(Measurement measurement) { m_measurements.push_back(measurement); }
    void count(CellEvent event, std::uint32_t times = 1) { measure(EventCounted{event, times}); }
    /** Returns the measurements since the last call and clears them. */
    Measurements takeMeasurements() { return std::exchange(m_measurements, {}); }
    /** Adds a Measured effect if there are any measurements. */
    void reportMeasurements(Instant now);
    void send(const HostId &to, PeerMessage message) { add(SendToPeer{to, std::move(message), 0}); }

    /** Sends \a message once every record persisted so far, in this event too, is synced. */
    void sendAfterSync(const HostId &to, PeerMessage message);

    void persist(JournalRecord record);
    /** Replaces the whole journal by \a records; records persisted later in this event follow. */
    void replaceJournal(std::vector<JournalRecord> records);

    /** The token whose sync covers all records persisted up to the end of the current event. */
    [[nodiscard]] SyncToken currentToken() const;
    [[nodiscard]] SyncToken syncedToken() const { return m_synced; }
    [[nodiscard]] std::size_t recordsSinceReplace() const { return m_recordsSinceReplace; }

    /** Releases the messages that were deferred until \a token. */
    void synced(SyncToken token);

    /** Ends the event and returns its effects. */
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
