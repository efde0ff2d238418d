#include "control/mirror_set.h"

#include "core/record_size.h"

#include <algorithm>
#include <limits>

namespace gentiancross {

namespace {

/** A mirror that lacks more than this many records is sent a full copy. */
constexpr std::size_t MaxRecentRecords = 4096;
constexpr std::size_t MaxRecordsPerMessage = 512;
/** A new authority without a disk mirrors to a host with a disk in another data centre if none in
 * its own has answered within this time. */
constexpr Milliseconds InitialReplyTimeout{250};

} // namespace

MirrorSet::MirrorSet(const HostDirectory &directory, Identity identity, DataCentreId dataCentre,
                     const AuthorityData &authority, RecordSequence held, Instant now,
                     const Outbox &out)
    : m_directory(directory)
    , m_identity(std::move(identity))
    , m_dataCentre(std::move(dataCentre))
    , m_agreed(authority)
    , m_createdAt(now)
    , m_last(held)
{
    const bool isSynced = !m_directory.own().hasStore || out.currentToken() <= out.syncedToken();
    if (isSynced)
        m_ownSynced = held;
    else
        m_unsynced.push_back({out.currentToken(), held});
    for (const ReplicaId &replica : m_agreed.inSync) {
        if (replica == m_identity.replica || !m_directory.knows(hostOf(replica)))
            continue;
        m_mirrors[hostOf(replica)].lastReply = now;
        m_mirrors[hostOf(replica)].replica = replica;
    }
    chooseMirrors(now);
    advancePromised();
}

void MirrorSet::recordAppended(const DataCentreRecord &record, RecordSequence sequence,
                               const Outbox &out)
{
    m_last = sequence;
    m_recent.push_back(record);
    if (m_recent.size() > MaxRecentRecords)
        m_recent.pop_front();
    if (m_directory.own().hasStore)
        m_unsynced.push_back({out.currentToken(), sequence});
    else
        m_ownSynced = sequence;
    advancePromised();
}

void MirrorSet::synced(SyncToken token)
{
    while (!m_unsynced.empty() && m_unsynced.front().token <= token) {
        m_ownSynced = m_unsynced.front().sequence;
        m_unsynced.pop_front();
    }
    advancePromised();
}

void MirrorSet::chooseMirrors(Instant now)
{
    bool hasLocalDurable = m_directory.own().hasStore;
    for (const auto &[host, info] : m_directory.hosts) {
        if (info.dataCentre != m_dataCentre || host == m_directory.self)
            continue;
        // A mirror that has not answered yet does not count: it may be the failed former authority.
        const Mirror &mirror = m_mirrors[host];
        const bool hasAnswered = mirror.answeredUpTo.has_value() && isAnswering(now, mirror);
        hasLocalDurable = hasLocalDurable || (info.hasStore && hasAnswered);
    }
    if (hasLocalDurable) {
        dropRemoteMirrors();
        return;
    }
    if (now - m_createdAt < InitialReplyTimeout)
        return;
    // No disk answers in this data centre, so the records need one in another.
    for (const auto &[host, info] : m_directory.hosts) {
        const auto known = m_mirrors.find(host);
        const bool isRemote = info.dataCentre != m_dataCentre;
        if (isRemote && info.hasStore && known != m_mirrors.end()
            && isAnswering(now, known->second))
            return;
    }
    for (const auto &[host, info] : m_directory.hosts) {
        if (info.hasStore && info.dataCentre != m_dataCentre
            && m_mirrors.try_emplace(host).second) {
            m_mirrors[host].lastReply = now;
            return;
        }
    }
}

void MirrorSet::dropRemoteMirrors()
{
    const std::set<ReplicaId> needed = required();
    std::erase_if(m_mirrors, [&](const auto &entry) {
        const auto &[host, mirror] = entry;
        const bool isNeeded = mirror.replica.has_value() && needed.contains(*mirror.replica);
        return !isNeeded && m_directory.hosts.at(host).dataCentre != m_dataCentre;
    });
}

bool MirrorSet::isAnswering(Instant now, const Mirror &mirror) const
{
    return now - mirror.lastReply < MirrorTimeout;
}

void MirrorSet::flush(Instant now, const DataCentreCopy &copy, Outbox &out)
{
    chooseMirrors(now);
    for (auto &[host, mirror] : m_mirrors) {
        const bool lacksRecords = mirror.synced && mirror.sent < m_last;
        const bool heartbeatDue = now - mirror.lastSent >= MirrorHeartbeatInterval;
        if (lacksRecords || heartbeatDue)
            sendTo(now, host, mirror, copy, out);
    }
}

void MirrorSet::sendTo(Instant now, const HostId &host, Mirror &mirror, const DataCentreCopy &copy,
                       Outbox &out)
{
    const std::uint64_t firstRecent = m_last.value() + 1 - m_recent.size();
    const bool canCatchUp = mirror.synced && mirror.sent.value() + 1 >= firstRecent;
    const bool isResponsive
            = mirror.lastReply != Instant() && now - mirror.lastReply < AuthorityLease;
    mirror.lastSent = now;
    // A full copy goes only to a responsive mirror, and only once until it has replied.
    if (!canCatchUp && isResponsive && !mirror.isCopyInFlight) {
        sendCopy(now, host, mirror, copy, out);
        return;
    }
    MirrorAppend message = makeMessage(now, mirror.sent);
    std::size_t bytes = 0;
    while (canCatchUp && mirror.sent < m_last && message.records.size() < MaxRecordsPerMessage) {
        const DataCentreRecord &record = m_recent[mirror.sent.value() + 1 - firstRecent];
        bytes += encodedBytes(record);
        if (!message.records.empty() && bytes > MaxRecordBatchBytes)
            break;
        mirror.sent = mirror.sent.next();
        message.records.push_back(record);
    }
    out.send(host, std::move(message));
}

void MirrorSet::sendCopy(Instant now, const HostId &host, Mirror &mirror,
                         const DataCentreCopy &copy, Outbox &out) const
{
    for (CopyPiece &piece : copy.snapshot(m_dataCentre)) {
        MirrorAppend message = makeMessage(now, copy.lastSequence());
        message.piece = std::move(piece);
        out.send(host, std::move(message));
    }
    mirror.sent = copy.lastSequence();
    mirror.copySentAt = now;
    mirror.isCopyInFlight = true;
}

MirrorAppend MirrorSet::makeMessage(Instant now, RecordSequence previous) const
{
    return {m_dataCentre, m_agreed.epoch,           m_identity.replica, now, previous, std::nullopt,
            {},           m_directory.callerAddress};
}

void MirrorSet::receive(Instant now, const HostId &from, const MirrorReply &reply)
{
    const auto found = m_mirrors.find(from);
    if (found == m_mirrors.end() || reply.epoch != m_agreed.epoch)
        return;
    Mirror &mirror = found->second;
    if (mirror.replica != reply.replica) {
        mirror = Mirror();
        mirror.replica = reply.replica;
    }
    mirror.lastReply = now;
    // Messages arrive in order, so a copy sent before this one has arrived or was lost.
    if (reply.sentAt > mirror.copySentAt)
        mirror.isCopyInFlight = false;
    mirror.answeredUpTo = std::max(mirror.answeredUpTo.value_or(reply.sentAt), reply.sentAt);
    if (!reply.synced) {
        mirror.synced = false;
        return;
    }
    if (!mirror.synced)
        mirror.sent = reply.held;
    if (reply.hasGap && reply.sentAt >= mirror.rewoundAt) {
        mirror.sent = reply.held;
        mirror.rewoundAt = now;
    }
    mirror.synced = true;
    mirror.acked = std::max(mirror.acked, reply.held);
    advancePromised();
}

void MirrorSet::receive(const HostId &from, const MirrorLease &lease)
{
    const auto found = m_mirrors.find(from);
    if (found == m_mirrors.end() || lease.epoch != m_agreed.epoch)
        return;
    Mirror &mirror = found->second;
    if (mirror.replica == lease.replica)
        mirror.answeredUpTo = std::max(mirror.answeredUpTo.value_or(lease.sentAt), lease.sentAt);
}

void MirrorSet::updateAgreed(const AuthorityData &authority)
{
    if (authority.epoch != m_agreed.epoch)
        return;
    if (authority.revision != m_agreed.revision)
        m_proposed.reset();
    m_agreed = authority;
    advancePromised();
}

std::optional<SetInSync> MirrorSet::nextChange(Instant now)
{
    if (m_proposed.has_value())
        return std::nullopt;
    chooseJoining(now);
    std::set<ReplicaId> wanted = {m_identity.replica};
    bool hasLocalDurable = isDurable(m_identity.replica);
    for (const auto &[host, mirror] : m_mirrors) {
        if (!mayBeInSync(now, mirror) || m_directory.hosts.at(host).dataCentre != m_dataCentre)
            continue;
        wanted.insert(*mirror.replica);
        hasLocalDurable = hasLocalDurable || isDurable(*mirror.replica);
    }
    for (const auto &[host, mirror] : m_mirrors) {
        if (!hasLocalDurable && mayBeInSync(now, mirror) && isDurable(*mirror.replica))
            wanted.insert(*mirror.replica);
    }
    const bool losesDurable = std::any_of(m_agreed.inSync.begin(), m_agreed.inSync.end(), isDurable)
            && std::none_of(wanted.begin(), wanted.end(), isDurable);
    if (wanted == m_agreed.inSync || losesDurable)
        return std::nullopt;
    // The change may be agreed before this host learns of it, so from now on both sets must answer.
    m_proposed = wanted;
    return SetInSync{m_dataCentre, m_agreed.epoch, m_agreed.revision.next(), wanted};
}

void MirrorSet::chooseJoining(Instant now)
{
    // No more records are promised until these replicas hold them. Otherwise they would never catch
    // up under load.
    m_joining.clear();
    for (const auto &[host, mirror] : m_mirrors) {
        const bool isCandidate = mirror.replica.has_value() && mirror.synced
                && isAnswering(now, mirror) && !m_agreed.inSync.contains(*mirror.replica);
        if (isCandidate)
            m_joining.insert(*mirror.replica);
    }
}

bool MirrorSet::mayBeInSync(Instant now, const Mirror &mirror) const
{
    // An in-sync replica may succeed the authority, so it must also hold every record that was
    // promised before it joined.
    return mirror.replica.has_value() && mirror.synced && isAnswering(now, mirror)
            && mirror.acked >= m_promised;
}

std::set<ReplicaId> MirrorSet::required() const
{
    std::set<ReplicaId> replicas = m_agreed.inSync;
    if (m_proposed.has_value())
        replicas.insert(m_proposed->begin(), m_proposed->end());
    replicas.erase(m_identity.replica);
    return replicas;
}

const MirrorSet::Mirror *MirrorSet::mirrorOf(const ReplicaId &replica) const
{
    const auto found = m_mirrors.find(hostOf(replica));
    if (found == m_mirrors.end() || found->second.replica != replica)
        return nullptr;
    return &found->second;
}

Instant MirrorSet::leaseEnd() const
{
    Instant end(std::numeric_limits<std::int64_t>::max());
    for (const ReplicaId &replica : required()) {
        const Mirror *mirror = mirrorOf(replica);
        if (mirror == nullptr || !mirror->answeredUpTo.has_value())
            return Instant(std::numeric_limits<std::int64_t>::min());
        end = std::min(end, *mirror->answeredUpTo + AuthorityLease);
    }
    return end;
}

RecordSequence MirrorSet::heldByAllRequired() const
{
    RecordSequence held = m_ownSynced;
    std::set<ReplicaId> holders = required();
    holders.insert(m_joining.begin(), m_joining.end());
    for (const ReplicaId &replica : holders) {
        const Mirror *mirror = mirrorOf(replica);
        if (mirror == nullptr || !mirror->synced)
            return RecordSequence();
        held = std::min(held, mirror->acked);
    }
    return held;
}

void MirrorSet::advancePromised()
{
    // The promised sequence never goes back, even while a joining mirror has yet to catch up.
    m_promised = std::max(m_promised, heldByAllRequired());
}

bool MirrorSet::hasDurableReplica() const
{
    return std::any_of(m_agreed.inSync.begin(), m_agreed.inSync.end(), isDurable);
}

std::optional<HostId> MirrorSet::successor() const
{
    std::optional<HostId> chosen;
    for (const ReplicaId &replica : m_agreed.inSync) {
        const HostId host = hostOf(replica);
        if (replica == m_identity.replica || mirrorOf(replica) == nullptr)
            continue;
        if (m_directory.hosts.at(host).dataCentre == m_dataCentre)
            return host;
        chosen = host;
    }
    return chosen;
}

} // namespace gentiancross
