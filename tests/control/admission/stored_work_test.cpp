#include "control/admission/memory_plan.h"
#include "control/admission/stored_work.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <random>

using namespace gentiancross;

namespace {

const TeamId alpha("alpha");
const TeamId beta("beta");

JobId makeId(int number)
{
    return JobId(absl::StrCat(number));
}

/** Adds jobs of the team until one is not accepted; returns the verdict on it. */
AdmissionVerdict fillUp(StoredWork &work, const TeamId &team, Bytes bytes, int firstNumber)
{
    for (int number = firstNumber;; ++number) {
        const AdmissionVerdict verdict = work.check(team, bytes);
        if (verdict != AdmissionVerdict::Accept)
            return verdict;
        work.set(makeId(number), team, bytes);
    }
}

} // namespace

// Guards against a team whose jobs take all the memory, so that other teams' jobs are refused.
TEST_CASE("A team that stores as much as it can leaves room for the others")
{
    StoredWork work(Bytes(1000));
    CHECK(fillUp(work, alpha, Bytes(10), 0) == AdmissionVerdict::TeamFull);
    CHECK(work.heldBy(alpha) == Bytes(750));
    CHECK(work.check(beta, Bytes(100)) == AdmissionVerdict::Accept);
    for (int team = 0; team < 20; ++team)
        fillUp(work, TeamId(absl::StrCat("team", team)), Bytes(1), 1000 * (team + 1));
    CHECK(work.total() <= work.limit());
}

TEST_CASE("Something that can never fit is told apart from what does not fit now")
{
    StoredWork work(Bytes(1000));
    CHECK(work.check(alpha, Bytes(751)) == AdmissionVerdict::TooLarge);
    work.set(makeId(1), beta, Bytes(900));
    CHECK(work.check(alpha, Bytes(101)) == AdmissionVerdict::Full);
    CHECK(work.check(alpha, Bytes(80)) == AdmissionVerdict::TeamFull);
    work.remove(makeId(1));
    CHECK(work.check(alpha, Bytes(101)) == AdmissionVerdict::Accept);
}

TEST_CASE("A refused job may come back when the next one is forgotten, within bounds")
{
    StoredWork work(Bytes(1000));
    CHECK(work.retryAfter() == Milliseconds(5000));
    work.setNextRelease(Milliseconds(7000));
    CHECK(work.retryAfter() == Milliseconds(7000));
    work.setNextRelease(Milliseconds(-1));
    CHECK(work.retryAfter() == Milliseconds(1000));
    work.setNextRelease(Milliseconds(150'000));
    CHECK(work.retryAfter() == Milliseconds(30'000));
}

TEST_CASE("The sums equal a recount after any changes")
{
    std::mt19937 random(5);
    StoredWork work(Bytes(1'000'000));
    std::map<int, std::pair<TeamId, Bytes>> jobs;
    for (int change = 0; change < 2000; ++change) {
        const int number = static_cast<int>(random() % 50);
        if (random() % 3 == 0) {
            work.remove(makeId(number));
            jobs.erase(number);
            continue;
        }
        const TeamId team = number % 2 == 0 ? alpha : beta;
        const Bytes bytes(static_cast<std::int64_t>(random() % 1000) + 1);
        work.set(makeId(number), team, bytes);
        jobs[number] = {team, bytes};
    }
    std::map<TeamId, Bytes> expected;
    Bytes total;
    for (const auto &[number, job] : jobs) {
        expected[job.first] += job.second;
        total += job.second;
    }
    CHECK(work.total() == total);
    CHECK(work.jobs() == jobs.size());
    CHECK(work.teams() == expected);
}

TEST_CASE("A keeper's plan fits its memory, copies included")
{
    for (const int memory : {128, 256, 312, 384, 1024}) {
        const MemoryPlan plan = deriveMemoryPlan(Mebibytes(memory));
        CHECK(plan.storedWork >= toBytes(Mebibytes(memory)) / 16);
        CHECK(plan.storedWork * 3 + plan.log * 2 <= toBytes(Mebibytes(memory)) * 2 / 3);
    }
}
