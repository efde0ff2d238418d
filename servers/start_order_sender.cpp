#include "servers/start_order_sender.h"

#include "core/error.h"
#include "servers/worker_codec.h"

namespace gentiancross {

namespace {

constexpr char OrderHeader[] = "X-Start-Order";
/** The worker's answer names the task that it is of. */
constexpr char TaskHeader[] = "x-task";
constexpr int HttpOk = 200;
/** The worker did not take the task. */
constexpr int HttpConflict = 409;

CallEnded endOf(CallId call, const StartTask &start, HttpResult result)
{
    CallEnded ended;
    ended.call = call;
    ended.outcome = result.outcome;
    ended.error = result.error;
    if (result.hasExpired)
        ended.error = makeError(absl::StatusCode::kDeadlineExceeded, Step::Dispatch,
                                start.worker.value(),
                                "the authority's lease ran out before the order left");
    if (result.outcome != CallOutcome::Answered)
        return ended;
    ended.httpStatus = result.response.status;
    ended.body = std::move(result.response.body);
    const auto task = result.response.headers.find(TaskHeader);
    if (task == result.response.headers.end() || task->second != start.order.task.value()) {
        ended.outcome = CallOutcome::Broken;
        ended.error = makeError(absl::StatusCode::kDataLoss, Step::Worker, start.worker.value(),
                                "the answer is not that of the task");
    } else if (ended.httpStatus == HttpConflict) {
        ended.outcome = CallOutcome::Refused;
        ended.error = makeError(absl::StatusCode::kUnavailable, Step::Worker, start.worker.value(),
                                *ended.body);
    } else if (ended.httpStatus != HttpOk) {
        ended.error = makeError(absl::StatusCode::kAborted, Step::Worker, start.worker.value(),
                                "the task failed on its worker");
    }
    return ended;
}

} // namespace

StartOrderSender::StartOrderSender(HttpClient &client, const Clock &clock, EventSink &events)
    : m_client(client)
    , m_clock(clock)
    , m_events(events)
{}

void StartOrderSender::carryOut(Effect effect)
{
    auto start = std::make_shared<StartTask>(std::get<StartTask>(std::move(effect)));
    HttpCall call;
    call.method = "POST";
    call.url = start->address + "/tasks";
    call.headers[OrderHeader] = workercodec::encodeOrder(start->order);
    call.headers["Content-Type"] = "application/octet-stream";
    call.body = std::make_shared<const std::string>(std::move(start->order.payload.bytes));
    call.timeout = start->timeout;
    call.freshConnection = true;
    call.isValid = [this, until = start->validUntil] { return m_clock.now() < until; };
    m_client.start(std::move(call), [this, start](HttpResult result) {
        m_events.post(endOf(start->call, *start, std::move(result)));
    });
}

} // namespace gentiancross
