#pragma once

#include "control/data_centre_copy.h"
#include "control/mirror_set.h"
#include "control/outbox.h"

namespace gentiancross {

/**
 * Appends a data centre's records: applies each to the copy, persists it and queues it for the
 * mirrors. Owned by a DataCentreAuthority and used by all of its parts that write records.
 * Thread safety: owned by the control thread.
 */
class RecordWriter
{
public:
    RecordWriter(DataCentreId dataCentre, DataCentreCopy &copy, MirrorSet &mirrors)
        : m_dataCentre(std::move(dataCentre))
        , m_copy(copy)
        , m_mirrors(mirrors)
    {}

    /** Returns the record's sequence, which must be promised before the record is acted on. */
    RecordSequence append(const DataCentreRecord &record, Outbox &out)
    {
        m_copy.apply(record);
        const RecordSequence sequence = m_copy.lastSequence();
        out.persist(MirroredRecord{m_dataCentre, m_copy.epoch(), sequence, record});
        m_mirrors.recordAppended(record, sequence, out);
        return sequence;
    }

    /** The wall time of the last minute mark in the ledger. */
    [[nodiscard]] Milliseconds lastMark() const { return m_copy.ledger().lastMark(); }

    /** The sequence of the last record. */
    [[nodiscard]] RecordSequence last() const { return m_copy.lastSequence(); }

private:
    DataCentreId m_dataCentre;
    DataCentreCopy &m_copy;
    MirrorSet &m_mirrors;
};

} // namespace gentiancross
