/** \file
 * Changes of routing documents: their encoding, the history at controllers, and the transfer to gateways in parts on request.
 */
#include "message/Codec.h"
#include "version/ControllerState.h"
#include "version/DocumentFollower.h"
#include "version/DocumentSource.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };

/// A text with the given number of lines, one of which depends on the version.
std::string textOf(std::uint64_t version, int lines = 400)
{
    std::string text = "version " + std::to_string(version) + "\n";
    for (int i = 0; i < lines; ++i)
        text += "route " + std::to_string(i * 7919) + " to service " + std::to_string(i == lines / 2 ? version : 1) + " within 500 ms\n";
    return text;
}

/// A random text, which has no compact change.
std::string randomText(std::size_t n, unsigned seed)
{
    std::mt19937 random(seed);
    std::string text;
    for (std::size_t i = 0; i < n; ++i)
        text += static_cast<char>('a' + random() % 26);
    return text;
}

DocumentHistory historyUpTo(std::uint64_t version)
{
    DocumentHistory history;
    for (std::uint64_t v = 1; v <= version; ++v)
        history.apply(history.commandFor(v, textOf(v)));
    return history;
}

/// A gateway and its controllers, with links that the test controls.
class Bench {
public:
    explicit Bench(std::size_t controllers)
        : m_controllers(controllers)
    {
        for (auto& controller : m_controllers)
            controller.source.addPeer(gateway);
    }
    void apply(std::size_t i, std::uint64_t version, const std::string& text)
    {
        auto& history = m_controllers[i].history;
        history.apply(history.commandFor(version, text));
    }
    void setUnresponsive(std::size_t i) { m_controllers[i].isUnresponsive = true; }
    void offer(std::size_t i, bool isCurrent = true)
    {
        for (const auto& [to, offer] : m_controllers[i].source.offers(m_controllers[i].history, isCurrent, now))
            step(document::PeerMessage { peerOf(i), offer });
    }
    /// Answers requests until none is left. \returns the number of parts sent.
    int answerAll()
    {
        int parts = 0;
        while (answerOne())
            ++parts;
        return parts;
    }
    bool answerOne()
    {
        while (!m_requests.empty()) {
            auto ask = m_requests.front();
            m_requests.pop_front();
            auto& controller = m_controllers[ask.to.value() - 1];
            auto part = controller.isUnresponsive ? std::nullopt : controller.source.answer(ask.request, controller.history, now);
            if (!part)
                continue;
            bytes += part->bytes.size();
            step(document::PeerMessage { ask.to, std::move(*part) });
            return true;
        }
        return false;
    }
    void step(const document::Event& event)
    {
        for (auto& effect : follower.step(event, now)) {
            if (auto* ask = std::get_if<document::SendRequest>(&effect))
                m_requests.push_back(*ask);
            else if (auto* install = std::get_if<document::Install>(&effect))
                installed.push_back(*install);
            else if (auto* confirm = std::get_if<document::Confirm>(&effect))
                confirmed = confirm->version;
            else
                ++notes;
        }
    }
    static PeerId peerOf(std::size_t i) { return PeerId(i + 1); }

    static constexpr PeerId gateway { 100 };
    Instant now = start;
    DocumentFollower follower { 1 };
    std::vector<document::Install> installed;
    std::uint64_t confirmed = 0;
    std::size_t bytes = 0;
    int notes = 0;

private:
    struct Controller {
        DocumentHistory history;
        DocumentSource source;
        bool isUnresponsive = false;
    };
    std::vector<Controller> m_controllers;
    std::deque<document::SendRequest> m_requests;
};

} // namespace

TEST_CASE("applying a change yields the new text, for any two texts")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& seedA, const std::vector<std::uint8_t>& seedB) {
        // Long texts with common parts at different offsets.
        std::string former, text;
        for (auto n : seedA)
            former += randomText(n, n % 7u);
        for (auto n : seedB)
            text += randomText(n, n % 7u);
        auto change = changeBetween(former, text);
        RC_ASSERT(applyChange(former, change) == text);
        RC_ASSERT(applyChange(former, decodeValue<TextChange>(encodeValue(change)).value()) == text);
    }));
    CHECK(applyChange("", wholeText("abc")) == "abc");
    CHECK(applyChange("other", changeBetween("", "")) == "");
}

TEST_CASE("a change of one line in a large text takes a few bytes, also if lines are moved")
{
    auto former = textOf(1);
    CHECK(changeBetween(former, textOf(2)).size() < 100);
    auto half = former.size() / 2;
    CHECK(changeBetween(former, former.substr(half) + former.substr(0, half)).size() < 300);
}

TEST_CASE("a change with another base text is refused, also if it refers to bytes beyond the end")
{
    auto change = changeBetween(textOf(1), textOf(2));
    auto other = textOf(1);
    other[40] = 'x';
    CHECK_FALSE(applyChange(other, change));
    CHECK_FALSE(applyChange("short", change));
    change.pieces.front().from = ~0ull;
    change.pieces.front().length = 2;
    CHECK_FALSE(applyChange(textOf(1), change));
}

TEST_CASE("a change based on another version than the one in force is refused and has no effect")
{
    // Guards against a document in force that nobody submitted.
    ControllerState state;
    CHECK(state.apply({ 1, 1, DocumentCommand { 1, textOf(1) } }).code == ResultCode::Ok);
    auto second = state.document().commandFor(2, textOf(2));
    auto third = state.document().commandFor(3, textOf(3));
    CHECK(second.base == 1);
    CHECK(state.apply({ 1, 2, second }).code == ResultCode::Ok);
    CHECK(state.apply({ 1, 3, third }).code == ResultCode::ConfigUnavailable);
    CHECK(state.document().text() == textOf(2));
    // The author's text is converted to a change of the new version.
    CHECK(state.apply({ 1, 4, state.document().commandFor(3, textOf(3)) }).code == ResultCode::Ok);
    CHECK(state.document().text() == textOf(3));
    // A stale version is acknowledged without its text.
    CHECK(state.document().commandFor(2, textOf(2)).size() < 20);
    CHECK(state.apply({ 1, 5, state.document().commandFor(2, textOf(2)) }).number == 3);
    ControllerState copy;
    REQUIRE(copy.load(state.save()));
    CHECK(copy.document().text() == textOf(3));
    CHECK(copy.apply({ 1, 6, state.document().commandFor(4, textOf(4)) }).code == ResultCode::Ok);
}

TEST_CASE("the history of hundreds of changes is smaller than half of the document")
{
    auto history = historyUpTo(400);
    std::size_t kept = 0;
    for (const auto& step : history.stepsFrom(390))
        kept += step.change.size();
    CHECK(kept < textOf(1).size() / 2);
    // A gateway that lacks more changes than are kept gets the whole text.
    CHECK(history.stepsFrom(1).size() == 1);
    CHECK(history.stepsFrom(1).front().from == 0);
}

TEST_CASE("a gateway that starts gets the whole document once, from one controller, and only changes from then on")
{
    Bench bench(3);
    for (std::size_t i = 0; i < 3; ++i) {
        bench.apply(i, 1, textOf(1, 4000));
        bench.offer(i);
    }
    CHECK(bench.answerAll() > 1);
    REQUIRE(bench.installed.size() == 1);
    CHECK(*bench.installed.back().text == textOf(1, 4000));
    CHECK(bench.installed.back().isCurrent);
    CHECK(bench.bytes < textOf(1, 4000).size() + 1000);
    bench.bytes = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        bench.apply(i, 2, textOf(2, 4000));
        bench.offer(i);
    }
    bench.answerAll();
    REQUIRE(bench.installed.size() == 2);
    CHECK(*bench.installed.back().text == textOf(2, 4000));
    CHECK(bench.bytes < 500);
}

TEST_CASE("a large transfer continues while newer versions arrive, and intermediate versions are skipped")
{
    // Guards against a gateway on a slow link that never installs a change.
    Bench bench(1);
    bench.apply(0, 1, randomText(300000, 1));
    bench.offer(0);
    auto text = randomText(300000, 1);
    for (std::uint64_t version = 2; version <= 4; ++version) {
        REQUIRE(bench.answerOne());
        text += "x";
        bench.apply(0, version, text);
        bench.offer(0);
    }
    bench.answerAll();
    REQUIRE(bench.installed.size() == 2);
    CHECK(bench.installed.front().version == 1);
    CHECK(*bench.installed.back().text == text);
}

TEST_CASE("if a controller does not reply, another one is asked")
{
    // Guards against a gateway that stays at an old version although controllers have a newer one.
    Bench bench(2);
    bench.setUnresponsive(0);
    bench.setUnresponsive(1);
    for (std::size_t i = 0; i < 2; ++i) {
        bench.apply(i, 1, textOf(1));
        bench.offer(i);
    }
    CHECK(bench.answerAll() == 0);
    // Whichever was asked first, one of the next two requests goes to the other, also if both do not reply for a while.
    for (int i = 0; i < 3; ++i) {
        bench.now = bench.follower.nextWake();
        bench.step(document::Tick {});
        CHECK(bench.answerAll() == 0);
    }
    CHECK(bench.follower.nextWake() < Instant::max());
}

TEST_CASE("a gateway gets its document although replies take longer than its timeout")
{
    // Guards against a gateway on a congested link that never installs a change and adds to the congestion.
    constexpr Duration latency = 1200ms;
    constexpr std::size_t controllers = 3;
    DocumentHistory history;
    history.apply({ 1, randomText(300000, 5), 0, {} });
    std::vector<DocumentSource> sources(controllers);
    struct Answer {
        Instant at;
        PeerId from;
        DocumentPart part;
    };
    std::deque<Answer> inTransit;
    DocumentFollower follower(1);
    Instant now = start;
    bool isInstalled = false;
    std::size_t parts = 0;
    auto step = [&](const document::Event& event) {
        for (auto& effect : follower.step(event, now)) {
            isInstalled = isInstalled || std::holds_alternative<document::Install>(effect);
            const auto* ask = std::get_if<document::SendRequest>(&effect);
            if (!ask)
                continue;
            auto part = sources[ask->to.value() - 1].answer(ask->request, history, now);
            REQUIRE(part);
            ++parts;
            inTransit.push_back({ now + latency, ask->to, std::move(*part) });
        }
    };
    for (std::size_t i = 0; i < controllers; ++i)
        step(document::PeerMessage { Bench::peerOf(i), DocumentOffer { 1, true } });
    while (!isInstalled && now < start + 60s) {
        if (!inTransit.empty() && inTransit.front().at <= follower.nextWake()) {
            auto answer = std::move(inTransit.front());
            inTransit.pop_front();
            now = answer.at;
            step(document::PeerMessage { answer.from, std::move(answer.part) });
        } else {
            now = follower.nextWake();
            step(document::Tick {});
        }
    }
    CHECK(isInstalled);
    CHECK(parts < 15);
}

TEST_CASE("a gateway that missed hundreds of small changes does not copy the whole text for each of them")
{
    // Guards against a gateway that blocks for seconds when it reconnects after an hour of small changes.
    auto text = randomText(100000, 7);
    DocumentHistory history;
    for (std::uint64_t version = 1; version <= 600; ++version) {
        text[version * 100] = 'X';
        history.apply(history.commandFor(version, text));
    }
    CHECK(history.stepsFrom(1).size() <= 64);
    CHECK(history.stepsFrom(599).front().from == 599);
}

TEST_CASE("if a link closes during a transfer, another controller completes it")
{
    Bench bench(2);
    for (std::size_t i = 0; i < 2; ++i) {
        bench.apply(i, 1, randomText(200000, 3));
        bench.offer(i);
    }
    REQUIRE(bench.answerOne());
    bench.step(document::PeerDown { Bench::peerOf(0) });
    bench.answerAll();
    REQUIRE(bench.installed.size() == 1);
    CHECK(*bench.installed.back().text == randomText(200000, 3));
}

TEST_CASE("an older version that is offered late is neither installed nor confirms the one held")
{
    // Guards against a return to an older document after a newer one, when a controller that was partitioned offers its own version.
    Bench bench(2);
    bench.apply(0, 5, textOf(5));
    bench.offer(0, false);
    bench.answerAll();
    REQUIRE(bench.installed.size() == 1);
    CHECK_FALSE(bench.installed.back().isCurrent);
    bench.apply(1, 4, textOf(4));
    bench.offer(1, true);
    bench.answerAll();
    CHECK(bench.installed.size() == 1);
    CHECK(bench.confirmed == 5);
    // A version offered as the newest that is not installed yet confirms nothing.
    bench.confirmed = 0;
    bench.apply(1, 6, textOf(6));
    bench.offer(1, true);
    CHECK(bench.confirmed == 0);
    bench.answerAll();
    CHECK(bench.installed.back().isCurrent);
}

TEST_CASE("a gateway requests the whole document if the steps received don't apply to the one it holds")
{
    Bench bench(1);
    bench.apply(0, 1, textOf(1));
    bench.offer(0);
    bench.answerAll();
    // A part with forged steps.
    bench.apply(0, 2, textOf(2));
    bench.offer(0);
    std::vector<DocumentStep> steps { { 1, 2, changeBetween(randomText(9, 9), textOf(9)) } };
    steps.front().change.checksum = 1;
    auto bytes = encodeValue(steps);
    bench.step(document::PeerMessage { Bench::peerOf(0), DocumentPart { 2, 1, 0, bytes.size(), bytes } });
    CHECK(bench.notes == 1);
    bench.answerAll();
    CHECK(*bench.installed.back().text == textOf(2));
}
