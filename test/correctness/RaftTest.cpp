/** \file
 * The replicated log's single rules, beside what scenarios, random schedules and the model say of the whole.
 */
#include "version/Raft.h"
#include "version/ControllerState.h"

#include <doctest/doctest.h>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };

raft::Settings settingsOf(const std::string& self, bool isNewCluster = true)
{
    raft::Settings settings;
    settings.self = self;
    settings.members = { "a", "b", "c" };
    settings.disk = DiskId(static_cast<std::uint64_t>(self[0]));
    settings.isNewCluster = isNewCluster;
    return settings;
}

template <typename T> std::vector<T> sent(const Raft::Effects& effects)
{
    std::vector<T> found;
    for (const auto& effect : effects) {
        if (const auto* send = std::get_if<raft::Send>(&effect); send && std::holds_alternative<T>(send->message))
            found.push_back(std::get<T>(send->message));
    }
    return found;
}

/// Index of the first effect of a kind, or the number of effects.
template <typename T> std::size_t firstOf(const Raft::Effects& effects)
{
    std::size_t i = 0;
    while (i < effects.size() && !std::holds_alternative<T>(effects[i]))
        ++i;
    return i;
}

VoteRequest voteRequest(std::uint64_t term, bool preVote) { return { term, 0, 0, preVote, DiskId('b') }; }

} // namespace

TEST_CASE("a vote is stored before it is told, and given once a term")
{
    Raft raft(settingsOf("a"), {}, start);
    raft.recover();
    auto effects = raft.receive("b", voteRequest(5, false), start);
    REQUIRE(sent<VoteReply>(effects).size() == 1);
    CHECK(sent<VoteReply>(effects)[0].granted);
    CHECK(firstOf<raft::Persist>(effects) < firstOf<raft::Send>(effects));
    auto second = raft.receive("c", VoteRequest { 5, 0, 0, false, DiskId('c') }, start);
    CHECK(!sent<VoteReply>(second)[0].granted);
}

TEST_CASE("a pre-vote changes nothing")
{
    Raft raft(settingsOf("a"), {}, start);
    raft.recover();
    auto effects = raft.receive("b", voteRequest(5, true), start);
    CHECK(sent<VoteReply>(effects)[0].granted);
    CHECK(raft.term() == 0);
}

TEST_CASE("who hears a leader votes for nobody else")
{
    Raft raft(settingsOf("a"), {}, start);
    raft.recover();
    raft.receive("c", AppendRequest { 3, 0, 0, 0, 1, {} }, start);
    CHECK(!sent<VoteReply>(raft.receive("b", voteRequest(9, true), start + 10ms))[0].granted);
    CHECK(!sent<VoteReply>(raft.receive("b", voteRequest(9, false), start + 10ms))[0].granted);
    CHECK(raft.term() == 3);
}

TEST_CASE("a fresh disk does not vote outside a founding")
{
    Raft raft(settingsOf("a", false), {}, start);
    raft.recover();
    CHECK(!sent<VoteReply>(raft.receive("b", voteRequest(5, false), start))[0].granted);
    raft.tick(start + 10s);
    CHECK(raft.serverState() == Raft::ServerState::Follower);
}

TEST_CASE("a shorter or older log gets no vote")
{
    raft::Recovered recovered;
    recovered.hardState = { 4, "", true };
    recovered.entries = { { 3, 1, NoopCommand {} }, { 4, 2, NoopCommand {} } };
    Raft raft(settingsOf("a"), recovered, start);
    CHECK(!sent<VoteReply>(raft.receive("b", VoteRequest { 6, 1, 4, false, DiskId('b') }, start))[0].granted);
    CHECK(!sent<VoteReply>(raft.receive("b", VoteRequest { 7, 9, 3, false, DiskId('b') }, start))[0].granted);
    CHECK(sent<VoteReply>(raft.receive("b", VoteRequest { 8, 2, 4, false, DiskId('b') }, start))[0].granted);
}

TEST_CASE("entries are stored before they are acknowledged, and contradicting ones voided")
{
    raft::Recovered recovered;
    recovered.hardState = { 2, "", true };
    recovered.entries = { { 1, 1, NoopCommand {} }, { 2, 2, NoopCommand {} } };
    Raft raft(settingsOf("a"), recovered, start);
    AppendRequest append { 3, 1, 1, 0, 1, { { 3, 2, NoopCommand {} } } };
    auto effects = raft.receive("b", append, start);
    auto at = firstOf<raft::Persist>(effects);
    // The first record is the new term; the entry's comes after it and before the reply.
    bool hasTruncation = false;
    for (; at < firstOf<raft::Send>(effects); ++at) {
        if (const auto* persist = std::get_if<raft::Persist>(&effects[at]); persist && persist->truncateFrom == 2)
            hasTruncation = true;
    }
    CHECK(hasTruncation);
    CHECK(sent<AppendReply>(effects)[0].match == 2);
}

TEST_CASE("a message of a former term changes nothing")
{
    raft::Recovered recovered;
    recovered.hardState = { 7, "", true };
    Raft raft(settingsOf("a"), recovered, start);
    auto effects = raft.receive("b", AppendRequest { 6, 0, 0, 0, 1, { { 6, 1, NoopCommand {} } } }, start);
    CHECK(!sent<AppendReply>(effects)[0].accepted);
    CHECK(raft.lastIndex() == 0);
}

TEST_CASE("a state survives saving and loading")
{
    ControllerState state;
    state.apply({ 1, 1, ConfigCommand { 1, "x", "me", { { "account/a/rate", "1/s" } }, {} } });
    state.apply({ 1, 2, IntentCommand { "k", 1, Attempt(1), PeerId(1), {} } });
    state.apply({ 1, 3, FenceCommand { "lugeja-1", "order" } });
    ControllerState copy;
    REQUIRE(copy.load(state.save()));
    CHECK(copy.configuration().version() == ConfigVersion(1));
    CHECK(copy.configuration().account("a").ratePerSecond == doctest::Approx(1));
    CHECK(copy.ledger().entries().size() == 1);
    CHECK(copy.apply({ 1, 4, FenceCommand { "lugeja-1", "order" } }).number == 1);
    CHECK(copy.apply({ 1, 5, FenceCommand { "lugeja-1", "other" } }).number == 2);
    CHECK(!copy.load("rubbish"));
}

TEST_CASE("the conflict of equal numbers shows what the winner set")
{
    ControllerState state;
    state.apply({ 1, 1, ConfigCommand { 1, "x", "ann", { { "account/a/rate", "1/s" } }, {} } });
    auto reply = state.apply({ 1, 2, ConfigCommand { 1, "y", "ben", { { "account/a/rate", "2/s" } }, {} } });
    CHECK(reply.code == ResultCode::ConfigConflict);
    CHECK(reply.text.find("ann set account/a/rate=1/s") != std::string::npos);
}
