/** \file
 * How a member that is behind is brought up to date: what it costs on links, what its disk holds after it, and what it may say meanwhile.
 */
#include "Folder.h"
#include "message/Codec.h"
#include "version/ControllerLogic.h"
#include "version/LogStorage.h"

#include <deque>
#include <doctest/doctest.h>

using namespace wrenhinge;
using wrenhinge::test::Folder;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr Duration heartbeat = 80ms;
constexpr std::size_t documentBytes = 600000;

raft::Settings settingsOf(const std::string& self)
{
    raft::Settings settings;
    settings.self = self;
    settings.members = { "a", "b", "c" };
    settings.disk = DiskId(static_cast<std::uint64_t>(self[0]));
    settings.isNewCluster = true;
    settings.heartbeat = heartbeat;
    return settings;
}

raft::Recovered recoveredAt(std::uint64_t term)
{
    raft::Recovered recovered;
    recovered.hardState = { term, "", true };
    return recovered;
}

/// A leader and a member with an empty log, joined by a link; a third member acknowledges all at once.
class LeaderAndFollower {
public:
    explicit LeaderAndFollower(raft::Recovered content)
        : m_leader(settingsOf("a"), std::move(content), start)
        , m_follower(settingsOf("b"), recoveredAt(1), start)
    {
        m_leader.recover();
        m_follower.recover();
        m_now = m_leader.nextWake();
        m_leader.tick(m_now);
        auto term = m_leader.term() + 1;
        m_leader.receive("c", VoteReply { term, true, true, DiskId('c') }, m_now);
        perform(m_leader.receive("c", VoteReply { term, true, false, DiskId('c') }, m_now));
        REQUIRE(m_leader.isLeader());
    }

    /// The member stands still, and what it is sent waits.
    void suspendFollowerFor(int heartbeats)
    {
        for (int i = 0; i < heartbeats; ++i) {
            m_now += heartbeat;
            perform(m_leader.tick(m_now));
        }
    }

    /// What was sent to the member so far arrives, and its answers do; what the leader sends then waits.
    void deliverOnce()
    {
        auto toFollower = std::exchange(m_toFollower, {});
        for (auto& message : toFollower) {
            for (auto& effect : m_follower.receive("a", message, m_now)) {
                if (auto* send = std::get_if<raft::Send>(&effect); send && send->to == "a")
                    m_toLeader.push_back(std::move(send->message));
            }
        }
        auto toLeader = std::exchange(m_toLeader, {});
        for (auto& message : toLeader)
            perform(m_leader.receive("b", message, m_now));
    }

    /// Messages go back and forth until there are none.
    void deliverAll()
    {
        while (!m_toFollower.empty())
            deliverOnce();
    }

    [[nodiscard]] const Raft& leader() const { return m_leader; }
    [[nodiscard]] const Raft& follower() const { return m_follower; }
    /// Bytes that the leader has sent to the member.
    [[nodiscard]] std::size_t sentBytes() const { return m_sentBytes; }

private:
    void perform(Raft::Effects effects)
    {
        for (auto& effect : effects) {
            auto* send = std::get_if<raft::Send>(&effect);
            if (!send)
                continue;
            if (send->to == "b") {
                m_sentBytes += encode(send->message).size();
                m_toFollower.push_back(std::move(send->message));
            } else if (const auto* append = std::get_if<AppendRequest>(&send->message)) {
                AppendReply reply { m_leader.term(), true, m_leader.lastIndex(), append->round, DiskId('c'), true };
                perform(m_leader.receive("c", reply, m_now));
            }
        }
    }

    Raft m_leader;
    Raft m_follower;
    Instant m_now;
    std::deque<Message> m_toFollower;
    std::deque<Message> m_toLeader;
    std::size_t m_sentBytes = 0;
};

} // namespace

TEST_CASE("a leader whose members are slow to reply goes on until an election could have been held without it")
{
    // Symptom: no change is accepted while disks are slow, and one election follows another. Sequence: a leader is elected; its members'
    // first replies wait for their disks for longer than a heartbeat. Cause: a member counted as heard of only once it had said that it
    // knows its disk to be registered, so that the new leader's first look found it alone.
    Raft leader(settingsOf("a"), recoveredAt(1), start);
    leader.recover();
    auto now = leader.nextWake();
    leader.tick(now);
    leader.receive("c", VoteReply { leader.term() + 1, true, true, DiskId('c') }, now);
    leader.receive("c", VoteReply { leader.term(), true, false, DiskId('c') }, now);
    REQUIRE(leader.isLeader());
    now += 3 * heartbeat;
    leader.tick(now);
    CHECK(leader.isLeader());
    now += 2 * settingsOf("a").electionTimeout;
    leader.tick(now);
    CHECK_FALSE(leader.isLeader());
}

TEST_CASE("a member that lacks entries is sent them once, however many heartbeats it refused")
{
    // Symptom: the link to a controller that was behind carries a document many times over and is given up. Sequence: the controller
    // stands still while heartbeats wait for it; it then refuses each of them. Cause: each refusal sends all that it lacks.
    auto content = recoveredAt(1);
    content.entries = { { 1, 1, DocumentCommand { 1, std::string(documentBytes, 'x'), 0, {} } } };
    LeaderAndFollower pair(content);
    pair.suspendFollowerFor(8);
    pair.deliverAll();
    CHECK(pair.follower().lastIndex() == pair.leader().lastIndex());
    CHECK(pair.sentBytes() < 2 * documentBytes);
}

TEST_CASE("a snapshot goes over the link once, however often its first chunk was sent again")
{
    // Symptom: the link to a controller with an empty disk is full for seconds. Sequence: it stands still after it was sent the first
    // chunk; each heartbeat repeats that one. Cause: each answer to a repeated chunk is followed by the next chunk, so all chunks are
    // repeated.
    auto content = recoveredAt(1);
    content.snapshot = { 10, 1, std::string(documentBytes, 'x') };
    LeaderAndFollower pair(content);
    pair.deliverOnce();
    pair.suspendFollowerFor(8);
    pair.deliverAll();
    CHECK(pair.follower().lastIndex() == pair.leader().lastIndex());
    CHECK(pair.sentBytes() < 2 * documentBytes);
}

TEST_CASE("entries that a snapshot has voided do not come back from the disk")
{
    // Symptom: a controller does not start any more: "the log lacks entry 21". Sequence: it led and wrote entries that nobody else took;
    // the next leader has compacted its own entries in their place and sends a snapshot; one more entry, and a restart. Cause: the voided
    // entries beyond the snapshot stay on the disk, and the new one follows them there.
    Folder folder;
    LogStorage storage;
    REQUIRE(storage.open(folder.path(), DiskId('b')));
    auto content = recoveredAt(1);
    for (std::uint64_t i = 1; i <= 20; ++i)
        content.entries.push_back({ 1, i, NoopCommand {} });
    storage.append({ content.hardState, 0, content.entries });
    REQUIRE(storage.sync());
    Raft raft(settingsOf("b"), content, start);
    raft.recover();
    auto perform = [&storage](const Raft::Effects& effects) {
        for (const auto& effect : effects) {
            if (const auto* persist = std::get_if<raft::Persist>(&effect))
                storage.append(*persist);
            else if (const auto* save = std::get_if<raft::SaveSnapshot>(&effect))
                REQUIRE(storage.saveSnapshot(save->snapshot));
        }
        REQUIRE(storage.sync());
    };
    perform(raft.receive("a", SnapshotChunk { 2, 15, 2, 0, "state", true }, start));
    CHECK(raft.lastIndex() == 15);
    perform(raft.receive("a", AppendRequest { 2, 15, 2, 15, 1, { { 2, 16, NoopCommand {} } } }, start));
    CHECK(raft.lastIndex() == 16);
    LogStorage again;
    auto recovered = again.open(folder.path(), DiskId('b'));
    REQUIRE_MESSAGE(recovered, recovered.error().message);
    REQUIRE(recovered.value().entries.size() == 1);
    CHECK(recovered.value().entries.front().term == 2);
}

TEST_CASE("a snapshot is not put together from the bytes of two leaders")
{
    // Symptom: a controller ends with "a snapshot that passed its checksum can't be read", also after each restart. Sequence: a leader ends
    // within the transfer; the next one has a snapshot up to the same entry and sends it from the beginning. Cause: the transfer goes on
    // with the second one's bytes, which need not be the same: the order of what a state holds is not.
    Raft raft(settingsOf("b"), recoveredAt(1), start);
    raft.recover();
    raft.receive("a", SnapshotChunk { 2, 15, 2, 0, "aaaa", false }, start);
    raft.receive("c", SnapshotChunk { 3, 15, 2, 0, "cccc", false }, start);
    std::string restored;
    for (const auto& effect : raft.receive("c", SnapshotChunk { 3, 15, 2, 4, "cccc", true }, start)) {
        if (const auto* restore = std::get_if<raft::Restore>(&effect))
            restored = restore->snapshot.bytes;
    }
    CHECK(restored == "cccccccc");
}

namespace {

constexpr PeerId leaderPeer { 2 };
constexpr PeerId gatewayPeer { 9 };

Hello helloOf(PeerId id, Role role, const std::string& name)
{
    Hello hello;
    hello.id = id;
    hello.role = role;
    hello.name = name;
    return hello;
}

/// What a controller offered last to the gateway.
std::optional<DocumentOffer> lastOffer(const ControllerLogic::Effects& effects)
{
    std::optional<DocumentOffer> last;
    for (const auto& effect : effects) {
        const auto* send = std::get_if<controller::Send>(&effect);
        if (const auto* offer = send ? std::get_if<DocumentOffer>(&send->message) : nullptr)
            last = *offer;
    }
    return last;
}

} // namespace

TEST_CASE("a controller does not call its document the newest before its leader knows what was committed")
{
    // Symptom: after the whole site has lost power, gateways serve by a document that was overtaken long before. Sequence: version 1 is in
    // the snapshots, version 6 was acknowledged and stands in the logs; all start, one is elected and tells its first heartbeat. Cause: a
    // leader that has committed nothing yet tells the commit index of its snapshot, and a member that has got as far calls that the newest.
    ControllerState former;
    former.apply({ 1, 1, DocumentCommand { 1, "version 1", 0, {} } });
    auto content = recoveredAt(3);
    content.snapshot = { 10, 2, former.save() };
    content.entries = { { 3, 11, DocumentCommand { 6, "version 6", 0, {} } } };
    ControllerLogic logic(settingsOf("c"), content, start);
    logic.start();
    std::vector<controller::Event> events { controller::PeerUp { helloOf(leaderPeer, Role::Controller, "b") },
        controller::PeerUp { helloOf(gatewayPeer, Role::Gateway, "g") },
        controller::PeerMessage { leaderPeer, AppendRequest { 4, 11, 3, 10, 1, { { 4, 12, NoopCommand {} } } } } };
    auto offer = lastOffer(logic.step(events, start));
    if (offer)
        CHECK_FALSE(offer->isCurrent);
    events = { controller::PeerMessage { leaderPeer, AppendRequest { 4, 12, 4, 12, 2, {} } } };
    offer = lastOffer(logic.step(events, start));
    REQUIRE(offer);
    CHECK(offer->version == 6);
    CHECK(offer->isCurrent);
}

TEST_CASE("a read that the leader was asked for is refused when the link to it ends")
{
    // Symptom: a read back waits for its whole patience and fails, and what asked for it is kept for ever. Sequence: a controller that
    // does not lead asks the leader, whose link ends before the answer. Cause: only proposals were refused then.
    ControllerLogic logic(settingsOf("c"), recoveredAt(3), start);
    logic.start();
    constexpr std::uint64_t ticket = 7;
    std::vector<controller::Event> events { controller::PeerUp { helloOf(leaderPeer, Role::Controller, "b") },
        controller::PeerMessage { leaderPeer, AppendRequest { 4, 0, 0, 0, 1, {} } }, controller::LocalRead { ticket } };
    logic.step(events, start);
    events = { controller::PeerDown { leaderPeer } };
    std::size_t replies = 0;
    for (const auto& effect : logic.step(events, start)) {
        if (const auto* reply = std::get_if<controller::LocalReply>(&effect); reply && reply->ticket == ticket) {
            ++replies;
            CHECK(reply->reply.code == ResultCode::ConfigUnavailable);
        }
    }
    CHECK(replies == 1);
}

TEST_CASE("documents that come to the leader together are all accepted, whatever they were changes of when they came")
{
    // Symptom: of eight orders at once most are refused three times and end with 503, one by one. Sequence: they are forwarded as changes
    // of version 1, and wait for one another at the leader. Cause: once the first is applied, the others are changes of a former version.
    auto settings = settingsOf("a");
    settings.members = { "a" };
    ControllerLogic logic(settings, recoveredAt(1), start);
    logic.start();
    auto now = logic.nextWake();
    std::size_t accepted = 0;
    std::size_t refused = 0;
    auto step = [&](const std::vector<controller::Event>& events) {
        for (const auto& effect : logic.step(events, now)) {
            const auto* send = std::get_if<controller::Send>(&effect);
            if (const auto* reply = send ? std::get_if<ProposeReply>(&send->message) : nullptr)
                ++(reply->code == ResultCode::Ok ? accepted : refused);
        }
    };
    step({ controller::Tick {} });
    REQUIRE(logic.raft().isLeader());
    auto textOf = [](std::uint64_t version) { return std::string(100, 'x') + " version " + std::to_string(version); };
    step({ controller::LocalPropose { 1, DocumentCommand { 1, textOf(1), 0, {} } } });
    auto held = logic.state().document();
    REQUIRE(held.version() == 1);
    std::vector<controller::Event> events;
    for (std::uint64_t version = 2; version <= 9; ++version)
        events.emplace_back(controller::PeerMessage { leaderPeer, Propose { version, held.commandFor(version, textOf(version)) } });
    step(events);
    for (int i = 0; i < 9; ++i)
        step({ controller::Tick {} });
    CHECK(accepted == 8);
    CHECK(refused == 0);
    CHECK(logic.state().document().text() == textOf(9));
}
