/** \file
 * Membership changes of a running log: bootstrap, growth, learners, replacement of failed members, wiped disks, a second failure.
 *
 * Uses real Raft objects with simulated disks, links and time. The first letter of a controller's name is its availability zone.
 */
#include "version/MembershipPlan.h"
#include "version/Raft.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr Duration step = 10ms;

/// The durable content of one controller's disk.
struct Disk {
    DiskId id;
    raft::Recovered content;
};

class Cluster {
public:
    explicit Cluster(std::vector<std::string> initialMembers, std::size_t toleratedFailures = 0)
        : m_initialMembers(std::move(initialMembers))
        , m_toleratedFailures(toleratedFailures)
    {
        for (const auto& name : m_initialMembers)
            startEmpty(name, true);
    }

    /// Starts a controller with an empty disk.
    void startEmpty(const std::string& name, bool isNewCluster = false)
    {
        m_disks[name] = { DiskId(++m_lastDisk), {} };
        run(name, isNewCluster);
    }
    /// Starts a controller that has no disk.
    void startDiskless(const std::string& name)
    {
        m_disks[name] = {};
        run(name, false);
    }
    void restart(const std::string& name) { run(name, false); }
    void stop(const std::string& name)
    {
        m_running.erase(name);
        for (auto& [other, raft] : m_running)
            raft->removePeer(name);
    }
    void partition(const std::string& name) { m_partitioned.insert(name); }
    /// Suspends the process and its clock; messages to it are lost.
    void suspend(const std::string& name) { m_suspended.insert(name); }
    void resume(const std::string& name) { m_suspended.erase(name); }

    void advance(Duration d)
    {
        for (auto end = m_now + d; m_now < end; m_now += step) {
            for (auto& [name, raft] : m_running) {
                if (m_suspended.contains(name))
                    m_clockDelay[name] += step;
                else if (raft->nextWake() <= clockOf(name))
                    perform(name, raft->tick(clockOf(name)));
            }
            deliver();
        }
    }

    Raft* leader()
    {
        for (auto& [name, raft] : m_running) {
            if (raft->isLeader() && isReachable(name))
                return raft.get();
        }
        return nullptr;
    }
    Raft& at(const std::string& name) { return *m_running.at(name); }

    /// Commits a document, with up to 30 attempts. \returns whether it succeeded.
    bool commit(std::uint64_t version)
    {
        for (int i = 0; i < 30; ++i) {
            if (auto* raft = leader()) {
                Raft::Effects effects;
                auto index = raft->propose(DocumentCommand { version, "text" }, effects);
                auto name = raft->leader();
                perform(name, std::move(effects));
                perform(name, raft->flush(clockOf(name)));
                advance(200ms);
                if (m_running.contains(name) && m_running.at(name)->commitIndex() >= index)
                    return true;
            }
            advance(100ms);
        }
        return false;
    }

    /// The newest document that a controller has applied.
    std::uint64_t applied(const std::string& name) { return m_applied[name]; }
    std::vector<std::string> members() { return leader() ? leader()->members() : std::vector<std::string>(); }
    /// Waits for `count` members, none of which is in `excluded`. \returns whether that happened within 10 s.
    bool awaitMembers(std::size_t count, const std::vector<std::string>& excluded = {})
    {
        for (int i = 0; i < 1000; ++i) {
            auto names = members();
            auto isExcluded = [&excluded](const auto& name) { return std::find(excluded.begin(), excluded.end(), name) != excluded.end(); };
            if (names.size() == count && std::none_of(names.begin(), names.end(), isExcluded))
                return true;
            advance(step);
        }
        return false;
    }
    /// Voters of each availability zone, in ascending order.
    std::vector<std::size_t> votersByZone()
    {
        std::map<char, std::size_t> zones;
        for (const auto& name : members())
            ++zones[name[0]];
        std::vector<std::size_t> counts;
        for (const auto& [zone, count] : zones)
            counts.push_back(count);
        std::sort(counts.begin(), counts.end());
        return counts;
    }
    std::vector<std::string> running()
    {
        std::vector<std::string> names;
        for (const auto& [name, raft] : m_running)
            names.push_back(name);
        return names;
    }

private:
    struct Envelope {
        std::string from;
        std::string to;
        Message message;
    };

    [[nodiscard]] bool isReachable(const std::string& name) const
    {
        return m_running.contains(name) && !m_partitioned.contains(name) && !m_suspended.contains(name);
    }
    Instant clockOf(const std::string& name) { return m_now - m_clockDelay[name]; }

    void run(const std::string& name, bool isNewCluster)
    {
        raft::Settings settings;
        settings.self = name;
        settings.zone = name.substr(0, 1);
        settings.toleratedFailures = m_toleratedFailures;
        settings.isDynamic = true;
        settings.isNewCluster = isNewCluster;
        if (isNewCluster)
            settings.members = m_initialMembers;
        settings.disk = m_disks[name].id;
        settings.seed = ++m_lastSeed;
        m_applied[name] = 0;
        m_clockDelay.erase(name);
        m_running[name] = std::make_unique<Raft>(settings, m_disks[name].content, m_now);
        perform(name, m_running[name]->recover());
        for (auto& [other, raft] : m_running) {
            if (other == name)
                continue;
            raft->addPeer(name, name.substr(0, 1), clockOf(other));
            m_running[name]->addPeer(other, other.substr(0, 1), m_now);
        }
    }

    void perform(const std::string& name, Raft::Effects effects)
    {
        for (auto& effect : effects) {
            if (auto* persist = std::get_if<raft::Persist>(&effect)) {
                store(m_disks[name].content, *persist);
            } else if (auto* send = std::get_if<raft::Send>(&effect)) {
                m_envelopes.push_back({ name, send->to, send->message });
            } else if (auto* apply = std::get_if<raft::Apply>(&effect)) {
                if (const auto* document = std::get_if<DocumentCommand>(&apply->entry.command))
                    m_applied[name] = std::max(m_applied[name], document->version);
            }
        }
    }

    static void store(raft::Recovered& disk, const raft::Persist& persist)
    {
        if (persist.hardState)
            disk.hardState = *persist.hardState;
        if (persist.truncateFrom)
            std::erase_if(disk.entries, [&](const LogEntry& entry) { return entry.index >= persist.truncateFrom; });
        disk.entries.insert(disk.entries.end(), persist.entries.begin(), persist.entries.end());
    }

    void deliver()
    {
        for (auto envelopes = std::exchange(m_envelopes, {}); !envelopes.empty(); envelopes = std::exchange(m_envelopes, {})) {
            for (auto& m : envelopes) {
                if (isReachable(m.to) && isReachable(m.from))
                    perform(m.to, m_running[m.to]->receive(m.from, m.message, clockOf(m.to)));
            }
        }
    }

    std::vector<std::string> m_initialMembers;
    std::size_t m_toleratedFailures;
    std::map<std::string, Disk> m_disks;
    std::map<std::string, std::unique_ptr<Raft>> m_running;
    std::map<std::string, std::uint64_t> m_applied;
    std::set<std::string> m_partitioned;
    std::set<std::string> m_suspended;
    std::map<std::string, Duration> m_clockDelay; ///< How far the clock of a controller is behind.
    std::deque<Envelope> m_envelopes;
    Instant m_now = start;
    std::uint64_t m_lastDisk = 0;
    std::uint64_t m_lastSeed = 0;
};

/// A peer of the leader; the first letter of its name is its zone.
membership::PeerStatus peer(const std::string& name, std::uint64_t match = 100, Duration sinceLastReply = 0ms)
{
    return { name, name.substr(0, 1), sinceLastReply == 0ms, false, true, match, sinceLastReply };
}

membership::PeerStatus unresponsivePeer(const std::string& name) { return peer(name, 90, 5s); }

using Names = std::vector<std::string>;

/// The plan of the first member as the leader, after a hundred entries.
std::optional<Names> plan(const Names& members, const std::vector<membership::PeerStatus>& others, std::size_t toleratedFailures = 0)
{
    return membership::plan({ members, members.front(), members.front().substr(0, 1), others, 100, toleratedFailures });
}

/// The clusters of the tests below: three initial members in three zones, and a second controller in each zone.
const Names initialMembers { "a1", "b1", "c1" };
const Names allControllers { "a1", "a2", "b1", "b2", "c1", "c2" };

void startRemaining(Cluster& cluster)
{
    for (const auto* name : { "a2", "b2", "c2" })
        cluster.startEmpty(name);
}

} // namespace

TEST_CASE("an unavailable member is replaced by a learner that has caught up, one step at a time")
{
    Names abc { "a", "b", "c" };
    CHECK(!plan(abc, { peer("b"), peer("c"), peer("d") }));
    CHECK(!plan(abc, { peer("b"), unresponsivePeer("c") }));
    CHECK(!plan(abc, { peer("b"), unresponsivePeer("c"), peer("d", 10) }));
    CHECK(plan(abc, { peer("b"), unresponsivePeer("c"), peer("d") }) == Names { "a", "b", "c", "d" });
    CHECK(plan({ "a", "b", "c", "d" }, { peer("b"), unresponsivePeer("c"), peer("d") }) == Names { "a", "b", "d" });
}

TEST_CASE("no member is removed if the healthy members are no majority of the current members")
{
    CHECK(!plan({ "a", "b", "c", "d" }, { unresponsivePeer("b"), unresponsivePeer("c"), peer("d") }));
}

TEST_CASE("members are added in pairs, up to 2f + 1 for f failures to tolerate")
{
    Names three { "a1", "b1", "c1" };
    auto b1 = peer("b1");
    auto c1 = peer("c1");
    CHECK(!plan(three, { b1, c1, peer("a2") }, 2));
    CHECK(!plan(three, { b1, c1, peer("a2"), peer("b2", 10) }, 2));
    CHECK(plan(three, { b1, c1, peer("a2"), peer("b2") }, 2) == Names { "a1", "b1", "c1", "a2" });
    CHECK(plan({ "a1", "b1", "c1", "a2" }, { b1, c1, peer("a2"), peer("b2") }, 2) == Names { "a1", "b1", "c1", "a2", "b2" });
    CHECK(!plan({ "a1", "b1", "c1", "a2", "b2" }, { b1, c1, peer("a2"), peer("b2"), peer("c2") }, 2));
    CHECK(!plan(three, { b1, c1, peer("a2"), peer("b2") }, 1));
}

TEST_CASE("an even number of members is intermediate: it grows if there is a learner, otherwise it shrinks")
{
    Names four { "a1", "b1", "c1", "a2" };
    auto b1 = peer("b1");
    auto c1 = peer("c1");
    CHECK(plan(four, { b1, c1, peer("a2") }, 2) == Names { "a1", "b1", "c1" });
    CHECK(plan(four, { b1, c1, peer("a2"), peer("b2") }, 1) == Names { "a1", "b1", "c1" });
    // Two members are not reduced to one: that tolerates no more failures, and leaves all data on a single disk.
    CHECK(!plan({ "a1", "b1" }, { b1 }, 1));
    CHECK(plan({ "a1", "b1" }, { b1, c1 }, 1) == Names { "a1", "b1", "c1" });
}

TEST_CASE("a learner in the zone with the fewest voters is added first, and replaces a voter of a zone with two more")
{
    auto b1 = peer("b1");
    auto c1 = peer("c1");
    CHECK(plan({ "a1", "b1", "c1" }, { b1, c1, peer("a2"), peer("d1") }, 2) == Names { "a1", "b1", "c1", "d1" });
    // The zone of the unavailable member has no voter left.
    CHECK(plan({ "a1", "b1", "c1" }, { b1, unresponsivePeer("c1"), peer("a2"), peer("c2") }, 1) == Names { "a1", "b1", "c1", "c2" });
    Names skewed { "a1", "b1", "b2" };
    CHECK(plan(skewed, { b1, peer("b2"), peer("c1") }, 1) == Names { "a1", "b1", "b2", "c1" });
    CHECK(plan({ "a1", "b1", "b2", "c1" }, { b1, peer("b2"), c1 }, 1) == Names { "a1", "b1", "c1" });
    CHECK(!plan({ "a1", "b1", "c1" }, { b1, c1, peer("d1") }, 1));
}

TEST_CASE("a controller without a disk is never added, and a member with an unregistered disk does not make a removal safe")
{
    auto diskless = peer("a2");
    diskless.isDiskless = true;
    CHECK(!plan({ "a1", "b1", "c1" }, { peer("b1"), unresponsivePeer("c1"), diskless }, 1));
    CHECK(!plan({ "a1", "b1", "c1" }, { peer("b1"), peer("c1"), diskless, peer("b2") }, 2));
    auto wiped = peer("c1");
    wiped.countsTowardsQuorum = false;
    CHECK(!plan({ "a1", "b1", "c1", "d1" }, { peer("b1"), wiped, unresponsivePeer("d1") }, 1));
}

TEST_CASE("three members are bootstrapped, a fourth controller learns, and a restart with other settings keeps the members")
{
    Cluster cluster({ "a", "b", "c" });
    cluster.advance(2s);
    REQUIRE(cluster.commit(1));
    cluster.startEmpty("d");
    cluster.advance(1s);
    CHECK(cluster.members() == Names { "a", "b", "c" });
    CHECK(cluster.applied("d") == 1);
    for (const auto* name : { "a", "b", "c", "d" })
        cluster.stop(name);
    for (const auto* name : { "a", "b", "c" })
        cluster.restart(name);
    cluster.advance(2s);
    REQUIRE(cluster.commit(2));
    CHECK(cluster.members() == Names { "a", "b", "c" });
}

TEST_CASE("a permanently failed controller is replaced, and then a second one may fail")
{
    // Guards against a log that accepts nothing after a second failure.
    Cluster cluster({ "a", "b", "c" });
    cluster.advance(2s);
    REQUIRE(cluster.commit(1));
    cluster.stop("c");
    cluster.startEmpty("d");
    cluster.advance(4s);
    CHECK(cluster.members() == Names { "a", "b", "d" });
    cluster.stop("a");
    cluster.advance(3s);
    REQUIRE(cluster.commit(2));
    CHECK(cluster.applied("d") == 2);
}

TEST_CASE("a learner does not count: without a majority of the members nothing is accepted")
{
    Cluster cluster({ "a", "b", "c" });
    cluster.startEmpty("d");
    cluster.advance(2s);
    REQUIRE(cluster.commit(1));
    cluster.stop("b");
    cluster.stop("c");
    CHECK(!cluster.commit(2));
    cluster.restart("b");
    CHECK(cluster.commit(3));
}

TEST_CASE("a member with a wiped disk does not vote, and counts again once the disk is registered")
{
    // Guards against the loss of an accepted document: a and c have stored it, b has not; c loses its disk and then votes for b.
    Cluster cluster({ "a", "b", "c" });
    cluster.advance(2s);
    cluster.stop("b");
    REQUIRE(cluster.commit(1));
    cluster.stop("a");
    cluster.stop("c");
    cluster.startEmpty("c");
    cluster.restart("b");
    cluster.advance(5s);
    CHECK(cluster.leader() == nullptr);
    cluster.restart("a");
    cluster.advance(3s);
    REQUIRE(cluster.leader());
    CHECK(cluster.applied("b") == 1);
    CHECK(cluster.applied("c") == 1);
    cluster.stop("a");
    cluster.advance(3s);
    CHECK(cluster.commit(2));
}

TEST_CASE("a member that was replaced while it was stopped returns as a learner without starting an election")
{
    Cluster cluster({ "a", "b", "c" });
    cluster.startEmpty("d");
    cluster.advance(2s);
    REQUIRE(cluster.commit(1));
    cluster.stop("c");
    cluster.advance(4s);
    CHECK(cluster.members() == Names { "a", "b", "d" });
    auto term = cluster.leader()->term();
    cluster.restart("c");
    cluster.advance(4s);
    CHECK(cluster.leader()->term() == term);
    CHECK(cluster.members() == Names { "a", "b", "d" });
    REQUIRE(cluster.commit(2));
    CHECK(cluster.applied("c") == 2);
}

TEST_CASE("controllers that all restart elect a leader before an election timeout has passed")
{
    // Guards against a delay of most of a second, in which all requests are refused, after a power loss of the whole site.
    Cluster cluster({ "a", "b", "c" });
    cluster.advance(2s);
    REQUIRE(cluster.commit(1));
    for (int i = 0; i < 20; ++i) {
        for (const auto* name : { "a", "b", "c" })
            cluster.stop(name);
        for (const auto* name : { "a", "b", "c" }) {
            cluster.restart(name);
            cluster.advance(30ms);
        }
        cluster.advance(300ms);
        REQUIRE(cluster.leader());
    }
}

TEST_CASE("a controller that starts while there is a leader does not cause an election")
{
    Cluster cluster({ "a", "b", "c" });
    cluster.advance(2s);
    REQUIRE(cluster.commit(1));
    auto term = cluster.leader()->term();
    auto leader = cluster.leader()->leader();
    for (int i = 0; i < 20; ++i) {
        const auto* other = leader == "a" ? "b" : "a";
        cluster.stop(other);
        cluster.restart(other);
        cluster.advance(500ms);
        REQUIRE(cluster.leader());
        CHECK(cluster.leader()->term() == term);
    }
}

TEST_CASE("three initial members grow to the voters that the failures to tolerate need, spread over the zones")
{
    // Guards against a log that accepts and reads nothing after two of three disks are lost, although five machines are healthy.
    Cluster cluster(initialMembers, 2);
    startRemaining(cluster);
    REQUIRE(cluster.awaitMembers(5));
    cluster.advance(2s);
    CHECK(cluster.votersByZone() == std::vector<std::size_t> { 1, 2, 2 });
    REQUIRE(cluster.commit(1));
    for (const auto& name : allControllers)
        CHECK(cluster.applied(name) == 1);
}

TEST_CASE("with fewer disks than the failures to tolerate need, the number of voters is the largest odd number of disks")
{
    Cluster cluster(initialMembers, 2);
    cluster.startEmpty("a2");
    cluster.advance(5s);
    CHECK(cluster.members() == initialMembers);
    cluster.startEmpty("b2");
    REQUIRE(cluster.awaitMembers(5));
    REQUIRE(cluster.commit(1));
}

TEST_CASE("any two voters lose their disks at once, and the other three register their new disks")
{
    // The failure of the test above, for every pair of voters, including the leader. A wiped disk has lost its votes, so a majority
    // with intact disks must register it, and with two of three disks wiped there is no such majority.
    for (std::size_t i = 0; i < 5; ++i) {
        for (auto k = i + 1; k < 5; ++k) {
            Cluster cluster(initialMembers, 2);
            startRemaining(cluster);
            REQUIRE(cluster.awaitMembers(5));
            REQUIRE(cluster.commit(1));
            auto voters = cluster.members();
            CAPTURE(voters[i]);
            CAPTURE(voters[k]);
            cluster.stop(voters[i]);
            cluster.stop(voters[k]);
            cluster.advance(200ms);
            cluster.startEmpty(voters[i]);
            cluster.startEmpty(voters[k]);
            cluster.advance(3s);
            REQUIRE(cluster.commit(2));
            REQUIRE(cluster.awaitMembers(5));
            cluster.advance(1s);
            for (const auto& name : allControllers)
                CHECK(cluster.applied(name) == 2);
            // Fully repaired: two others may fail.
            for (std::size_t n = 0, stopped = 0; n < 5 && stopped < 2; ++n) {
                if (n != i && n != k) {
                    cluster.stop(voters[n]);
                    ++stopped;
                }
            }
            cluster.advance(3s);
            CHECK(cluster.commit(3));
        }
    }
}

TEST_CASE("a second voter fails while the first is still being replaced")
{
    for (auto between = 0ms; between <= 3000ms; between += 100ms) {
        CAPTURE(between.count());
        Cluster cluster(initialMembers, 2);
        startRemaining(cluster);
        REQUIRE(cluster.awaitMembers(5));
        REQUIRE(cluster.commit(1));
        auto voters = cluster.members();
        auto leader = cluster.leader()->leader();
        std::erase(voters, leader);
        cluster.stop(voters[0]);
        cluster.advance(between);
        cluster.stop(leader);
        REQUIRE(cluster.commit(2));
        // Both restart with empty disks.
        cluster.startEmpty(voters[0]);
        cluster.startEmpty(leader);
        cluster.advance(4s);
        REQUIRE(cluster.awaitMembers(5));
        CHECK(cluster.applied(leader) == 2);
    }
}

TEST_CASE("two voters fail right after a learner has replaced a third")
{
    // Guards against a log that accepts nothing although two failures must be tolerated and the first one was repaired.
    Cluster cluster(initialMembers, 2);
    startRemaining(cluster);
    REQUIRE(cluster.awaitMembers(5));
    REQUIRE(cluster.commit(1));
    auto voters = cluster.members();
    auto leader = cluster.leader()->leader();
    std::erase(voters, leader);
    cluster.stop(voters[0]);
    REQUIRE(cluster.awaitMembers(5, { voters[0] }));
    cluster.stop(leader);
    cluster.stop(voters[1]);
    cluster.advance(3s);
    REQUIRE(cluster.commit(2));
    CHECK(cluster.applied(voters[2]) == 2);
}

TEST_CASE("an initial member loses its disk at any moment of the growth")
{
    for (auto at = 0ms; at <= 3000ms; at += 50ms) {
        CAPTURE(at.count());
        Cluster cluster(initialMembers, 2);
        cluster.advance(1s);
        REQUIRE(cluster.commit(1));
        startRemaining(cluster);
        cluster.advance(at);
        cluster.stop("b1");
        cluster.advance(300ms);
        cluster.startEmpty("b1");
        REQUIRE(cluster.awaitMembers(5));
        REQUIRE(cluster.commit(2));
        cluster.advance(1s);
        for (const auto& name : allControllers)
            CHECK(cluster.applied(name) == 2);
    }
}

TEST_CASE("a learner that is about to be added, or was just added, loses its disk")
{
    for (auto at = 0ms; at <= 1500ms; at += 20ms) {
        CAPTURE(at.count());
        Cluster cluster(initialMembers, 2);
        cluster.advance(1s);
        REQUIRE(cluster.commit(1));
        startRemaining(cluster);
        cluster.advance(at);
        cluster.stop("a2");
        cluster.startEmpty("a2");
        REQUIRE(cluster.commit(2));
        REQUIRE(cluster.awaitMembers(5));
        cluster.advance(1s);
        CHECK(cluster.applied("a2") == 2);
    }
}

TEST_CASE("all controllers restart at any moment of the growth")
{
    for (auto at = 0ms; at <= 2000ms; at += 20ms) {
        CAPTURE(at.count());
        Cluster cluster(initialMembers, 2);
        cluster.advance(1s);
        REQUIRE(cluster.commit(1));
        startRemaining(cluster);
        cluster.advance(at);
        for (const auto& name : allControllers)
            cluster.stop(name);
        for (const auto& name : allControllers)
            cluster.restart(name);
        REQUIRE(cluster.awaitMembers(5));
        REQUIRE(cluster.commit(2));
        cluster.advance(1s);
        for (const auto& name : allControllers)
            CHECK(cluster.applied(name) == 2);
    }
}

TEST_CASE("an initial member that never starts is replaced while the members grow")
{
    Cluster cluster(initialMembers, 2);
    cluster.stop("c1");
    startRemaining(cluster);
    REQUIRE(cluster.awaitMembers(5, { "c1" }));
    CHECK(cluster.votersByZone() == std::vector<std::size_t> { 1, 2, 2 });
    REQUIRE(cluster.commit(1));
}

TEST_CASE("a controller without a disk learns and never becomes a member")
{
    Cluster cluster(initialMembers, 2);
    for (const auto* name : { "a2", "b2", "c2" })
        cluster.startDiskless(name);
    cluster.advance(3s);
    REQUIRE(cluster.commit(1));
    cluster.stop("c1");
    cluster.advance(5s);
    CHECK(cluster.members() == initialMembers);
    REQUIRE(cluster.commit(2));
    CHECK(cluster.applied("a2") == 2);
    cluster.stop("b1");
    CHECK(!cluster.commit(3));
}

TEST_CASE("a leader that was suspended does not commit an entry with a wiped disk against newer entries of the others")
{
    // Guards against an accepted document that is replaced by another one.
    Cluster cluster({ "a", "b", "c" }, 1);
    cluster.advance(2s);
    REQUIRE(cluster.commit(1));
    auto former = cluster.leader()->leader();
    cluster.suspend(former);
    cluster.advance(3s);
    REQUIRE(cluster.commit(2));
    auto next = cluster.leader()->leader();
    REQUIRE(next != former);
    Names names { "a", "b", "c" };
    std::erase(names, former);
    std::erase(names, next);
    cluster.stop(next);
    cluster.stop(names[0]);
    cluster.startEmpty(names[0]);
    cluster.resume(former);
    CHECK(!cluster.commit(9));
    cluster.restart(next);
    cluster.advance(3s);
    REQUIRE(cluster.leader());
    CHECK(cluster.applied(next) == 2);
    CHECK(cluster.applied(former) == 2);
    REQUIRE(cluster.commit(10));
    CHECK(cluster.applied(names[0]) == 10);
}
