#include "control/mirror_store.h"

#include "control/lease_times.h"

namespace gentiancross {

namespace {

/** Minimum time between lease renewals that are sent ahead of replies waiting for the disk. */
constexpr Milliseconds RenewalInterval{200};
/** A host makes claims only if its last contact with the log's leader is more recent than this. */
constexpr Milliseconds MaxLeaderContactAge{1500};
/** Extra wait of replicas outside the data centre, so that a local replica can succeed first. */
constexpr Milliseconds RemoteClaimDelay{3000};
/** Time between the initial claims of the hosts of a data centre that has no authority yet. */
constexpr Milliseconds InitialClaimStagger{700};

} // namespace

MirrorStore::MirrorStore(const HostDirectory &directory, Identity identity, RaftConsensus &raft,
                         Proposer &proposer)
    : m_directory(directory)
    , m_identity(std::move(identity))
    , m_raft(raft)
    , m_proposer(proposer)
{}

void MirrorStore::recover(const JournalRecord &record)
{
    if (const auto *mirrored = std::get_if<MirroredRecord>(&record)) {
        DataCentreCopy &copy = copyOf(mirrored->dataCentre);
        if (copy.epoch() != mirrored->epoch)
            copy.beginEpoch(mirrored->epoch);
        if (mirrored->sequence == copy.lastSequence().next())
            copy.apply(mirrored->record);
    } else if (const auto *piece = std::get_if<CopyPiece>(&record)) {
        copyOf(piece->dataCentre).installPiece(*piece);
    }
}

void MirrorStore::finishRecovery(Instant now)
{
    m_startedAt = now;
    for (auto &[dataCentre, mirrored] : m_mirrored)
        mirrored.lastAnswered = now;
}

void MirrorStore::receive(Instant now, const HostId &from, const MirrorAppend &message, Outbox &out)
{
    Mirrored &mirrored = m_mirrored[message.dataCentre];
    const AuthorityData *authority = m_raft.state().authority(message.dataCentre);
    const bool isFenced = authority != nullptr && authority->epoch > message.epoch;
    const bool isClaimed = mirrored.claim.has_value() && mirrored.claimedFrom >= message.epoch;
    if (isFenced || isClaimed)
        return;
    mirrored.lastHeard = now;
    mirrored.callerAddress = message.callerAddress;
    mirrored.lastAnswered = now;
    DataCentreCopy &copy = mirrored.copy;
    // A full state that later records have overtaken must not undo what was acknowledged since.
    const bool isNewer = message.piece.has_value()
            && (copy.epoch() != message.epoch || message.piece->sequence > copy.lastSequence());
    if (isNewer && copy.installPiece(*message.piece))
        out.persist(*message.piece);
    const bool isOfEpoch = copy.isComplete() && copy.epoch() == message.epoch;
    RecordSequence sequence = message.previous;
    const bool hasGap = isOfEpoch && !message.piece.has_value() && sequence > copy.lastSequence();
    for (const DataCentreRecord &record : message.records) {
        sequence = sequence.next();
        if (!isOfEpoch || sequence != copy.lastSequence().next())
            continue;
        copy.apply(record);
        out.persist(MirroredRecord{message.dataCentre, message.epoch, sequence, record});
    }
    renewLeaseBeforeSync(now, from, message, mirrored, out);
    out.sendAfterSync(from,
                      MirrorReply{message.dataCentre, message.epoch, m_identity.replica,
                                  message.sentAt, copy.lastSequence(), isOfEpoch, hasGap});
}

void MirrorStore::renewLeaseBeforeSync(Instant now, const HostId &from, const MirrorAppend &message,
                                       Mirrored &mirrored, Outbox &out) const
{
    const bool isReplyDeferred = out.currentToken() > out.syncedToken();
    if (!isReplyDeferred || now - mirrored.lastRenewed < RenewalInterval)
        return;
    mirrored.lastRenewed = now;
    out.send(from,
             MirrorLease{message.dataCentre, message.epoch, m_identity.replica, message.sentAt});
}

void MirrorStore::receive(Instant now, const HostId &, const HandOver &message, Outbox &out)
{
    Mirrored &mirrored = m_mirrored[message.dataCentre];
    const AuthorityData *authority = m_raft.state().authority(message.dataCentre);
    const bool isEligible = authority != nullptr && authority->epoch == message.epoch
            && authority->inSync.contains(m_identity.replica);
    if (m_mayClaim && isEligible && !mirrored.claim.has_value())
        claim(now, message.dataCentre, mirrored, message.epoch, out);
}

void MirrorStore::tick(Instant now, Outbox &out)
{
    const bool inContact = now - m_raft.lastContact() < MaxLeaderContactAge;
    if (!m_mayClaim || !inContact || m_raft.commitIndex() == LogIndex())
        return;
    if (!m_firstContactAt.has_value())
        m_firstContactAt = now;
    // The host's own data centre is considered even if none of its state was ever mirrored here.
    m_mirrored.try_emplace(m_directory.own().dataCentre);
    for (auto &[dataCentre, mirrored] : m_mirrored) {
        const AuthorityData *authority = m_raft.state().authority(dataCentre);
        const Epoch epoch = authority == nullptr ? Epoch() : authority->epoch;
        if (mirrored.claim.has_value()) {
            const bool isDecided = !m_proposer.isPending(*mirrored.claim);
            if (isDecided)
                mirrored.claim.reset();
            continue;
        }
        if (mayClaim(now, dataCentre, mirrored, authority))
            claim(now, dataCentre, mirrored, epoch, out);
    }
}

bool MirrorStore::mayClaim(Instant now, const DataCentreId &dataCentre, const Mirrored &mirrored,
                           const AuthorityData *authority) const
{
    if (authority == nullptr || authority->lost || authority->inSync.empty())
        return mayClaimInitially(now, dataCentre);
    if (!authority->inSync.contains(m_identity.replica))
        return false;
    if (authority->replica == m_identity.replica) {
        // An earlier session of this same replica has ended and can no longer act.
        return authority->session != m_identity.session;
    }
    const bool isLocal = m_directory.own().dataCentre == dataCentre;
    const Milliseconds requiredSilence
            = withDrift(AuthorityLease) + (isLocal ? Milliseconds(0) : RemoteClaimDelay);
    const Instant lastAnswered = std::max(mirrored.lastAnswered, m_startedAt);
    return now - lastAnswered > requiredSilence;
}

bool MirrorStore::mayClaimInitially(Instant now, const DataCentreId &dataCentre) const
{
    if (m_directory.own().dataCentre != dataCentre)
        return false;
    // Hosts with a store claim first, then by host name.
    std::int64_t rank = 0;
    for (const auto &[host, info] : m_directory.hosts) {
        const bool goesBefore = info.dataCentre == dataCentre
                && (info.hasStore > m_directory.own().hasStore
                    || (info.hasStore == m_directory.own().hasStore && host < m_directory.self));
        rank += goesBefore ? 1 : 0;
    }
    // The log may take longer to become available than one step, so the steps count from the first
    // contact with it.
    return now - m_firstContactAt.value_or(now) >= InitialClaimStagger * rank;
}

void MirrorStore::claim(Instant now, const DataCentreId &dataCentre, Mirrored &mirrored, Epoch from,
                        Outbox &out)
{
    mirrored.claimedFrom = from;
    mirrored.claim = m_proposer.propose(
            now, TakeAuthority{dataCentre, from, m_identity.replica, m_identity.session}, out);
}

std::optional<std::string> MirrorStore::authorityAddress(Instant now,
                                                         const DataCentreId &dataCentre) const
{
    const auto found = m_mirrored.find(dataCentre);
    const bool isKnown = found != m_mirrored.end() && !found->second.callerAddress.empty()
            && now - found->second.lastHeard < AuthorityLease;
    if (!isKnown)
        return std::nullopt;
    return found->second.callerAddress;
}

std::vector<JournalRecord> MirrorStore::compact() const
{
    std::vector<JournalRecord> records;
    for (const auto &[dataCentre, mirrored] : m_mirrored) {
        if (!mirrored.copy.isComplete())
            continue;
        for (CopyPiece &piece : mirrored.copy.snapshot(dataCentre))
            records.emplace_back(std::move(piece));
    }
    return records;
}

std::size_t MirrorStore::recordCount() const
{
    std::size_t count = 0;
    for (const auto &[dataCentre, mirrored] : m_mirrored)
        count += mirrored.copy.recordCount();
    return count;
}

} // namespace gentiancross
