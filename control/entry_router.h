#pragma once

#include "control/data_centre_authority.h"
#include "control/outbox.h"
#include "control/raft_consensus.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace gentiancross {

/** Locates the authority of a data centre. Implemented by HostReducer for the EntryRouter. */
class AuthorityFinder
{
public:
    AuthorityFinder() = default;
    AuthorityFinder(const AuthorityFinder &) = delete;
    AuthorityFinder &operator=(const AuthorityFinder &) = delete;
    virtual ~AuthorityFinder() = default;

    /** The data centre's authority on this host; null unless this host may decide for it now. */
    [[nodiscard]] virtual DataCentreAuthority *decidingAuthority(Instant now,
                                                                 const DataCentreId &dataCentre)
            = 0;

    /** The address for workers of another host that is the authority, if it is known. */
    [[nodiscard]] virtual std::optional<std::string>
    authorityAddress(Instant now, const DataCentreId &dataCentre) const = 0;
};

/**
 * Owns the exchanges that came in through this host. Authenticates callers, names requests, and
 * routes each exchange to the data centre's authority on this or another host; retries under the
 * same name until the deadline. Called by HostReducer.
 * Thread safety: owned by the control thread.
 */
class EntryRouter
{
public:
    /** \a keyGrace is how long keys are accepted without contact with the replicated log. */
    EntryRouter(const HostDirectory &directory, Identity identity, const RaftConsensus &raft,
                AuthorityFinder &authorityFinder, Milliseconds keyGrace);

    void receive(Instant now, const SubmitReceived &event, Outbox &out);
    void receive(Instant now, const StatusReceived &event, Outbox &out);
    void receive(Instant now, const CancelReceived &event, Outbox &out);
    void receive(Instant now, const AnnouncementReceived &event, Outbox &out);
    void receive(Instant now, const ForwardEnded &event, Outbox &out);
    void exchangeClosed(ExchangeId exchange);
    /** Retries exchanges whose authority has gone; they are routed to its successor. */
    void rerouteOrphaned(Instant now, const std::vector<ExchangeId> &exchanges, Outbox &out);
    void tick(Instant now, Outbox &out);
    /** Drops the exchange, which has been answered. Must be called for every answer sent. */
    void answered(ExchangeId exchange);

    /** Makes the readiness check fail from now on. */
    void announceDrain() { m_draining = true; }
    /** Refuses new requests from callers from now on. */
    void stopAdmitting() { m_admitting = false; }
    [[nodiscard]] bool isIdle() const { return m_pending.empty(); }
    /** Why this host cannot serve callers now; empty if it can. */
    [[nodiscard]] std::string unreadinessReason(Instant now) const;

private:
    using Work = std::variant<SubmitReceived, StatusReceived, CancelReceived, AnnouncementReceived>;

    struct Pending
    {
        Work work;
        DataCentreId dataCentre;
        RequestId request;
        TeamId team;
        Instant deadline;
        Instant nextTry;
        bool atCell = false;
        bool isForwarding = false;
        /** True if another authority may have accepted the work. */
        bool mayBeAccepted = false;
        bool forwarded = false;
        std::uint32_t attempt = 0;
        HostId forwardedTo;
        /** Data centres still to try if the work fits none of those tried before. */
        std::set<DataCentreId> alternatives;
    };

    /** True while no revocation can be in force that this host does not know of. */
    [[nodiscard]] bool areKeysFresh(Instant now) const;
    std::optional<TeamId> authenticate(Instant now, ExchangeId exchange,
                                       const CallerIdentity &caller, bool isNamed, Outbox &out);
    template <typename Event>
    void receiveNamed(Instant now, const Event &event, Milliseconds deadline, Outbox &out);
    void route(Instant now, ExchangeId exchange, Outbox &out);
    void passToAuthority(Instant now, ExchangeId exchange, Pending &pending,
                         DataCentreAuthority &authority, Outbox &out);
    void forward(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    bool tryNextDataCentre(Instant now, Pending &pending) const;
    void abandonFormerAuthority(Pending &pending) const;
    void failUnreachable(ExchangeId exchange, const Pending &pending, Outbox &out);
    void addPending(Instant now, ExchangeId exchange, Pending pending, Outbox &out);
    [[nodiscard]] DataCentreId homeDataCentreOf(const WorkSpec &spec, std::string &name) const;
    [[nodiscard]] std::optional<HostId> authorityHost(const DataCentreId &dataCentre) const;

    const HostDirectory &m_directory;
    Identity m_identity;
    const RaftConsensus &m_raft;
    AuthorityFinder &m_authorityFinder;
    Milliseconds m_keyGrace;
    std::map<ExchangeId, Pending> m_pending;
    std::uint64_t m_nextName = 1;
    bool m_draining = false;
    bool m_admitting = true;
};

} // namespace gentiancross
