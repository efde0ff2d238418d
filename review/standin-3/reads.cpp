// Case: reads of the configuration that a cut-off leader has taken are never answered.

#include "cell.h"

using namespace review;

namespace {

constexpr int Readers = 8;
constexpr int Cuts = 12;
constexpr Ms CutTime = 2500;
constexpr Ms BetweenCuts = 4500;
constexpr Ms ReadTimeout = 1000;
constexpr Ms ContactMs = 3000;
constexpr Ms ReadBackTime = 8000;

const char Document[]
        = R"({"version":7,"routes":[{"name":"r-check","host":"jobs.example","path_prefix":"/q/",)"
          R"("kind":"unsafe","timeout_ms":3000,"target_runtime_ms":250,"priority":0,)"
          R"("service":"pool","max_attempts":3,"stretch":1.5,"public":false}],)"
          R"("services":[{"name":"pool","health_path":"/health","max_conns":64,"protocol":"h1",)"
          R"("tls":false,"enforces_capacity":false,"spare":false}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000},"tenants":[{"name":"alpha","api_keys":["key-of-alpha"],)"
          R"("priority":1,"weight":10,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}]})";

HttpAnswer readFrom(Record &record, const Host &host, const char *who)
{
    const Ms begin = record.now();
    const HttpAnswer answer = httpCall(host.control, "GET", "/config/get", "", ReadTimeout);
    record.line("%s read %s: %s after %lld ms%s%s", who, host.name.c_str(),
                answer.status == 0 ? "no answer" : std::to_string(answer.status).c_str(),
                static_cast<long long>(record.now() - begin), answer.status == 200 ? "" : " ",
                answer.status == 200 ? "" : answer.body.c_str());
    return answer;
}

/** One read after another, each at another host. After a failure the pause grows. */
void read(Cell &cell, Record &record, int number, const std::atomic<bool> &stopping)
{
    const std::vector<Host *> keepers = cell.keepers();
    Ms pause = 100;
    for (std::size_t turn = std::size_t(number); !stopping; ++turn) {
        const HttpAnswer answer
                = readFrom(record, *keepers[turn % keepers.size()], "operator");
        pause = answer.status == 200 ? 100 : std::min<Ms>(pause * 2, 1000);
        sleepMs(pause);
    }
}

} // namespace

int main(int, char **arguments)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[1]);
    Cell cell(record, 3, 1, true);
    if (!cell.start() || !putConfiguration(cell, record, Document))
        return CouldNotRun;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> readers;
    for (int number = 0; number < Readers; ++number)
        readers.emplace_back([&, number] { read(cell, record, number, stopping); });
    sleepMs(2000);
    for (int cut = 0; cut < Cuts; ++cut) {
        Host *const leader = cell.leader();
        if (leader == nullptr)
            return CouldNotRun;
        if (hasTrouble()) {
            record.line("core_cut (leader one_way): %s", leader->name.c_str());
            leader->relay->setCut(true);
        }
        sleepMs(CutTime);
        if (hasTrouble()) {
            record.line("cut healed: %s", leader->name.c_str());
            leader->relay->setCut(false);
        }
        sleepMs(BetweenCuts);
    }
    stopping = true;
    for (std::thread &reader : readers)
        reader.join();
    record.line("end of the day: the operator reads back for %lld ms, with contact_ms %lld",
                static_cast<long long>(ReadBackTime), static_cast<long long>(ContactMs));
    int came = 0;
    for (const Ms end = steadyMs() + ReadBackTime; steadyMs() < end; sleepMs(200)) {
        for (Host *keeper : cell.keepers())
            came += readFrom(record, *keeper, "read back:").status == 200 ? 1 : 0;
    }
    record.line("%s: CONFIG, %d of the final reads brought the configuration",
                came == 0 ? "BROKEN" : "held", came);
    return came == 0 ? RuleBroken : RuleHeld;
}
