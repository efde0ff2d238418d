#include "control/entry_router.h"

#include "core/error.h"
#include "core/request_name.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr Milliseconds ForwardRetryInterval{150};
/** Deadline of status and cancel exchanges. */
constexpr Milliseconds QueryDeadline{4000};
constexpr Milliseconds AnnouncementDeadline{1000};
/** An entry host that is not the authority and has had no contact with the log for longer than
 * this is not ready. */
constexpr Milliseconds MaxContactAge{3000};
constexpr Milliseconds RetryAfterHint{1000};
/** A working authority reports a missed deadline sooner than this. */
constexpr Milliseconds MaxOverrun{1000};
constexpr char DataCentreLabel[] = "data_centre";
/** HTTP status of a forwarded request that could never run in that data centre. */
constexpr int UnfitHttpStatus = 422;
constexpr std::size_t MaxPendingExchanges = 20'000;

ErrorAnswer errorAnswer(absl::Status error, bool notRun = true)
{
    ErrorAnswer answer;
    answer.error = std::move(error);
    answer.notRun = notRun;
    if (answer.error.code() == absl::StatusCode::kUnavailable
        || answer.error.code() == absl::StatusCode::kResourceExhausted)
        answer.retryAfter = RetryAfterHint;
    return answer;
}

ErrorAnswer misdirected(const HostId &self, bool notRun)
{
    ErrorAnswer answer
            = errorAnswer(makeError(absl::StatusCode::kUnavailable, Step::Authority, self.value(),
                                    "this host does not decide for the data centre"),
                          notRun);
    answer.misdirected = true;
    return answer;
}

/** FNV-1a; must be the same in all processes and releases, since it selects a request's data
 * centre. */
std::uint64_t stableHash(const std::string &text)
{
    constexpr std::uint64_t Offset = 14695981039346656037ULL;
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = Offset;
    for (const char character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * Prime;
    return hash;
}

} // namespace

EntryRouter::EntryRouter(const HostDirectory &directory, Identity identity,
                         const RaftConsensus &raft, AuthorityFinder &authorityFinder,
                         Milliseconds keyGrace)
    : m_directory(directory)
    , m_identity(std::move(identity))
    , m_raft(raft)
    , m_authorityFinder(authorityFinder)
    , m_keyGrace(keyGrace)
{}

bool EntryRouter::areKeysFresh(Instant now) const
{
    return m_raft.appliedIndex() != LogIndex() && now - m_raft.confirmedContact() <= m_keyGrace;
}

std::optional<TeamId> EntryRouter::authenticate(Instant now, ExchangeId exchange,
                                                const CallerIdentity &caller, bool isNamed,
                                                Outbox &out)
{
    const bool hasFreshKeys = areKeysFresh(now);
    if (!hasFreshKeys && caller.forwarded) {
        // This host may have been the authority before a restart; the sender retries.
        out.add(Reply{exchange, misdirected(m_directory.self, !isNamed)});
        return std::nullopt;
    }
    if (!hasFreshKeys) {
        out.add(Reply{exchange,
                      errorAnswer(makeError(absl::StatusCode::kUnavailable, Step::Authenticate,
                                            m_directory.self.value(),
                                            "the keys known here are too old to be honoured"),
                                  !isNamed)});
        return std::nullopt;
    }
    std::optional<TeamId> team = m_raft.state().teamOfKey(caller.key);
    if (!team.has_value())
        out.add(Reply{exchange,
                      errorAnswer(makeError(absl::StatusCode::kUnauthenticated, Step::Authenticate,
                                            "", "the key is not granted"))});
    return team;
}

DataCentreId EntryRouter::homeDataCentreOf(const WorkSpec &spec, std::string &name) const
{
    const std::size_t slash = name.find('/');
    if (slash != std::string::npos) {
        DataCentreId named(name.substr(0, slash));
        name.erase(0, slash + 1);
        return named;
    }
    const auto label = spec.selector.find(DataCentreLabel);
    if (label != spec.selector.end())
        return DataCentreId(label->second);
    // Every entry host must map a caller's name to the same data centre, so that a resend reaches
    // the first request.
    DataCentreId home = m_directory.own().dataCentre;
    std::uint64_t best = 0;
    for (const auto &[host, info] : m_directory.hosts) {
        const std::uint64_t score = stableHash(info.dataCentre.value() + ':' + name);
        if (score <= best)
            continue;
        best = score;
        home = info.dataCentre;
    }
    return home;
}

void EntryRouter::receive(Instant now, const SubmitReceived &event, Outbox &out)
{
    const bool isNamed = !event.requestName.empty();
    const std::optional<TeamId> team
            = authenticate(now, event.exchange, event.caller, isNamed, out);
    if (!team.has_value())
        return;
    const bool isRefused
            = !event.caller.forwarded && (!m_admitting || m_pending.size() >= MaxPendingExchanges);
    if (isRefused) {
        out.add(Reply{
                event.exchange,
                errorAnswer(makeError(absl::StatusCode::kUnavailable, Step::Admission,
                                      m_directory.self.value(), "this host takes nothing new on"),
                            !isNamed)});
        return;
    }
    Pending pending;
    pending.work = event;
    pending.team = *team;
    pending.forwarded = event.caller.forwarded;
    pending.deadline = now + event.spec.deadline;
    pending.mayBeAccepted = event.hasEarlierAttempt;
    if (event.caller.forwarded) {
        pending.request = RequestId(event.requestName);
        pending.dataCentre = dataCentreOf(pending.request);
    } else {
        std::string name = event.requestName;
        if (!isNamed)
            name = AutomaticNamePrefix + m_identity.session.value() + '-'
                    + std::to_string(m_nextName++);
        const bool isPlaced = event.spec.selector.contains(DataCentreLabel);
        pending.dataCentre = isNamed || isPlaced ? homeDataCentreOf(event.spec, name)
                                                 : m_directory.own().dataCentre;
        pending.request = makeRequestName(pending.dataCentre, pending.team, name);
        if (!isNamed && !isPlaced) {
            // No caller can resend a request under this name, so any data centre may run it.
            for (const auto &[host, info] : m_directory.hosts)
                pending.alternatives.insert(info.dataCentre);
            pending.alternatives.erase(pending.dataCentre);
        }
    }
    addPending(now, event.exchange, std::move(pending), out);
}

bool EntryRouter::tryNextDataCentre(Instant now, Pending &pending) const
{
    if (pending.alternatives.empty() || pending.mayBeAccepted)
        return false;
    pending.dataCentre = *pending.alternatives.begin();
    pending.alternatives.erase(pending.alternatives.begin());
    pending.request
            = makeRequestName(pending.dataCentre, pending.team, localNameOf(pending.request));
    pending.atCell = false;
    pending.nextTry = now;
    return true;
}

void EntryRouter::abandonFormerAuthority(Pending &pending) const
{
    const std::optional<HostId> host = authorityHost(pending.dataCentre);
    if (!pending.isForwarding || (host.has_value() && pending.forwardedTo == *host))
        return;
    // The former authority may have accepted the work and may still answer; the first answer wins.
    pending.isForwarding = false;
    pending.mayBeAccepted = true;
}

template <typename Event>
void EntryRouter::receiveNamed(Instant now, const Event &event, Milliseconds deadline, Outbox &out)
{
    const std::optional<TeamId> team = authenticate(now, event.exchange, event.caller, true, out);
    if (!team.has_value())
        return;
    Pending pending;
    pending.work = event;
    pending.team = *team;
    pending.forwarded = event.caller.forwarded;
    pending.deadline = now + deadline;
    pending.request = event.request;
    pending.dataCentre = dataCentreOf(event.request);
    addPending(now, event.exchange, std::move(pending), out);
}

void EntryRouter::receive(Instant now, const StatusReceived &event, Outbox &out)
{
    receiveNamed(now, event, QueryDeadline, out);
}

void EntryRouter::receive(Instant now, const CancelReceived &event, Outbox &out)
{
    // Running tasks may take up to a lease to end.
    receiveNamed(now, event, QueryDeadline + TaskLease, out);
}

void EntryRouter::receive(Instant now, const AnnouncementReceived &event, Outbox &out)
{
    const DataCentreId &dataCentre = event.announcement.dataCentre;
    const std::optional<std::string> address = m_authorityFinder.authorityAddress(now, dataCentre);
    if (!event.forwarded && address.has_value()
        && m_authorityFinder.decidingAuthority(now, dataCentre) == nullptr) {
        // Redirecting the worker is cheaper than forwarding every announcement.
        AnnouncementReply reply;
        reply.announceTo = *address;
        out.add(Reply{event.exchange, std::move(reply)});
        return;
    }
    Pending pending;
    pending.work = event;
    pending.forwarded = event.forwarded;
    pending.deadline = now + AnnouncementDeadline;
    pending.dataCentre = event.announcement.dataCentre;
    addPending(now, event.exchange, std::move(pending), out);
}

void EntryRouter::addPending(Instant now, ExchangeId exchange, Pending pending, Outbox &out)
{
    m_pending.insert_or_assign(exchange, std::move(pending));
    route(now, exchange, out);
}

std::optional<HostId> EntryRouter::authorityHost(const DataCentreId &dataCentre) const
{
    const AuthorityData *authority = m_raft.state().authority(dataCentre);
    if (authority == nullptr)
        return std::nullopt;
    const HostId host = hostOf(authority->replica);
    if (host == m_directory.self || !m_directory.knows(host))
        return std::nullopt;
    return host;
}

void EntryRouter::route(Instant now, ExchangeId exchange, Outbox &out)
{
    Pending &pending = m_pending.at(exchange);
    DataCentreAuthority *authority = m_authorityFinder.decidingAuthority(now, pending.dataCentre);
    if (authority != nullptr) {
        passToAuthority(now, exchange, pending, *authority, out);
        return;
    }
    // A forwarded exchange is not forwarded again: two hosts with outdated state could pass it back
    // and forth.
    if (pending.forwarded) {
        out.add(Reply{exchange, misdirected(m_directory.self, !pending.mayBeAccepted)});
        return;
    }
    forward(now, exchange, pending, out);
}

void EntryRouter::passToAuthority(Instant now, ExchangeId exchange, Pending &pending,
                                  DataCentreAuthority &authority, Outbox &out)
{
    pending.atCell = true;
    absl::Status status;
    if (const auto *submit = std::get_if<SubmitReceived>(&pending.work)) {
        WorkSpec spec = submit->spec;
        // The work gets only what remains of the deadline, wherever the time was spent.
        if (spec.kind == WorkKind::Short)
            spec.deadline = std::max(pending.deadline - now, Milliseconds(1));
        status = authority.submit(now, exchange, pending.team, pending.request, spec, out);
    } else if (std::holds_alternative<StatusReceived>(pending.work)) {
        status = authority.requests().status(exchange, pending.team, pending.request);
    } else if (std::holds_alternative<CancelReceived>(pending.work)) {
        status = authority.requests().cancel(exchange, pending.team, pending.request, out);
    } else {
        const auto &announcement = std::get<AnnouncementReceived>(pending.work).announcement;
        out.add(Reply{exchange, authority.announced(now, announcement, out)});
    }
    if (status.ok())
        return;
    if (absl::IsFailedPrecondition(status) && tryNextDataCentre(now, pending)) {
        route(now, exchange, out);
        return;
    }
    out.add(Reply{exchange, errorAnswer(std::move(status), !pending.mayBeAccepted)});
}

void EntryRouter::forward(Instant now, ExchangeId exchange, Pending &pending, Outbox &out)
{
    const std::optional<HostId> host = authorityHost(pending.dataCentre);
    if (!host.has_value()) {
        pending.nextTry = now + ForwardRetryInterval;
        return;
    }
    pending.isForwarding = true;
    pending.forwardedTo = *host;
    ++pending.attempt;
    out.add(ForwardExchange{exchange, *host, pending.request.value(),
                            std::max(pending.deadline - now, ForwardRetryInterval), pending.attempt,
                            pending.mayBeAccepted, !pending.alternatives.empty()});
}

void EntryRouter::receive(Instant now, const ForwardEnded &event, Outbox &)
{
    const auto found = m_pending.find(event.exchange);
    if (found == m_pending.end())
        return;
    if (event.outcome == CallOutcome::Answered) {
        m_pending.erase(found);
        return;
    }
    Pending &pending = found->second;
    if (event.attempt != pending.attempt)
        return;
    pending.isForwarding = false;
    pending.mayBeAccepted = pending.mayBeAccepted || event.outcome == CallOutcome::Broken;
    pending.nextTry = now + ForwardRetryInterval;
    if (event.httpStatus == UnfitHttpStatus)
        tryNextDataCentre(now, pending);
}

void EntryRouter::failUnreachable(ExchangeId exchange, const Pending &pending, Outbox &out)
{
    const std::optional<HostId> host = authorityHost(pending.dataCentre);
    const std::string peer = host.has_value() ? host->value() : pending.dataCentre.value();
    // A request named by its caller may also have come in through another entry host; only the
    // authority can be certain that it did not run.
    const bool isNotRun = !pending.mayBeAccepted && isAutomatic(pending.request);
    out.add(Reply{exchange,
                  errorAnswer(makeError(absl::StatusCode::kUnavailable, Step::Forward, peer,
                                        "the data centre's authority could not be reached in time"),
                              isNotRun)});
}

void EntryRouter::tick(Instant now, Outbox &out)
{
    std::vector<ExchangeId> due;
    for (auto &[exchange, pending] : m_pending) {
        abandonFormerAuthority(pending);
        const bool isStuck = pending.atCell && now >= pending.deadline + MaxOverrun;
        const bool isIdle = !pending.atCell && !pending.isForwarding && now >= pending.nextTry;
        // An authority that has lost its lease or whose disk hangs does not answer.
        pending.mayBeAccepted = pending.mayBeAccepted || isStuck;
        if (isStuck || isIdle)
            due.push_back(exchange);
    }
    for (const ExchangeId exchange : due) {
        const Pending &pending = m_pending.at(exchange);
        if (now >= pending.deadline)
            failUnreachable(exchange, pending, out);
        else
            route(now, exchange, out);
    }
}

void EntryRouter::rerouteOrphaned(Instant now, const std::vector<ExchangeId> &exchanges,
                                  Outbox &out)
{
    for (const ExchangeId exchange : exchanges) {
        const auto found = m_pending.find(exchange);
        if (found == m_pending.end())
            continue;
        Pending &pending = found->second;
        pending.atCell = false;
        pending.mayBeAccepted = true;
        pending.nextTry = now + ForwardRetryInterval;
        if (pending.forwarded)
            out.add(Reply{exchange, misdirected(m_directory.self, false)});
    }
}

void EntryRouter::answered(ExchangeId exchange)
{
    m_pending.erase(exchange);
}

void EntryRouter::exchangeClosed(ExchangeId exchange)
{
    m_pending.erase(exchange);
}

std::string EntryRouter::unreadinessReason(Instant now) const
{
    if (m_draining)
        return "shutting down";
    if (m_raft.appliedIndex() == LogIndex())
        return "the agreed state is not known yet";
    if (!areKeysFresh(now))
        return "the keys known here are too old";
    const DataCentreId own = m_directory.own().dataCentre;
    const bool decides = m_authorityFinder.decidingAuthority(now, own) != nullptr;
    if (!decides && now - m_raft.lastContact() > MaxContactAge)
        return "cut off from the log and not the authority of the data centre";
    if (m_raft.state().authority(own) == nullptr)
        return "the data centre has no authority yet";
    return {};
}

} // namespace gentiancross
