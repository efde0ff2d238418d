#pragma once

#include "core/data_centre_records.h"
#include "core/replicated_commands.h"
#include "core/replicated_data.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace gentiancross {

/** The latest term that a replica has seen, and its vote in that term. */
struct VoteRecord
{
    Term term;
    std::optional<ReplicaId> votedFor;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.term, self.votedFor);
    }
};

/** Discards the log entries from this index on. */
struct TruncateRecord
{
    LogIndex from;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.from);
    }
};

/** The replicated state up to an index; replaces the entries up to there. */
struct SnapshotRecord
{
    LogIndex index;
    Term term;
    Membership membership;
    ReplicatedData state;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.index, self.term, self.membership, self.state);
    }
};

/** A record of a data centre's own state, numbered by its authority of `epoch`. */
struct MirroredRecord
{
    DataCentreId dataCentre;
    Epoch epoch;
    RecordSequence sequence;
    DataCentreRecord record;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.sequence, self.record);
    }
};

/**
 * A piece of a full copy of a data centre's state as of `sequence`. Once the last piece has arrived
 * after all the others, the copy replaces all earlier records.
 */
struct CopyPiece
{
    DataCentreId dataCentre;
    Epoch epoch;
    RecordSequence sequence;
    /** The position of this piece within its copy, from 0. */
    std::uint32_t index = 0;
    bool isLast = true;
    std::vector<DataCentreRecord> records;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.sequence, self.index, self.isLast,
                        self.records);
    }
};

using JournalRecord = std::variant<VoteRecord, LogEntry, TruncateRecord, SnapshotRecord,
                                   MirroredRecord, CopyPiece>;

} // namespace gentiancross
