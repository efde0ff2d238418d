#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace gentiancross {

/**
 * A strongly typed text identifier; the tag keeps identifiers of different kinds apart.
 * Thread safety: a value type; distinct objects may be used from distinct threads.
 */
template <typename Tag>
class TextId
{
public:
    using ValueType = std::string;

    TextId() = default;
    explicit TextId(std::string value)
        : m_value(std::move(value))
    {}

    /** The identifier as text; empty if not set. */
    [[nodiscard]] const std::string &value() const { return m_value; }
    [[nodiscard]] bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const TextId &) const = default;
    bool operator==(const TextId &) const = default;

private:
    std::string m_value;
};

/** A strongly typed numeric identifier; the tag keeps identifiers of different kinds apart. */
template <typename Tag>
class NumberId
{
public:
    using ValueType = std::uint64_t;

    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t value)
        : m_value(value)
    {}

    [[nodiscard]] constexpr std::uint64_t value() const { return m_value; }
    [[nodiscard]] constexpr NumberId next() const { return NumberId(m_value + 1); }

    auto operator<=>(const NumberId &) const = default;
    bool operator==(const NumberId &) const = default;

private:
    std::uint64_t m_value = 0;
};

using HostId = TextId<struct HostTag>;
using DataCentreId = TextId<struct DataCentreTag>;
using WorkerId = TextId<struct WorkerTag>;
using RackId = TextId<struct RackTag>;
using TeamId = TextId<struct TeamTag>;
using KeyId = TextId<struct KeyTag>;
/** A keyed hash of a secret key; the secret itself is never part of the control state. */
using KeyHash = TextId<struct KeyHashTag>;
/** Identifies a request in the whole fleet: "data centre:team:name". */
using RequestId = TextId<struct RequestTag>;
/** Identifies one attempt of one task: "request/task/attempt". */
using TaskId = TextId<struct TaskTag>;
/** Identifies one store of a host: "host#store". A host that lost its disk gets a new one. */
using ReplicaId = TextId<struct ReplicaTag>;
/** Identifies a proposal to the replicated log, so that a resend is applied only once. */
using ProposalId = TextId<struct ProposalTag>;
/** Identifies one run of a process or of a worker. */
using SessionId = TextId<struct SessionTag>;

using Term = NumberId<struct TermTag>;
using LogIndex = NumberId<struct LogIndexTag>;
using Epoch = NumberId<struct EpochTag>;
using RecordSequence = NumberId<struct RecordSequenceTag>;
using ExchangeId = NumberId<struct ExchangeTag>;
using CallId = NumberId<struct CallTag>;
using SyncToken = NumberId<struct SyncTokenTag>;
using ObjectVersion = NumberId<struct ObjectVersionTag>;

/** The host part of a replica's identifier. */
inline HostId hostOf(const ReplicaId &replica)
{
    return HostId(replica.value().substr(0, replica.value().find('#')));
}

/**
 * Builds a replica's identifier. A durable replica is stored on disk; any other is kept in memory
 * and ends with its process.
 */
inline ReplicaId makeReplica(const HostId &host, bool durable, const std::string &unique)
{
    return ReplicaId(host.value() + (durable ? "#d-" : "#m-") + unique);
}

/** True if the replica is stored on disk and so survives a restart of its process. */
inline bool isDurable(const ReplicaId &replica)
{
    return replica.value().find("#d-") != std::string::npos;
}

} // namespace gentiancross

template <typename Tag>
struct std::hash<gentiancross::TextId<Tag>>
{
    std::size_t operator()(const gentiancross::TextId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template <typename Tag>
struct std::hash<gentiancross::NumberId<Tag>>
{
    std::size_t operator()(const gentiancross::NumberId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value());
    }
};
