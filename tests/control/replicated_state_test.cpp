#include "control/replicated_state.h"

#include <catch2/catch.hpp>

#include <random>

using namespace gentiancross;

namespace {

class Log
{
public:
    ApplyResult apply(const ReplicatedCommand &command, const std::string &proposal = {})
    {
        ++m_index;
        const std::string name = proposal.empty() ? "p" + std::to_string(m_index) : proposal;
        return m_state.apply({LogIndex(m_index), Term(1), ProposalId(name), command});
    }

    [[nodiscard]] const ReplicatedState &state() const { return m_state; }
    [[nodiscard]] const TeamData &team(const std::string &name) const
    {
        return m_state.data().teams.at(TeamId(name));
    }

    void takeAuthority(const std::string &dataCentre, const std::string &replica,
                       std::uint64_t from)
    {
        REQUIRE(apply(TakeAuthority{DataCentreId(dataCentre), Epoch(from), ReplicaId(replica),
                                    SessionId(replica)})
                        .accepted);
    }

private:
    ReplicatedState m_state;
    std::uint64_t m_index = 0;
};

PutTeam put(const std::string &team, std::uint64_t expected, std::int64_t limit)
{
    return {TeamId(team), ObjectVersion(expected), 1, MilliCores(limit)};
}

MoveAllotment move(const std::string &dataCentre, std::uint64_t serial, std::int64_t release,
                   std::int64_t wanted)
{
    return {DataCentreId(dataCentre), Epoch(1),          ObjectVersion(serial), TeamId("t"),
            MilliCores(release),      MilliCores(wanted)};
}

} // namespace

TEST_CASE("Of two changes based on the same version the first is applied and the second gets a "
          "conflict")
{
    Log log;
    CHECK(log.apply(put("t", 0, 100)).accepted);
    CHECK(log.apply(put("t", 1, 200)).accepted);
    const ApplyResult second = log.apply(put("t", 1, 300));
    CHECK(second.conflict);
    CHECK(second.version == ObjectVersion(2));
    CHECK(log.team("t").limitTarget == MilliCores(200));
}

TEST_CASE("A repeated proposal returns the first result and changes nothing")
{
    Log log;
    const ApplyResult first = log.apply(put("t", 0, 100), "op:a");
    CHECK(log.apply(put("t", 1, 200), "op:b").accepted);
    const ApplyResult again = log.apply(put("t", 0, 100), "op:a");
    CHECK(again.accepted);
    CHECK(again.index == first.index);
    CHECK(log.team("t").limitTarget == MilliCores(200));
}

TEST_CASE("A withdrawn key cannot be granted again under its name")
{
    Log log;
    log.apply(put("t", 0, 100));
    const GrantKey grant{TeamId("t"), KeyId("k"), KeyHash("h")};
    CHECK(log.apply(grant).accepted);
    CHECK(log.state().teamOfKey(KeyHash("h")) == TeamId("t"));
    CHECK(log.apply(RevokeKey{TeamId("t"), KeyId("k")}).accepted);
    CHECK_FALSE(log.state().teamOfKey(KeyHash("h")).has_value());
    CHECK(log.apply(grant).conflict);
    CHECK_FALSE(log.state().teamOfKey(KeyHash("h")).has_value());
}

TEST_CASE("Only an in-sync replica can take the authority, and only from the newest epoch")
{
    Log log;
    log.takeAuthority("hobart", "a#d-1", 0);
    const auto take = [&](const std::string &replica, std::uint64_t from) {
        return log.apply(TakeAuthority{DataCentreId("hobart"), Epoch(from), ReplicaId(replica),
                                       SessionId("s")});
    };
    CHECK_FALSE(take("b#d-1", 1).accepted);
    SetInSync both{DataCentreId("hobart"), Epoch(1), ObjectVersion(1), {}};
    both.replicas = {ReplicaId("a#d-1"), ReplicaId("b#d-1")};
    CHECK(log.apply(both).accepted);
    CHECK(log.apply(both).conflict);
    CHECK(take("b#d-1", 1).accepted);
    CHECK(take("a#d-1", 1).conflict);
    const AuthorityData &authority = *log.state().authority(DataCentreId("hobart"));
    CHECK(authority.epoch == Epoch(2));
    CHECK(authority.inSync == std::set<ReplicaId>{ReplicaId("b#d-1")});
}

TEST_CASE("The in-sync set never loses its last durable replica")
{
    Log log;
    log.takeAuthority("hobart", "a#d-1", 0);
    SetInSync both{DataCentreId("hobart"), Epoch(1), ObjectVersion(1), {}};
    both.replicas = {ReplicaId("a#d-1"), ReplicaId("b#m-1")};
    CHECK(log.apply(both).accepted);
    // The memory-only replica takes the authority; the durable replica must stay in the set.
    log.takeAuthority("hobart", "b#m-1", 1);
    const AuthorityData &authority = *log.state().authority(DataCentreId("hobart"));
    CHECK(authority.inSync.contains(ReplicaId("a#d-1")));
    SetInSync alone{DataCentreId("hobart"), Epoch(2), ObjectVersion(1), {}};
    alone.replicas = {ReplicaId("b#m-1")};
    CHECK_FALSE(log.apply(alone).accepted);
}

TEST_CASE("A late duplicate of an allotment move changes nothing")
{
    Log log;
    log.takeAuthority("hobart", "a#d-1", 0);
    log.apply(put("t", 0, 1000));
    CHECK(log.apply(move("hobart", 1, 400, 0)).accepted);
    CHECK(log.apply(move("hobart", 2, 0, 1000)).accepted);
    CHECK(log.apply(move("hobart", 1, 400, 0)).conflict);
    CHECK(log.state().allotment(TeamId("t"), DataCentreId("hobart")) == MilliCores(1000));
}

// The reference model keeps one number per data centre and reads their sum before each change.
TEST_CASE("Allotments never add up to more than the limit, compared with a reference model")
{
    const std::uint32_t seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    std::minstd_rand random(seed);
    const std::vector<std::string> centres = {"bruny", "devonport", "hobart", "launceston"};
    Log log;
    for (const std::string &centre : centres)
        log.takeAuthority(centre, centre + "#d-1", 0);
    std::int64_t limit = 4000;
    REQUIRE(log.apply(put("t", 0, limit)).accepted);
    std::map<std::string, std::int64_t> model;
    for (const std::string &centre : centres)
        model[centre] = limit / 4;
    std::uint64_t version = 1;
    std::uint64_t serial = 1;
    for (int step = 0; step < 300; ++step) {
        const std::int64_t before = log.team("t").allotted().value();
        if (random() % 10 == 0) {
            limit = static_cast<std::int64_t>(random() % 8000);
            REQUIRE(log.apply(put("t", version++, limit)).accepted);
        } else {
            const std::string &centre = centres[random() % centres.size()];
            const std::int64_t release = static_cast<std::int64_t>(random() % 3) * 300;
            const std::int64_t wanted = static_cast<std::int64_t>(random() % 5) * 700;
            REQUIRE(log.apply(move(centre, serial++, release, wanted)).accepted);
            model[centre] -= std::min(model[centre], release);
        }
        std::int64_t sum = 0;
        std::int64_t floor = 0;
        for (const std::string &centre : centres) {
            const std::int64_t part
                    = log.state().allotment(TeamId("t"), DataCentreId(centre)).value();
            // No data centre loses an allotment that it did not release.
            CHECK(part >= model[centre]);
            model[centre] = part;
            floor += part;
            sum += part;
        }
        CHECK(sum == log.team("t").allotted().value());
        CHECK(sum <= std::max(limit, before));
        // No part of the limit stays unallotted while a data centre wants more.
        if (!log.team("t").wanted.empty())
            CHECK(floor >= limit);
    }
}
