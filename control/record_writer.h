#pragma once

#include "control/data_centre_copy.h"
#include "control/mirror_set.h"
#include "control/outbox.h"

namespace gentiancross {

/**
 * Writes a data centre's records: applies each to the copy, persists it and queues it for the
 * mirrors. Thread safety: owned by the control thread.
 */
class RecordWriter
{
public:
    RecordWriter(DataCentreId dataCentre, DataCentreCopy &copy, MirrorSet &mirrors)
        : m_dataCentre(std::move(dataCentre))
        , m_copy(copy)
        , m_mirrors(mirrors)
    {}

    /** Returns the sequence that must be promised before the record may be acted on. */
    RecordSequence append(const DataCentreRecord &record, Outbox &out)
    {
        m_copy.apply(record);
        const RecordSequence sequence = m_copy.lastSequence();
        out.persist(MirroredRecord{m_dataCentre, m_copy.epoch(), sequence, record});
        m_mirrors.recordAppended(record, sequence, out);
        return sequence;
    }

    /** The wall time of the last minute that the ledger was kept in. */
    [[nodiscard]] Milliseconds lastMark() const { return m_copy.ledger().lastMark(); }

    /** The sequence of the last record. */
    [[nodiscard]] RecordSequence last() const { return m_copy.lastSequence(); }

private:
    DataCentreId m_dataCentre;
    DataCentreCopy &m_copy;
    MirrorSet &m_mirrors;
};

} // namespace gentiancross
