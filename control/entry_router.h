#pragma once

#include "control/cell.h"
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

/** Finds who decides for a data centre. */
class CellFinder
{
public:
    CellFinder() = default;
    CellFinder(const CellFinder &) = delete;
    CellFinder &operator=(const CellFinder &) = delete;
    virtual ~CellFinder() = default;

    /** The cell, or null unless this host may decide for the data centre now. */
    [[nodiscard]] virtual Cell *decidingCell(Instant now, const DataCentreId &dataCentre) = 0;

    /** Where another host that decides for the data centre takes workers, if it is known. */
    [[nodiscard]] virtual std::optional<std::string>
    authorityAddress(Instant now, const DataCentreId &dataCentre) const = 0;
};

/**
 * The entry side of a host: checks keys, names requests, and brings each exchange to the authority
 * that decides it, here or on another host, trying again under the same name until its deadline.
 * Thread safety: owned by the control thread.
 */
class Entry
{
public:
    /** \a keyGrace bounds how long keys are honoured without contact to the log. */
    Entry(const HostDirectory &directory, Identity identity, const RaftConsensus &agreement,
          CellFinder &cells, Milliseconds keyGrace);

    void receive(Instant now, const SubmitReceived &event, Outbox &out);
    void receive(Instant now, const StatusReceived &event, Outbox &out);
    void receive(Instant now, const CancelReceived &event, Outbox &out);
    void receive(Instant now, const AnnouncementReceived &event, Outbox &out);
    void receive(Instant now, const ForwardEnded &event, Outbox &out);
    void exchangeClosed(ExchangeId exchange);
    /** The cell that held these exchanges is gone; they find their way to its successor. */
    void orphaned(Instant now, const std::vector<ExchangeId> &exchanges, Outbox &out);
    void tick(Instant now, Outbox &out);
    /** To be told of every answer that is given, so that the exchange is not pursued further. */
    void answered(ExchangeId exchange);

    /** Fails the readiness from now on. */
    void announceDrain() { m_draining = true; }
    /** Takes no new exchanges of callers on. */
    void stopAdmitting() { m_admitting = false; }
    [[nodiscard]] bool isIdle() const { return m_pending.empty(); }
    /** Why this host can't serve callers now; empty if it can. */
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
        bool underWay = false;
        /** True if another host may have taken the work on. */
        bool mayBeTaken = false;
        bool forwarded = false;
        std::uint32_t attempt = 0;
        HostId forwardedTo;
        /** Data centres that may still be tried if the work fits none of those tried before. */
        std::set<DataCentreId> alternatives;
    };

    /** True while no withdrawal can be in force that this host has not heard of. */
    [[nodiscard]] bool honoursKeys(Instant now) const;
    std::optional<TeamId> authenticate(Instant now, ExchangeId exchange,
                                       const CallerIdentity &caller, bool isNamed, Outbox &out);
    template <typename Event>
    void receiveNamed(Instant now, const Event &event, Milliseconds deadline, Outbox &out);
    void pursue(Instant now, ExchangeId exchange, Outbox &out);
    void giveToCell(Instant now, ExchangeId exchange, Pending &pending, Cell &cell, Outbox &out);
    void forward(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    bool goElsewhere(Instant now, Pending &pending) const;
    void leaveFormerAuthority(Pending &pending) const;
    void giveUp(ExchangeId exchange, const Pending &pending, Outbox &out);
    void add(Instant now, ExchangeId exchange, Pending pending, Outbox &out);
    [[nodiscard]] DataCentreId homeOf(const WorkSpec &spec, std::string &name) const;
    [[nodiscard]] std::optional<HostId> authorityHost(const DataCentreId &dataCentre) const;

    const HostDirectory &m_directory;
    Identity m_identity;
    const RaftConsensus &m_agreement;
    CellFinder &m_cells;
    Milliseconds m_keyGrace;
    std::map<ExchangeId, Pending> m_pending;
    std::uint64_t m_nextName = 1;
    bool m_draining = false;
    bool m_admitting = true;
};

} // namespace gentiancross
