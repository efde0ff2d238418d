#include "servers/event_kind.h"

namespace gentiancross {

namespace {

/** Events that have no kind of their own count as `EventKind::Other`. */
struct KindFinder
{
    EventKind operator()(const Ticked &) const { return EventKind::Tick; }
    EventKind operator()(const Synced &) const { return EventKind::Sync; }
    EventKind operator()(const PeerMessageReceived &event) const
    {
        return std::visit(*this, event.message);
    }
    EventKind operator()(const CellCallReceived &event) const
    {
        return std::visit(*this, event.call);
    }
    EventKind operator()(const RelayCallRequest &message) const
    {
        return std::visit(*this, message.call);
    }
    EventKind operator()(const JobCall &) const { return EventKind::JobCall; }
    EventKind operator()(const PutConfiguration &) const { return EventKind::Configuration; }
    EventKind operator()(const GetConfiguration &) const { return EventKind::Configuration; }
    EventKind operator()(const WorkerHeartbeat &) const { return EventKind::Heartbeat; }
    EventKind operator()(const WorkerLeave &) const { return EventKind::Heartbeat; }
    EventKind operator()(const HeartbeatsReport &) const { return EventKind::HeartbeatsReport; }
    EventKind operator()(const UnknownIncarnationsReport &) const
    {
        return EventKind::HeartbeatsReport;
    }
    EventKind operator()(const WorkerAnswer &answer) const
    {
        switch (answer.cost.kind) {
        case OrderKind::Start:
            return EventKind::StartAnswer;
        case OrderKind::Stop:
            return EventKind::StopAnswer;
        case OrderKind::LeaseRenewal:
            break;
        }
        return EventKind::RenewalAnswer;
    }
    EventKind operator()(const WorkerAnswers &) const { return EventKind::WorkerAnswers; }
    EventKind operator()(const WorkerOrders &) const { return EventKind::WorkerOrders; }
    EventKind operator()(const AdviceRequest &) const { return EventKind::Advice; }
    EventKind operator()(const AdviceResponse &) const { return EventKind::Advice; }
    EventKind operator()(const AppendRequest &) const { return EventKind::Log; }
    EventKind operator()(const AppendReply &) const { return EventKind::Log; }
    EventKind operator()(const VoteRequest &) const { return EventKind::Log; }
    EventKind operator()(const VoteReply &) const { return EventKind::Log; }
    EventKind operator()(const InstallSnapshot &) const { return EventKind::Log; }
    EventKind operator()(const TimeoutNow &) const { return EventKind::Log; }
    EventKind operator()(const LeaderQuery &) const { return EventKind::Relay; }
    EventKind operator()(const LeaderReport &) const { return EventKind::Relay; }
    EventKind operator()(const RelayCallResponse &) const { return EventKind::Relay; }
    template <typename Other>
    EventKind operator()(const Other &) const
    {
        return EventKind::Other;
    }
};

} // namespace

EventKind kindOf(const EventPayload &payload)
{
    return std::visit(KindFinder(), payload);
}

} // namespace gentiancross
