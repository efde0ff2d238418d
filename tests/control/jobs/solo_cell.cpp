#include "tests/control/jobs/solo_cell.h"

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr Milliseconds Step{50};
constexpr Milliseconds CallTimeout{3000};

} // namespace

SoloCell::SoloCell()
{
    startProcess();
    constexpr std::int64_t FirstElectionMs = 3000;
    advance(FirstElectionMs);
}

void SoloCell::startProcess()
{
    const HostId self("10.0.0.1:7400");
    CellOptions options;
    options.isKeeper = true;
    options.directory.self = self;
    options.directory.hosts.emplace(self, HostInfo{self, DataCentreId("hobart"), true});
    options.directory.initialVoters = {self};
    options.seeds = {self};
    options.voters.voters = 1;
    options.identity
            = {makeReplica(self, true, "1"), SessionId("s" + std::to_string(++m_processCount))};
    options.heartbeatAddress = "10.0.0.1:8180";
    m_root = std::make_unique<CellRoot>(std::move(options));
    m_orders.clear();
    m_adviceRequests.clear();
    feed(Recovered{m_durable, m_durable.empty()});
}

void SoloCell::restart()
{
    constexpr std::int64_t ElectionMs = 3000;
    startProcess();
    advance(ElectionMs);
}

void SoloCell::feed(EventPayload payload)
{
    std::vector<SyncToken> written;
    Effects effects = m_root->reduce({m_now, Milliseconds(m_now.value()), std::move(payload)});
    m_maxEffects = std::max(m_maxEffects, effects.size());
    for (Effect &effect : effects) {
        if (auto *persist = std::get_if<Persist>(&effect)) {
            if (persist->replaceAll)
                m_durable.clear();
            m_durable.insert(m_durable.end(), persist->records.begin(), persist->records.end());
            written.push_back(persist->token);
        } else if (auto *order = std::get_if<CallWorker>(&effect)) {
            m_orders.push_back(std::move(*order));
        } else if (auto *request = std::get_if<AdviceRequest>(&effect)) {
            m_adviceRequests.push_back(std::move(*request));
        } else if (auto *answer = std::get_if<AnswerCall>(&effect)) {
            m_lastAnswer = std::move(answer->answer);
        } else if (const auto *line = std::get_if<LogLine>(&effect)) {
            m_warnings += line->warning ? 1 : 0;
        }
    }
    for (const SyncToken token : written)
        feed(Synced{token});
}

void SoloCell::advance(std::int64_t milliseconds)
{
    const Instant until = m_now + Milliseconds(milliseconds);
    while (m_now < until) {
        m_now = m_now + Step;
        feed(Ticked{});
    }
}

void SoloCell::call(const CellCall &call)
{
    feed(CellCallReceived{ExchangeId(++m_lastExchange), call, CallTimeout});
}

} // namespace gentiancross::tests
