#pragma once

#include "core/ledger.h"
#include "core/work.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace gentiancross {

/** A request was taken on; from here on it has exactly one outcome. */
struct RequestAccepted
{
    RequestId request;
    TeamId team;
    WorkSpec spec;
    Milliseconds acceptedAtWall;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.request, self.team, self.spec, self.acceptedAtWall);
    }
};

/** A task is about to be sent to a worker; from here on it may be running there. */
struct TaskStarting
{
    RequestId request;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    WorkerId worker;
    Milliseconds startedAtWall;
    /** What the request waited for until now; told with its first start. */
    WaitCause waitedFor = WaitCause::Nothing;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.request, self.task, self.attempt, self.worker, self.startedAtWall,
                        self.waitedFor);
    }
};

/** A task is certainly not running any more. */
struct TaskEnded
{
    RequestId request;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    bool ran = false;
    bool succeeded = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.request, self.task, self.attempt, self.ran, self.succeeded);
    }
};

/** The request's one outcome; `answer` is kept only if it is small enough. */
struct RequestEnded
{
    RequestId request;
    Outcome outcome = Outcome::Pending;
    std::string reason;
    std::optional<Blob> answer;
    Milliseconds endedAtWall;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.request, self.outcome, self.reason, self.answer, self.endedAtWall);
    }
};

/** The request's retention has run out; its name may be forgotten. */
struct RequestForgotten
{
    RequestId request;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.request);
    }
};

/** The authority keeps the ledger in this minute; carries what it has seen since it last said so.
 */
struct MinuteRecorded
{
    Milliseconds wall;
    IntervalStatistics seen;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.wall, self.seen);
    }
};

/** A half hour of the ledger, whole; part of a data centre's whole state. */
struct LedgerPageRecorded
{
    HalfHour halfHour;
    LedgerPage page;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.halfHour, self.page);
    }
};

using DataCentreRecord = std::variant<RequestAccepted, TaskStarting, TaskEnded, RequestEnded,
                                      RequestForgotten, MinuteRecorded, LedgerPageRecorded>;

} // namespace gentiancross
