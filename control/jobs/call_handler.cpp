#include "control/jobs/call_handler.h"

#include "control/jobs/config_rules.h"
#include "control/jobs/job_store.h"
#include "core/job_size.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

constexpr std::size_t JobIdLength = 16;
/** Calls that wait are decided within a few commits of the log. */
constexpr Milliseconds ShedRetryDelay{1000};

/** The reason why the job can't be run as specified; empty if it can. */
std::optional<std::string> findDefect(const JobSpec &spec)
{
    if (spec.steps.empty())
        return "the job has no steps";
    std::uint64_t tasks = 0;
    for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
        const StepSpec &step = spec.steps[number];
        tasks += step.count;
        if (step.count == 0)
            return absl::StrCat("step ", number, " has no tasks");
        for (const std::uint32_t earlier : step.after) {
            if (earlier >= number)
                return absl::StrCat("step ", number, " waits for step ", earlier,
                                    ", which is not before it");
        }
    }
    if (tasks > MaxTasksPerJob)
        return absl::StrCat("the job has more than ", MaxTasksPerJob, " tasks");
    return std::nullopt;
}

bool isJobId(const std::string &text)
{
    return text.size() == JobIdLength
            && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

/** True if the job's records show that a task of it has begun. */
bool hasProgress(const Job &job)
{
    if (job.occurrencesDone > 0)
        return true;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const std::vector<TaskProgress> &tasks : occurrence.steps) {
            const bool hasBegun
                    = std::any_of(tasks.begin(), tasks.end(), [](const TaskProgress &task) {
                          return task.isDone || task.failures > 0 || !task.checkpoint.empty();
                      });
            if (hasBegun)
                return true;
        }
    }
    return false;
}

} // namespace

CallHandler::CallHandler(const JobStoreData &store, const AdmissionPolicy &admission,
                         CallDecisionHandler &decisions)
    : m_store(store)
    , m_admission(admission)
    , m_decisions(decisions)
{}

void CallHandler::updateWaiting(const JobId &id, const Job &job)
{
    if (job.state == JobState::Queued)
        m_waiting[job.terms.queue].insert(id);
    else if (job.isOver())
        m_waiting[job.terms.queue].erase(id);
}

void CallHandler::inherit(const JobId &id, const Job &job)
{
    if (!job.isOver() && !hasProgress(job))
        m_waiting[job.terms.queue].insert(id);
}

void CallHandler::recordBegun(const JobId &id)
{
    const auto job = m_store.jobs.find(id);
    if (job != m_store.jobs.end())
        m_waiting[job->second.terms.queue].erase(id);
}

void CallHandler::refuse(const CallOrigin &origin, Refusal refusal, std::string reason,
                         Milliseconds retryAfter)
{
    m_decisions.answer(origin, CallRefused{refusal, std::move(reason), retryAfter});
}

bool CallHandler::refuseForMemory(const CallOrigin &origin, const JobSpec &spec, const TeamId &team,
                                  Outbox &out)
{
    switch (m_admission.check(team, acceptedBytes(spec))) {
    case AdmissionVerdict::Accept:
        return false;
    case AdmissionVerdict::TooLarge:
        refuse(origin, Refusal::Malformed,
               "steps: the job takes more memory than the cell has for jobs");
        return true;
    case AdmissionVerdict::Full:
        out.count(CellEvent::SubmissionRefusedStoreFull);
        refuse(origin, Refusal::Unavailable, "the cell has no memory for another job",
               m_admission.retryAfter());
        return true;
    case AdmissionVerdict::TeamFull:
        out.count(CellEvent::SubmissionRefusedTeamFull);
        refuse(origin, Refusal::Unavailable, "the jobs of the team take too much memory",
               m_admission.retryAfter());
        return true;
    }
    return false;
}

bool CallHandler::isRepeatedSubmission(const CallOrigin &origin, const JobCall &call) const
{
    if (call.verb != JobVerb::Submit || call.path.size() < JobIdLength)
        return false;
    const auto found = m_store.jobs.find(JobId(call.path.substr(call.path.size() - JobIdLength)));
    return found != m_store.jobs.end() && found->second.submittedBy == origin;
}

void CallHandler::handle(Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                         Outbox &out)
{
    // Comes first: a refusal would say that the stored job does not run.
    if (isRepeatedSubmission(origin, call)) {
        m_decisions.answer(origin, CallDone{});
        return;
    }
    if (!m_store.document.has_value()) {
        refuse(origin, Refusal::Unavailable, "there is no configuration yet");
        return;
    }
    const ConfigDocument &document = *m_store.document;
    m_queues.update(m_store.document);
    const std::optional<QueueMatch> match = m_queues.find(call.host, call.path);
    if (!match.has_value()) {
        refuse(origin, Refusal::NoSuchQueue, "no queue has this address");
        return;
    }
    const TeamConfig *const team
            = call.key.has_value() ? configrules::findTeam(document, *call.key) : nullptr;
    if (team == nullptr && !match->queue->isPublic) {
        refuse(origin, Refusal::UnknownKey, "the key is missing or unknown");
        return;
    }
    if (call.verb == JobVerb::Submit) {
        submit(wall, origin, call, *match->queue, team == nullptr ? TeamId() : team->team,
               match->rest, out);
        return;
    }
    if (match->rest.empty()) {
        m_decisions.answer(origin, QueueLengthReport{waitingCount(match->queue->queue)});
        return;
    }
    const auto found = m_store.jobs.find(JobId(match->rest));
    if (found == m_store.jobs.end() || found->second.terms.queue != match->queue->queue) {
        refuse(origin, Refusal::NoSuchJob, "there is no such job");
        return;
    }
    if (call.verb == JobVerb::Status)
        m_decisions.answer(origin, JobStateReport{found->second.state});
    else
        cancel(origin, found->first, found->second, out);
}

std::uint64_t CallHandler::waitingCount(const QueueId &queue) const
{
    const auto found = m_waiting.find(queue);
    return found == m_waiting.end() ? 0 : found->second.size();
}

void CallHandler::submit(Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                         const QueueConfig &queue, const TeamId &team, const std::string &id,
                         Outbox &out)
{
    if (!isJobId(id)) {
        refuse(origin, Refusal::Malformed, "a job's name has 16 hexadecimal digits");
        return;
    }
    if (m_store.jobs.contains(JobId(id))) {
        m_decisions.answer(origin, CallDone{});
        return;
    }
    if (call.isShed) {
        out.count(CellEvent::SubmissionShed);
        refuse(origin, Refusal::Unavailable, "too many large jobs wait for a decision",
               ShedRetryDelay);
        return;
    }
    const std::optional<std::string> defect
            = call.spec.has_value() ? findDefect(*call.spec) : call.defect;
    if (defect.has_value()) {
        out.note(id, absl::StrCat("job refused: ", *defect));
        refuse(origin, Refusal::Malformed, *defect);
        return;
    }
    if (refuseForMemory(origin, *call.spec, team, out))
        return;
    JobAccepted record;
    record.id = JobId(id);
    record.terms = {queue.queue,           queue.pool,        team,
                    queue.priority,        queue.maxAttempts, queue.allowance,
                    queue.stretchPermille, queue.advice};
    record.submittedBy = origin;
    record.spec = *call.spec;
    record.acceptedAt = wall;
    out.note(id,
             absl::StrCat("job accepted: queue=", queue.queue.value(), " team=", team.value(),
                          " steps=", record.spec.steps.size(),
                          " config=", m_store.document->version.value()));
    m_decisions.apply(std::move(record));
    m_decisions.answer(origin, CallDone{});
}

void CallHandler::cancel(const CallOrigin &origin, const JobId &id, const Job &job, Outbox &out)
{
    if (!job.isOver()) {
        out.note(id.value(), "job cancelled on request of its team");
        m_decisions.apply(JobCancelled{id});
    }
    m_decisions.answer(origin, CallDone{});
}

void CallHandler::handle(const CallOrigin &origin, const PutConfiguration &call, Outbox &out)
{
    const std::optional<CallAnswer> known = configrules::answerUnchanged(call, m_store.document);
    if (known.has_value()) {
        if (const auto *refused = std::get_if<CallRefused>(&*known))
            out.note("configuration", "refused: " + refused->reason);
        m_decisions.answer(origin, *known);
        return;
    }
    const DocumentVersion held
            = m_store.document.has_value() ? m_store.document->version : DocumentVersion();
    out.note("configuration",
             absl::StrCat("accepted: version=", call.document->version.value(),
                          " replaces=", held.value()));
    m_decisions.apply(DocumentAccepted{call.document});
    m_decisions.answer(origin, CallDone{});
}

void CallHandler::handle(const CallOrigin &origin, const GetConfiguration &)
{
    if (m_store.document.has_value())
        m_decisions.answer(origin, ConfigurationReport{m_store.document->source});
    else
        refuse(origin, Refusal::Unavailable, "there is no configuration yet");
}

} // namespace gentiancross
