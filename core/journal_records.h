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

/** The term a replica has seen and the vote it has given in it. */
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

/** Log entries from this index on are void. */
struct TruncateRecord
{
    LogIndex from;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.from);
    }
};

/** The agreed state up to an index, in place of the entries up to there. */
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

/** A record of a data centre's own state, as its authority of `epoch` numbered it. */
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
 * A piece of a data centre's whole state as of `sequence`. Once the last piece has come after all
 * the others, they stand in place of all earlier records.
 */
struct CopyPiece
{
    DataCentreId dataCentre;
    Epoch epoch;
    RecordSequence sequence;
    /** The place of this piece among those of one copy, from 0. */
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
