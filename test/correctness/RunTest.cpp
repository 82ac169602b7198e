/** \file
 * A replica that starts again under its id: what is believed of a run ends with it, and nothing of a former run counts for a newer.
 */
#include "ControllerFolder.h"
#include "Folder.h"
#include "base/SystemClock.h"
#include "connection/UpstreamPool.h"
#include "message/Codec.h"
#include "process/Registrar.h"
#include "request/forward/ReplicaTable.h"
#include "version/DiskFile.h"

#include <array>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <thread>

using namespace wrenhinge;
using namespace wrenhinge::test;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr ReplicaStart unsaid;
constexpr ReplicaStart first { 1'764'700'000'000 };
constexpr ReplicaStart second { 1'764'700'030'000 };
constexpr ReplicaStart third { 1'764'700'060'000 };

Announcement announcement(ReplicaStart run, std::uint64_t sequence, ReplicaState state = ReplicaState::Ready, const std::string& id = "a")
{
    Announcement a;
    a.id = id;
    a.service = "s";
    a.address = "10.0.0.1:" + std::to_string(1 + run.value() % 60000);
    a.zone = "z";
    a.slots = 4;
    a.state = state;
    a.kind = run == second ? UpstreamKind::Decode : UpstreamKind::Prefill;
    a.sequence = sequence;
    a.start = run;
    return a;
}

using Change = ReplicaRegistry::Change;

/// What a registry believes of "a": run, sequence, and whether it takes work.
using Belief = std::optional<std::tuple<ReplicaStart, std::uint64_t, ReplicaState>>;

Belief beliefOf(const ReplicaRegistry& registry)
{
    auto it = registry.entries().find("a");
    if (it == registry.entries().end())
        return std::nullopt;
    const auto& a = it->second.announcement;
    return std::tuple { a.start, a.sequence, a.state };
}

/// What two processes do when a link between them comes up.
void tellEverything(const ReplicaRegistry& from, ReplicaRegistry& to, Instant now)
{
    for (const auto& [id, entry] : from.entries())
        to.announce(entry.announcement, now - entry.lastHeardAt, now);
    for (const auto& [id, ended] : from.withdrawn())
        to.withdraw({ id, ended.start }, now);
}

ReplicaTable::Criteria need(UpstreamKind kind)
{
    ReplicaTable::Criteria need;
    need.service = "s";
    need.kind = kind;
    return need;
}

/// Accepts connections and answers every request on them, until it is destroyed.
class Answerer {
public:
    Answerer()
        : m_acceptor(m_io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~Answerer()
    {
        m_io.stop();
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    struct Session {
        explicit Session(Tcp::socket connected)
            : socket(std::move(connected))
        {
        }
        Tcp::socket socket;
        std::array<char, 1024> buf {};
    };

    void accept()
    {
        m_acceptor.async_accept([this](ErrorCode ec, Tcp::socket socket) {
            if (ec)
                return;
            serve(std::make_shared<Session>(std::move(socket)));
            accept();
        });
    }
    void serve(const std::shared_ptr<Session>& session)
    {
        session->socket.async_read_some(boost::asio::buffer(session->buf), [this, session](ErrorCode ec, std::size_t) {
            if (ec)
                return;
            static const std::string answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok";
            boost::asio::write(session->socket, boost::asio::buffer(answer), ec);
            serve(session);
        });
    }

    IoContext m_io { 1 };
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Calls through a pool and waits for the answer.
class PoolCaller {
public:
    void call(const ReplicaRun& run, const std::string& address)
    {
        bool hasEnded = false;
        auto handlers = gather([&](const GatheredAnswer&) { hasEnded = true; }, [&](bool, const std::string&) { hasEnded = true; });
        m_pool.call(run, address, { "GET / HTTP/1.1\r\nHost: h\r\n\r\n" }, std::move(handlers));
        while (!hasEnded)
            m_io.run_one();
    }
    UpstreamPool& pool() { return m_pool; }

private:
    IoContext m_io { 1 };
    boost::asio::executor_work_guard<IoContext::executor_type> m_work { m_io.get_executor() };
    UpstreamPool m_pool { boost::asio::make_strand(m_io) };
};

/// A controller's registrar without links.
class LoneRegistrar {
public:
    Registrar& operator*() { return m_registrar; }
    Registrar* operator->() { return &m_registrar; }

private:
    IoContext m_io { 1 };
    LogSettings m_settings;
    EventLog m_log { m_settings, "test" };
    PeerHub m_hub { m_io, Hello { PeerId(1), Role::Controller, "c", "", "", "", {} }, {} };
    Registrar m_registrar { boost::asio::make_strand(m_io), m_hub, m_log };
};

} // namespace

// --- What is known ----------------------------------------------------------------------------------------------

TEST_CASE("a replica that starts again under its id is taken as it is now, though it counts anew")
{
    // Guards against sending requests to the address and stage of a replica's former run.
    ReplicaRegistry registry;
    registry.announce(announcement(first, 40, ReplicaState::Draining), 0s, start);
    CHECK(registry.announce(announcement(second, 1), 0s, start + 2s) == Change::Restarted);
    const auto& entry = registry.entries().at("a");
    CHECK(entry.announcement.address == announcement(second, 1).address);
    CHECK(entry.announcement.kind == UpstreamKind::Decode);
    CHECK(entry.announcement.state == ReplicaState::Ready);
    CHECK(registry.announce(announcement(second, 2, ReplicaState::Draining), 0s, start + 3s) == Change::Changed);
}

TEST_CASE("a replica that has withdrawn itself is used again when it has started again")
{
    // Guards against a replica that gets no work after it was withdrawn and restarted under its id.
    ReplicaRegistry registry;
    registry.announce(announcement(first, 40), 0s, start);
    CHECK(registry.withdraw({ "a", first }, start));
    CHECK(!registry.withdraw({ "a", first }, start));
    CHECK(registry.announce(announcement(first, 41), 0s, start + 1s) == Change::None);
    CHECK(registry.announce(announcement(second, 1), 0s, start + 2s) == Change::Restarted);
    CHECK(beliefOf(registry) == Belief({ second, 1, ReplicaState::Ready }));
}

TEST_CASE("nothing that comes late of a former run changes anything of the newer one")
{
    // Guards against taking a late announcement of a former run for one of the present run.
    ReplicaRegistry registry;
    registry.announce(announcement(first, 40), 0s, start);
    registry.announce(announcement(second, 1), 0s, start);
    auto now = start + 3s;
    SUBCASE("an announcement") { CHECK(registry.announce(announcement(first, 41, ReplicaState::Draining), 0s, now) == Change::None); }
    SUBCASE("a renewal") { registry.renew({ "a", first }, 0s, now); }
    SUBCASE("a withdrawal") { registry.withdraw({ "a", first }, now); }
    SUBCASE("a change of stage") { CHECK(!registry.changeStage({ "a", UpstreamKind::Prefill, 10s, first }, now)); }
    CHECK(beliefOf(registry) == Belief({ second, 1, ReplicaState::Ready }));
    CHECK((registry.entries().at("a").lastHeardAt == start));
    CHECK(!registry.entries().at("a").isChanging(now));
}

TEST_CASE("a change of stage that a former run was ordered to make ends with it")
{
    // Guards against a restarted replica that gets no work for 10 s.
    ReplicaRegistry registry;
    registry.announce(announcement(first, 40), 0s, start);
    CHECK(registry.changeStage({ "a", UpstreamKind::Decode, 10s, first }, start));
    registry.announce(announcement(third, 1), 0s, start + 1s);
    CHECK(!registry.entries().at("a").isChanging(start + 1s));
}

TEST_CASE("a heartbeat renews the runs that it names, also over a link, and costs few bytes more for that")
{
    // Guards against renewing a run that has ended.
    ReplicaRegistry newer;
    for (int i = 0; i < 100; ++i)
        newer.announce(
            announcement(ReplicaStart(first.value() + 1000 * i), 1, ReplicaState::Ready, "i-" + std::to_string(10000000 + i)), 0s, start);
    newer.announce(announcement(second, 1), 0s, start);
    auto now = start + 10s;
    newer.renew({ "a", second }, 0s, now);
    auto bytes = encode(newer.heartbeat(ReplicaRegistry::HeartbeatScope::All, now));
    auto received = decode(bytes);
    REQUIRE(received);
    const auto& heartbeat = std::get<RegistryHeartbeat>(*received);

    ReplicaRegistry former;
    former.announce(announcement(first, 40), 0s, start);
    former.renew(heartbeat, now);
    CHECK((former.entries().at("a").lastHeardAt == start));
    ReplicaRegistry same;
    same.announce(announcement(second, 1), 0s, start);
    same.announce(announcement(ReplicaStart(first.value() + 7000), 1, ReplicaState::Ready, "i-10000007"), 0s, start);
    same.renew(heartbeat, now);
    CHECK((same.entries().at("a").lastHeardAt == now));
    CHECK((same.entries().at("i-10000007").lastHeardAt == start));

    auto without = heartbeat;
    without.startOffsets.clear();
    without.earliestStart = unsaid;
    CHECK(bytes.size() - encode(without).size() <= 101 * 5 + 12);
}

TEST_CASE("a replica that states no start is one run, and older than any run that states one")
{
    ReplicaRegistry registry;
    CHECK(registry.announce(announcement(unsaid, 3), 0s, start) == Change::Changed);
    CHECK(registry.announce(announcement(unsaid, 2), 0s, start) == Change::None);
    registry.renew(RegistryHeartbeat { { { "a", 0s } }, 1 }, start + 5s);
    CHECK((registry.entries().at("a").lastHeardAt == start + 5s));
    CHECK(registry.announce(announcement(first, 1), 0s, start) == Change::Restarted);
    CHECK(registry.announce(announcement(unsaid, 9), 0s, start) == Change::None);
    registry.withdraw({ "a", unsaid }, start);
    CHECK(beliefOf(registry) == Belief({ first, 1, ReplicaState::Ready }));
}

TEST_CASE("processes that have heard of different runs agree on the newer one once a cut has healed")
{
    // Guards against gateways that send to a former run's address after a network partition.
    CHECK(rc::check("any two histories of one replica", [] {
        using Said = std::tuple<int, int, int>; // What: announce, drain, withdraw; the run; the sequence.
        auto said
            = rc::gen::container<std::vector<Said>>(rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 4), rc::gen::inRange(1, 5)));
        std::array<ReplicaRegistry, 2> sides;
        int newest = -1;
        int ended = -1;
        for (auto& registry : sides) {
            for (auto [what, run, sequence] : *said) {
                ReplicaStart born(run ? first.value() + static_cast<std::uint64_t>(run) : 0);
                // Of one run the same sequence always says the same, and draining is never taken back.
                auto state = sequence > 2 ? ReplicaState::Draining : ReplicaState::Ready;
                if (what < 4)
                    registry.announce(announcement(born, static_cast<std::uint64_t>(sequence), state), 0s, start);
                else
                    registry.withdraw({ "a", born }, start);
                newest = std::max(newest, run);
                ended = std::max(ended, what < 4 ? -1 : run);
            }
        }
        tellEverything(sides[0], sides[1], start + 1s);
        tellEverything(sides[1], sides[0], start + 1s);
        RC_ASSERT(beliefOf(sides[0]) == beliefOf(sides[1]));
        auto belief = beliefOf(sides[0]);
        RC_ASSERT(belief.has_value() == (newest > ended));
        if (belief)
            RC_ASSERT(std::get<0>(*belief) == ReplicaStart(newest ? first.value() + static_cast<std::uint64_t>(newest) : 0));
    }));
}

TEST_CASE("a run whose machine's clock was set back is not believed until the former one is forgotten, and then is")
{
    ReplicaRegistry registry;
    registry.announce(announcement(second, 40), 0s, start);
    CHECK(registry.announce(announcement(first, 1), 0s, start + 2s) == Change::None);
    // The former run's entry is not renewed by what the new one says: it ages out.
    auto later = start + ReplicaRegistry::expiredAfter + 1s;
    CHECK(registry.entries().at("a").isSilent(later));
    // Guards against a controller that never learns of a replica.
    bool hasTidiedUp = false;
    SUBCASE("in a process that has tidied up since") { hasTidiedUp = true; }
    SUBCASE("in one that has not") { }
    if (hasTidiedUp)
        registry.removeExpired(later);
    CHECK(registry.announce(announcement(first, 50), 0s, later) == Change::Changed);
}

TEST_CASE("a run that was followed by a newer one does not come back when that one is forgotten")
{
    // Guards against sending requests to a run that ended minutes ago.
    ReplicaRegistry registry;
    registry.announce(announcement(first, 40), 0s, start);
    registry.announce(announcement(second, 1), 0s, start + 2s);
    auto later = start + 2s + ReplicaRegistry::expiredAfter + 1s;
    registry.removeExpired(later);
    CHECK(registry.entries().empty());
    CHECK(registry.announce(announcement(first, 41), 0s, later) == Change::None);
    CHECK(registry.entries().empty());
}

// --- Load -------------------------------------------------------------------------------------------------------

TEST_CASE("load, speed, failures and ejection are a run's: one that starts again begins as an unknown one")
{
    // Guards against counting the load of a former run for the present one.
    ReplicaTable table("z", 1);
    table.noteControllerContact(start);
    ReplicaRun former { "a", first };
    ReplicaRun newer { "a", third };
    table.registry().announce(announcement(first, 40), 0s, start);
    for (int i = 0; i < 20; ++i) {
        table.begin(former, 5000);
        table.end(former, 5000, i % 2 ? CallOutcome::Failed : CallOutcome::Served, 4s, start);
    }
    table.begin(former, 5000);
    table.end(former, 5000, CallOutcome::Unreachable, 0s, start);
    table.noteFull(former, start + 1s);
    table.begin(former, 5000);
    table.registry().announce(announcement(third, 1), 0s, start);
    auto wanted = need(UpstreamKind::Prefill);
    wanted.excludeFull = true;
    wanted.maxCalls = 1;
    auto choice = table.choose(wanted, { former }, start);
    REQUIRE(choice);
    CHECK((choice->run == newer));
    CHECK(table.loads().at(newer).calls == 0);
    CHECK(table.loads().at(newer).meanSeconds == 0);
    CHECK(table.loads().at(newer).failureRate == 0);
    CHECK((table.loads().at(newer).backoffUntil == Instant()));
    CHECK(table.meanSeconds("s", UpstreamKind::Prefill) == 0);
    CHECK(!table.isReady(former));
    CHECK(table.zoneOf(former).empty());

    // The former run's call ends late: it frees, slows and ejects nothing of the newer one.
    table.begin(newer, 100);
    table.end(former, 5000, CallOutcome::Unreachable, 9s, start + 3s);
    table.clearFull(former);
    CHECK(table.loads().size() == 1);
    CHECK(table.loads().at(newer).calls == 1);
    CHECK(table.loads().at(newer).tokens == 100);
    CHECK((table.loads().at(newer).backoffUntil == Instant()));
}

// --- Connections ------------------------------------------------------------------------------------------------

TEST_CASE("a connection that was kept to a former run is not used for the newer one, and is closed with what came before it")
{
    // Guards against calls that are lost on connections to a former run.
    Answerer replica;
    PoolCaller caller;
    ReplicaRun former { "a", first };
    ReplicaRun newer { "a", second };
    caller.call(former, replica.address());
    caller.call(former, replica.address());
    CHECK(caller.pool().opened() == 1);
    caller.call(newer, replica.address());
    CHECK(caller.pool().opened() == 2);
    SUBCASE("the former run is forgotten")
    {
        caller.pool().forget(former);
        caller.call(newer, replica.address());
        CHECK(caller.pool().opened() == 2);
        caller.call(former, replica.address());
        CHECK(caller.pool().opened() == 3);
    }
    SUBCASE("the newer run is forgotten too")
    {
        caller.pool().forget(newer);
        caller.call(former, replica.address());
        CHECK(caller.pool().opened() == 3);
    }
}

// --- At a controller --------------------------------------------------------------------------------------------

TEST_CASE("a replica that leaves ends the run that it names, and the newest known one if it names none")
{
    LoneRegistrar registrar;
    registrar->announce(announcement(first, 40));
    registrar->announce(announcement(second, 1));
    SUBCASE("a call of the former run that was delayed ends nothing of the newer one")
    {
        CHECK(registrar->withdraw("a", first));
        CHECK(beliefOf(registrar->registry()) == Belief({ second, 1, ReplicaState::Ready }));
    }
    SUBCASE("a call that names none ends the newest run, once, and no later one")
    {
        CHECK(registrar->withdraw("a", std::nullopt));
        CHECK(!beliefOf(registrar->registry()));
        CHECK(registrar->withdraw("a", std::nullopt));
        registrar->announce(announcement(second, 2));
        CHECK(!beliefOf(registrar->registry()));
        registrar->announce(announcement(third, 1));
        CHECK(beliefOf(registrar->registry()) == Belief({ third, 1, ReplicaState::Ready }));
    }
    SUBCASE("of an id that is not known nothing can be promised") { CHECK(!registrar->withdraw("b", std::nullopt)); }
}

TEST_CASE("a controller's disk keeps the run, so that what it remembers is never taken for a newer one")
{
    // Guards against restoring a replica's former address after a restart of the whole site.
    ControllerFolder at;
    PersistedReplicas memory(at.folder.path(), at.log, at.refusals);
    memory.save({ announcement(first, 40) });
    auto remembered = written(memory, 1);
    CHECK(remembered.front().start == first);
    ReplicaRegistry registry;
    registry.announce(announcement(second, 1), 0s, start);
    CHECK(registry.announce(remembered.front(), AnnouncementTimes().restoredAge(), start) == Change::None);
}

TEST_CASE("a list that a release without runs has written is read, as of runs before any other")
{
    ControllerFolder at;
    auto former = announcement(unsaid, 40);
    // As such a release packs an announcement: all fields but the last.
    msgpack::type::tuple<std::string, std::string, std::string, std::string, std::string, std::uint32_t, ReplicaState, UpstreamKind,
        Duration, std::uint64_t>
        fields { former.id, former.service, former.address, former.zone, "v1", 4, former.state, former.kind, Duration(0), 40 };
    REQUIRE(disk::replaceFile(at.folder.path(), "replicas", disk::encodeRecord(encodeValue(std::vector { fields }))));
    auto remembered = PersistedReplicas(at.folder.path(), at.log, at.refusals).load();
    REQUIRE(remembered.size() == 1);
    CHECK(remembered.front().sequence == 40);
    CHECK(remembered.front().start == unsaid);
    ReplicaRegistry registry;
    registry.announce(remembered.front(), AnnouncementTimes().restoredAge(), start);
    CHECK(registry.announce(announcement(first, 1), 0s, start) == Change::Restarted);
}
