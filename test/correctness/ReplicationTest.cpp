/** \file
 * Catch-up of a member that is behind: the bytes sent, the content of its disk afterwards, and its messages in the meantime.
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

/// A leader and a follower with an empty log, connected by a link; a third member acknowledges everything at once.
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

    /// The follower is suspended; messages to it are queued.
    void suspendFollowerFor(int heartbeats)
    {
        for (int i = 0; i < heartbeats; ++i) {
            m_now += heartbeat;
            perform(m_leader.tick(m_now));
        }
    }

    /// Delivers the messages sent to the follower so far, and its replies; messages that the leader then sends are queued.
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

    /// Delivers messages in both directions until none is left.
    void deliverAll()
    {
        while (!m_toFollower.empty())
            deliverOnce();
    }

    [[nodiscard]] const Raft& leader() const { return m_leader; }
    [[nodiscard]] const Raft& follower() const { return m_follower; }
    /// Bytes that the leader has sent to the follower.
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

TEST_CASE("a leader without replies keeps leading until another leader could have been elected")
{
    // Guards against repeated elections without an accepted change on slow disks.
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

TEST_CASE("missing entries are sent once, however many heartbeats the member has rejected")
{
    // Guards against a document that is sent many times to a controller that is behind, until its link is closed.
    auto content = recoveredAt(1);
    content.entries = { { 1, 1, DocumentCommand { 1, std::string(documentBytes, 'x'), 0, {} } } };
    LeaderAndFollower pair(content);
    pair.suspendFollowerFor(8);
    pair.deliverAll();
    CHECK(pair.follower().lastIndex() == pair.leader().lastIndex());
    CHECK(pair.sentBytes() < 2 * documentBytes);
}

TEST_CASE("a snapshot is sent once, however often its first chunk was resent")
{
    // Guards against a link to a controller with an empty disk that is congested for seconds.
    auto content = recoveredAt(1);
    content.snapshot = { 10, 1, std::string(documentBytes, 'x') };
    LeaderAndFollower pair(content);
    pair.deliverOnce();
    pair.suspendFollowerFor(8);
    pair.deliverAll();
    CHECK(pair.follower().lastIndex() == pair.leader().lastIndex());
    CHECK(pair.sentBytes() < 2 * documentBytes);
}

TEST_CASE("entries that a snapshot has replaced are deleted from the disk")
{
    // Guards against a controller that does not start: "the log has no entry 21".
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

TEST_CASE("a snapshot is not assembled from the chunks of two leaders")
{
    // Guards against a controller that exits with "a snapshot with a valid checksum can't be decoded", also after each restart.
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

/// The last offer that a controller sent to the gateway.
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

TEST_CASE("a controller does not offer its document as the newest before its leader knows the commit index")
{
    // Guards against gateways that use an outdated document after a power loss of the whole site.
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

TEST_CASE("a read forwarded to the leader is rejected when the link to it closes")
{
    // Guards against a read that waits for its whole timeout and fails, and whose state is kept for ever.
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

TEST_CASE("documents that reach the leader together are all accepted, whichever version they are based on")
{
    // Guards against eight simultaneous updates of which most are rejected three times and fail with 503.
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
