#include "tests/runner/scenario.h"

#include "drivers/codec.h"
#include "tests/runner/fault_injector.h"
#include "tests/runner/fleet_benchmark.h"
#include "tests/runner/outcome_table.h"
#include "tests/standins/standin_worker.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace gentiancross::tests {

namespace {

/** Time for the condition of an "until" line without within=. */
constexpr std::int64_t DefaultConditionTimeoutMs = 40'000;
constexpr Milliseconds QueryTimeout{1500};
constexpr std::int64_t PollIntervalMs = 50;

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

} // namespace

Scenario::Scenario(ScenarioSettings settings)
    : m_settings(std::move(settings))
{
    m_sender = std::make_unique<Sender>(m_settings.seed);
}

Scenario::~Scenario()
{
    for (std::thread &thread : m_background)
        thread.join();
}

const std::map<std::string, Scenario::Verb> &Scenario::verbs()
{
    static const std::map<std::string, Verb> known = {
            {"fleet", &Scenario::fleetVerb},
            {"workers", &Scenario::workersVerb},
            {"start", &Scenario::startVerb},
            {"kill", &Scenario::killVerb},
            {"freeze", &Scenario::freezeVerb},
            {"thaw", &Scenario::thawVerb},
            {"term", &Scenario::termVerb},
            {"ended", &Scenario::endedVerb},
            {"cut", &Scenario::cutVerb},
            {"heal", &Scenario::healVerb},
            {"lose-disk", &Scenario::loseDiskVerb},
            {"damage-disk", &Scenario::damageDiskVerb},
            {"control", &Scenario::controlVerb},
            {"send", &Scenario::sendVerb},
            {"await", &Scenario::awaitVerb},
            {"expect", &Scenario::expectVerb},
            {"pause", &Scenario::pauseVerb},
            {"until", &Scenario::untilVerb},
            {"check", &Scenario::checkVerb},
            {"mark", &Scenario::markVerb},
            {"check-limit", &Scenario::limitVerb},
            {"table", &Scenario::tableVerb},
            {"check-page", &Scenario::pageVerb},
            {"storm", &Scenario::stormVerb},
            {"check-runs", &Scenario::runsVerb},
            {"measure", &Scenario::measureVerb},
            {"check-memory", &Scenario::memoryVerb},
    };
    return known;
}

std::vector<std::string> Scenario::run(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        m_failures.push_back(path + ": cannot open scenario file");
        return m_failures;
    }
    m_startedAt = monotonicNowMs();
    std::string text;
    for (int number = 1; std::getline(file, text) && m_failures.empty(); ++number) {
        const ScenarioLine line = ScenarioLine::parse(text, number);
        if (line.verb.empty())
            continue;
        print(text);
        execute(line);
    }
    return m_failures;
}

void Scenario::print(const std::string &what) const
{
    if (!m_settings.verbose)
        return;
    std::cout << std::setw(7) << monotonicNowMs() - m_startedAt << "  " << what << std::endl;
}

void Scenario::fail(const ScenarioLine &line, const std::string &what)
{
    const std::string text
            = "line " + std::to_string(line.number) + " (" + line.verb + "): " + what;
    m_failures.push_back(text);
    print("FAILED " + text);
}

void Scenario::execute(const ScenarioLine &line)
{
    const auto verb = verbs().find(line.verb);
    const bool isEntryVerb = EntryVerbs::knows(line.verb);
    if (verb == verbs().end() && !isEntryVerb) {
        fail(line, "unknown verb");
        return;
    }
    if (m_fleet == nullptr && line.verb != "fleet") {
        fail(line, "the scenario must begin with \"fleet\"");
        return;
    }
    if (isEntryVerb)
        m_entryVerbs->execute(line);
    else
        (this->*verb->second)(line);
}

void Scenario::fleetVerb(const ScenarioLine &line)
{
    Fleet::Options options;
    options.binary = m_settings.binary;
    options.standin = m_settings.standin;
    options.folder = m_settings.folder;
    options.net = m_settings.net;
    options.extraArguments = line.option("arguments");
    std::replace(options.extraArguments.begin(), options.extraArguments.end(), ',', ' ');
    options.voters = absl::StrSplit(line.option("voters"), ',', absl::SkipEmpty());
    options.without = absl::StrSplit(line.option("without"), ',', absl::SkipEmpty());
    m_fleet = std::make_unique<Fleet>(std::move(options));
    m_conditions = std::make_unique<FleetConditions>(*m_fleet);
    ScenarioReporter &reporter = *this;
    m_entryVerbs = std::make_unique<EntryVerbs>(*m_fleet, *m_conditions, m_context, reporter);
    if (!m_fleet->prepare())
        fail(line, "cannot listen on one of the relay's addresses");
}

void Scenario::workersVerb(const ScenarioLine &line)
{
    std::string arguments = "--count " + line.option("count", "12");
    for (const char *name : {"millicores", "slots", "accelerators"}) {
        if (line.options.contains(name))
            arguments += std::string(" --") + name + ' ' + line.option(name);
    }
    m_fleet->startWorkers(line.word(0), arguments);
}

void Scenario::startVerb(const ScenarioLine &line)
{
    for (const std::string &host : m_conditions->resolveHosts(line.word(0)))
        m_fleet->start(host);
}

void Scenario::killVerb(const ScenarioLine &line)
{
    for (const std::string &host : m_conditions->resolveHosts(line.word(0))) {
        print("  kills " + host);
        m_fleet->kill(host);
    }
}

void Scenario::freezeVerb(const ScenarioLine &line)
{
    for (const std::string &host : m_conditions->resolveHosts(line.word(0)))
        m_fleet->signal(host, SIGSTOP);
}

void Scenario::thawVerb(const ScenarioLine &line)
{
    for (const std::string &host : m_conditions->resolveHosts(line.word(0)))
        m_fleet->signal(host, SIGCONT);
}

void Scenario::termVerb(const ScenarioLine &line)
{
    for (const std::string &host : m_conditions->resolveHosts(line.word(0)))
        m_fleet->signal(host, SIGTERM);
}

void Scenario::endedVerb(const ScenarioLine &line)
{
    const int code = m_fleet->waitForEnd(m_conditions->resolveHost(line.word(0)));
    const std::int64_t wanted = line.number64("code", 0);
    if (code != wanted)
        fail(line, "ended with " + std::to_string(code) + " instead of " + std::to_string(wanted));
}

void Scenario::setCuts(const ScenarioLine &line, bool cut)
{
    const std::vector<std::string> first = m_conditions->resolveHosts(line.word(0));
    for (const std::string &host : first) {
        for (const FleetHost &other : m_fleet->hosts()) {
            const bool isInside = std::find(first.begin(), first.end(), other.name) != first.end();
            if (line.words.size() < 2 ? !isInside : false)
                m_fleet->setCut(host, other.name, cut);
        }
        if (line.words.size() < 2)
            continue;
        for (const std::string &other : m_conditions->resolveHosts(line.word(1)))
            m_fleet->setCut(host, other, cut);
    }
}

void Scenario::cutVerb(const ScenarioLine &line)
{
    setCuts(line, true);
}

void Scenario::healVerb(const ScenarioLine &line)
{
    if (!line.words.empty()) {
        setCuts(line, false);
        return;
    }
    for (const FleetHost &first : m_fleet->hosts()) {
        for (const FleetHost &second : m_fleet->hosts()) {
            if (first.name < second.name)
                m_fleet->setCut(first.name, second.name, false);
        }
    }
}

void Scenario::loseDiskVerb(const ScenarioLine &line)
{
    m_fleet->loseDisk(m_conditions->resolveHost(line.word(0)));
}

void Scenario::damageDiskVerb(const ScenarioLine &line)
{
    m_fleet->damageDisk(m_conditions->resolveHost(line.word(0)),
                        static_cast<int>(line.number64("percent", 50)));
}

void Scenario::controlVerb(const ScenarioLine &line)
{
    Json::Value json;
    json["mode"] = line.word(1);
    if (line.options.contains("worker"))
        json["worker"] = Json::Int64(line.number64("worker", 0));
    callAndWait("POST", m_fleet->workerAddress(line.word(0)), "/control", {},
                codec::formatJson(json));
}

SendPlan Scenario::parseSendPlan(const ScenarioLine &line)
{
    SendPlan plan;
    plan.team = line.option("team", "alpha");
    plan.key = line.options.contains("secret") ? line.option("secret")
                                               : keySecret(plan.team, line.option("key", "k1"));
    plan.kind = line.option("kind", "short");
    plan.namePrefix = line.option("name");
    plan.selector = line.option("selector");
    plan.count = static_cast<int>(line.number64("count", 1));
    plan.times = static_cast<int>(line.number64("times", 1));
    plan.gapMs = line.number64("gap", 0);
    plan.runMs = line.number64("run", 10);
    plan.answerBytes = line.number64("bytes", 0);
    plan.payloadBytes = line.number64("payload", 0);
    plan.deadlineMs = line.number64("deadline", 10'000);
    plan.millicores = line.number64("millicores", 1'000);
    plan.accelerators = line.number64("accelerators", 0);
    plan.tasks = static_cast<int>(line.number64("tasks", 1));
    plan.fault = line.option("fault");
    const auto has = [&](const char *word) {
        return std::find(line.words.begin(), line.words.end(), word) != line.words.end();
    };
    plan.once = has("once");
    plan.urgent = has("urgent");
    for (const std::string &host : m_conditions->resolveHosts(line.option("via", "all")))
        plan.entries.push_back(m_fleet->entryAddress(host));
    return plan;
}

void Scenario::sendVerb(const ScenarioLine &line)
{
    const std::string tag = line.option("as", "line" + std::to_string(line.number));
    const SendPlan plan = parseSendPlan(line);
    const bool isBackground
            = std::find(line.words.begin(), line.words.end(), "background") != line.words.end();
    if (isBackground) {
        m_background.emplace_back([this, tag, plan] { m_sender->send(tag, plan); });
        return;
    }
    m_sender->send(tag, plan);
    if (!line.options.contains("as"))
        m_sender->await(tag);
}

void Scenario::awaitVerb(const ScenarioLine &line)
{
    for (std::thread &thread : m_background)
        thread.join();
    m_background.clear();
    m_sender->await(line.word(0));
}

void Scenario::expectVerb(const ScenarioLine &line)
{
    // "expect TAG done=20 unknown=0 most-not-run=3": exact counts, or upper and lower bounds with
    // the prefixes "most-" and "least-".
    m_sender->await(line.word(0));
    std::map<std::string, std::int64_t> counts;
    for (const SentRequest &request : m_sender->requests(line.word(0))) {
        std::string outcome = request.outcome;
        std::replace(outcome.begin(), outcome.end(), ' ', '-');
        ++counts[outcome];
        ++counts["status-" + std::to_string(request.status)];
    }
    std::string seen;
    for (const auto &[name, count] : counts)
        absl::StrAppend(&seen, " ", name, "=", count);
    print("  saw" + seen);
    for (const auto &[name, value] : line.options) {
        const bool isUpperBound = name.starts_with("most-");
        const bool isLowerBound = name.starts_with("least-");
        const std::string key = isUpperBound ? name.substr(5)
                : isLowerBound               ? name.substr(6)
                                             : name;
        const std::int64_t wanted = line.number64(name, 0);
        const bool holds = isUpperBound ? counts[key] <= wanted
                : isLowerBound          ? counts[key] >= wanted
                                        : counts[key] == wanted;
        if (!holds)
            fail(line, absl::StrCat(name, "=", value, " does not hold; saw", seen));
    }
}

void Scenario::pauseVerb(const ScenarioLine &line)
{
    std::int64_t milliseconds = 0;
    if (absl::SimpleAtoi(line.word(0), &milliseconds))
        sleepMs(milliseconds);
}

void Scenario::untilVerb(const ScenarioLine &line)
{
    const std::int64_t timeoutMs = line.number64("within", DefaultConditionTimeoutMs);
    const std::int64_t deadline = monotonicNowMs() + timeoutMs;
    while (!m_conditions->isTrue(line)) {
        if (monotonicNowMs() > deadline) {
            fail(line, absl::StrCat("condition not met within ", timeoutMs, " ms"));
            return;
        }
        sleepMs(PollIntervalMs);
    }
}

void Scenario::markVerb(const ScenarioLine &line)
{
    m_marks[line.word(0)] = monotonicNowMs();
    if (line.options.contains("host"))
        m_conditions->bindName(line.word(0), m_conditions->resolveHost(line.option("host")));
}

void Scenario::checkVerb(const ScenarioLine &line)
{
    const WorkerObservations observations = collectObservations(m_fleet->workerAddresses());
    const std::vector<SentRequest> requests = m_sender->requests({});
    const std::vector<std::string> broken = checkPromises(observations, requests, m_context);
    print("  " + std::to_string(observations.runs.size()) + " runs and "
          + std::to_string(requests.size()) + " requests compared");
    for (const std::string &promise : broken)
        fail(line, promise);
    if (!broken.empty())
        saveDiagnostics(observations);
}

void Scenario::saveDiagnostics(const WorkerObservations &observations)
{
    std::ofstream runs(m_settings.folder + "/runs.txt");
    for (const ObservedRun &run : observations.runs)
        runs << run.startedAt - m_startedAt << ' ' << run.endedAt - m_startedAt << ' ' << run.task
             << ' ' << run.worker << " epoch " << run.epoch << ' ' << run.nonce << '\n';
    for (const FleetHost &host : m_fleet->hosts()) {
        if (!m_fleet->isRunning(host.name))
            continue;
        const HttpResult result
                = callAndWait("GET", m_fleet->entryAddress(host.name), "/v1/timeline", OperatorKey,
                              {}, {}, false, QueryTimeout);
        if (result.outcome == CallOutcome::Answered)
            std::ofstream(m_settings.folder + "/timeline-" + host.name + ".json")
                    << *result.response.body;
    }
    print("  runs and timelines are saved in " + m_settings.folder);
}

void Scenario::memoryVerb(const ScenarioLine &line)
{
    const FleetBenchmark benchmark(*m_fleet, nullptr);
    for (const std::string &host : m_conditions->resolveHosts(line.word(0))) {
        const double memory = benchmark.residentMebibytes(host);
        print("  " + host + " has " + std::to_string(memory) + " MiB resident");
        if (memory > static_cast<double>(line.number64("most", 32)))
            fail(line, host + " has " + std::to_string(memory) + " MiB resident");
    }
}

void Scenario::measureVerb(const ScenarioLine &line)
{
    FleetBenchmark benchmark(*m_fleet, [this](const std::string &sentence) {
        const ScenarioLine condition = ScenarioLine::parse(sentence, 0);
        const std::size_t before = m_failures.size();
        untilVerb(condition);
        return m_failures.size() == before;
    });
    const std::string what = line.word(0);
    const int runs = static_cast<int>(line.number64("runs", 10));
    const std::string key = keySecret(line.option("team", "alpha"), "k1");
    const std::string dataCentre = line.option("data-centre", "hobart");
    std::vector<MeasuredFigure> figures;
    if (what == "use")
        figures = benchmark.measureResourceUse(line.option("label", "use"),
                                               line.number64("span", 10'000));
    else if (what == "journal")
        figures = benchmark.measureJournal(
                m_conditions->resolveHost(line.option("host", "hobart-1")),
                line.number64("span", 1000), runs);
    else if (what == "takeover")
        figures = {benchmark.measureTakeover(dataCentre, key, runs)};
    else if (what == "change")
        figures = {benchmark.measureChange("measured", runs)};
    else if (what == "withdrawal")
        figures = {benchmark.measureWithdrawal(line.option("team", "alpha"), runs)};
    else if (what == "recovery")
        figures = {benchmark.measureRecovery(
                "launceston-2", static_cast<int>(line.number64("changes", 1000)), runs)};
    else if (what == "path")
        figures = benchmark.measurePath(dataCentre, key, runs);
    else
        fail(line, "unknown measure: " + what);
    printAndSaveFigures(figures, m_settings.folder + "/figures.json");
}

std::int64_t Scenario::resolveSince(const ScenarioLine &line)
{
    return line.options.contains("since") ? m_marks[line.option("since")] : 0;
}

void Scenario::runsVerb(const ScenarioLine &line)
{
    const WorkerObservations observations = collectObservations(m_fleet->workerAddresses());
    const std::int64_t since = resolveSince(line);
    const std::string worker = line.option("worker");
    const auto count = std::count_if(
            observations.runs.begin(), observations.runs.end(), [&](const ObservedRun &run) {
                return run.startedAt > since && (worker.empty() || run.worker == worker);
            });
    print("  saw " + std::to_string(count) + " starts");
    if (count > line.number64("most", count) || count < line.number64("least", 0))
        fail(line, "saw " + std::to_string(count) + " starts");
}

void Scenario::limitVerb(const ScenarioLine &line)
{
    const WorkerObservations observations = collectObservations(m_fleet->workerAddresses());
    const std::int64_t since = resolveSince(line);
    const std::int64_t most = maxRunningMillicores(observations, line.word(0), since);
    print("  ran at most " + std::to_string(most) + " millicores at once");
    if (most > line.number64("most", 0))
        fail(line, "the team ran " + std::to_string(most) + " millicores");
    if (most < line.number64("least", 0))
        fail(line, "the team never ran more than " + std::to_string(most) + " millicores");
}

void Scenario::stormVerb(const ScenarioLine &line)
{
    FaultInjector injector(*m_fleet, *m_sender, m_settings.seed,
                           [this](const std::string &what) { print(what); });
    injector.run({line.number64("rounds", 6), line.number64("faults", 2), parseSendPlan(line)});
}

void Scenario::tableVerb(const ScenarioLine &)
{
    printOutcomes(m_sender->requests({}));
}

void Scenario::pageVerb(const ScenarioLine &line)
{
    const std::string host
            = m_conditions->resolveHost(line.option("via", m_fleet->hosts().front().name));
    const PageCheck page(*m_fleet, host);
    const std::string wrong = page.compare(line);
    std::ofstream(m_settings.folder + "/evening.html") << page.fetch("html");
    if (!wrong.empty())
        fail(line, "the page differs:" + wrong);
}

} // namespace gentiancross::tests
