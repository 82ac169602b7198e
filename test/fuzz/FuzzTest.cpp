/** \file
 * Feeds the decoders of everything that comes from outside with changed samples: calls at a controller's door, replicas' reports,
 * callers' headers, messages of links, the replicas' list and the log on a disk.
 *
 *     fuzz-test SEED ITERATIONS [TARGET]
 *
 * The files of the corpus come first, as they are; each crash or hang that was found has one there, and README.md tells its cause. Then
 * samples that this build writes itself and those files are changed ITERATIONS times. What must hold: no crash, no exception, a bounded
 * amount of memory; what is accepted can be used, and stays the same when it is coded again; what is refused names its reason in a
 * short answer. An input that fails is written to `fuzz-failed-TARGET`.
 */
#include "Dialect.h"
#include "Folder.h"
#include "Mutator.h"
#include "connection/MessageCheck.h"
#include "message/Codec.h"
#include "process/PersistedList.h"
#include "process/StreamLog.h"
#include "version/DiskFile.h"
#include "version/LogStorage.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <new>
#include <unistd.h>

using namespace wrenhinge;
using namespace wrenhinge::test;
using platform::Dialect;

namespace {

std::atomic<std::size_t> heapNow = 0;
std::atomic<std::size_t> heapPeak = 0;

void* take(std::size_t n)
{
    void* p = std::malloc(n ? n : 1);
    if (!p)
        throw std::bad_alloc();
    auto now = heapNow += malloc_usable_size(p);
    if (now > heapPeak)
        heapPeak = now;
    return p;
}

void give(void* p) noexcept
{
    if (p)
        heapNow -= malloc_usable_size(p);
    std::free(p);
}

} // namespace

void* operator new(std::size_t n) { return take(n); }
void* operator new[](std::size_t n) { return take(n); }
void operator delete(void* p) noexcept { give(p); }
void operator delete[](void* p) noexcept { give(p); }
void operator delete(void* p, std::size_t) noexcept { give(p); }
void operator delete[](void* p, std::size_t) noexcept { give(p); }

namespace {

/// A decoded value takes this much for each byte of its text: a list of short numbers, the worst, some 24 and as much while it grows.
constexpr std::size_t heapPerByte = 100;
constexpr std::size_t heapBeside = 1u << 20;
/// An input that is read for longer hangs.
constexpr unsigned hangSeconds = 60;

std::string currentTarget;
std::string currentInput;

/// Only async-signal-safe calls: the process is broken already.
void keepInput(int signal)
{
    static char name[64] = "fuzz-failed-";
    std::strncat(name, currentTarget.c_str(), 40);
    int fd = ::creat(name, 0644);
    (void)!::write(fd, currentInput.data(), currentInput.size());
    (void)!::write(STDERR_FILENO, "the input is in ", 16);
    (void)!::write(STDERR_FILENO, name, std::strlen(name));
    (void)!::write(STDERR_FILENO, "\n", 1);
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

void require(bool holds, const char* what)
{
    if (holds)
        return;
    std::cerr << "does not hold: " << what << std::endl;
    std::abort();
}

HttpRequest requestIn(const std::string& input)
{
    // "METHOD TARGET\nbody"
    auto line = input.substr(0, input.find('\n'));
    HttpRequest request;
    request.method = line.substr(0, line.find(' '));
    request.target = line.size() > request.method.size() ? line.substr(request.method.size() + 1) : "";
    request.body = input.size() > line.size() ? input.substr(line.size() + 1) : "";
    return request;
}

void requireSpan(Duration d) { require(d >= Duration::zero() && d <= longestSpan, "a span of time is in range"); }

void checkDocument(const RoutingDocument& document)
{
    require(bool(validate(document)), "an accepted configuration is valid");
    for (const auto& route : document.routes) {
        requireSpan(route.timeout);
        requireSpan(route.target);
        require(route.timeout > Duration::zero(), "a route has a timeout");
        require(route.maxAttempts > 0, "a route has an attempt");
    }
    for (const auto& service : document.services) {
        requireSpan(service.engine.reservationTimeout);
        requireSpan(service.engine.kvRetention);
        requireSpan(service.engine.stageChange);
    }
    requireSpan(document.limits.headerTime);
    requireSpan(document.limits.idleTime);
    require(document.limits.headerBytes > 0, "a header may have bytes");
    RouteTable table(document);
    for (const auto& route : document.routes)
        require(table.find(route.host, route.prefix) != nullptr, "each route is found");
}

bool call(const std::string& input)
{
    auto result = Dialect::readControlCall(requestIn(input));
    if (!result) {
        require(httpStatusOf(result.error().code) / 100 == 4, "a refusal is a 4xx");
        require(!result.error().message.empty(), "a refusal has a reason");
        auto body = Dialect::errorBody(result.error());
        require(body.size() <= 4096 && nlohmann::json::accept(body), "a refusal is short and can be read");
        return false;
    }
    if (const auto* announcement = std::get_if<Announcement>(&result.value()))
        require(!faultOf(*announcement), "an accepted announcement can be used");
    if (const auto* put = std::get_if<PutDocument>(&result.value()))
        checkDocument(put->document);
    if (const auto* leaves = std::get_if<ReplicaWithdrawal>(&result.value()))
        require(isToken(leaves->id), "an id can stand in a path");
    return true;
}

bool report(const std::string& input)
{
    GatheredAnswer answer { { 200, {} }, input };
    auto handle = Dialect::readPrefill(input);
    auto place = Dialect::readPlace(input);
    require(!handle || isToken(*handle, longestToken), "a handle can stand in a header");
    require(!place || isToken(*place, longestToken), "a place can stand in a path");
    (void)Dialect::orderAnswer(answer);
    return Dialect::engineState(answer) || Dialect::engineReport(answer) || handle || place;
}

bool caller(const std::string& input)
{
    // Lines "name: value".
    HttpRequest request { "POST", "/a/b?c", "desk.example", {}, "body", {} };
    HeaderList headers;
    for (std::size_t at = 0; at < input.size();) {
        auto end = std::min(input.find('\n', at), input.size());
        auto colon = std::min(input.find(": ", at), end);
        headers.emplace_back(input.substr(at, colon - at), colon < end ? input.substr(colon + 2, end - colon - 2) : "");
        at = end + 1;
    }
    request.headers = HeaderFields(headers);
    auto words = Dialect::readCaller(request);
    if (words.metadata.callerTimeout)
        requireSpan(*words.metadata.callerTimeout);
    forward::Send send;
    send.replica = { "i-1", {} };
    send.timeLeft = words.metadata.callerTimeout.value_or(1s);
    send.resumeAfter = words.metadata.resumeAfter;
    auto out = Dialect::upstreamRequest(request, send);
    require(out.bytes.find(": i-1\r\n") != std::string::npos, "the replica that is meant is named");
    (void)Dialect::readAnswer({ 200, headers }, words.id);
    return words.metadata.callerTimeout.has_value();
}

bool message(const std::string& input)
{
    auto decoded = decode(input);
    (void)typeIndex(input);
    if (!decoded)
        return false;
    auto again = decode(encode(*decoded));
    require(again && encode(*again) == encode(*decoded), "a message stays the same when it is coded again");
    return !faultOf(*decoded);
}

bool memory(const std::string& input)
{
    // As it comes from a disk, and as another release may have written it.
    for (const auto& bytes : { input, disk::encodeRecord(input) }) {
        for (const auto& record : StreamLog::read(bytes, 1h, [](const std::string&) {}))
            require(!faultOf(record), "a remembered stream can be used");
    }
    (void)PersistedReplicas::read(input, [](const std::string&) {});
    auto list = PersistedReplicas::read(
        disk::encodeRecord(input), [](const std::string& why) { require(!why.empty() && why.size() < 400, "a reason is given"); });
    if (!list)
        return false;
    for (const auto& announcement : *list)
        require(!faultOf(announcement), "a remembered replica can be used");
    return !list->empty();
}

bool log(const std::string& input)
{
    // The first byte says which file; whole records too, so that what is inside is reached.
    static Folder folder;
    auto name = input.empty() || input[0] % 3 == 0 ? "log" : input[0] % 3 == 1 ? "snapshot" : "identity";
    auto bytes = input.empty() ? input : input.substr(1);
    for (const auto& content : { bytes, disk::encodeRecord(bytes) }) {
        std::filesystem::remove_all(folder.file("data"));
        std::filesystem::create_directory(folder.file("data"));
        std::ofstream(folder.file("data/identity"), std::ios::binary) << disk::encodeRecord(encodeValue(DiskId(7)));
        std::ofstream(folder.file(std::string("data/") + name), std::ios::binary) << content;
        (void)disk::hasRecordAfter(content, 0);
        LogStorage storage;
        auto recovered = storage.open(folder.file("data"), DiskId(8));
        if (!recovered) {
            require(recovered.error().code == ResultCode::StorageCorrupt, "a damaged disk is told as such");
            continue;
        }
        std::uint64_t index = recovered.value().snapshot.lastIndex;
        for (const auto& entry : recovered.value().entries)
            require(entry.index == ++index, "the log has no gap");
    }
    return true;
}

struct Target {
    std::string name;
    bool (*run)(const std::string&);
    std::vector<std::string> samples;
    std::size_t everyNth = 1; ///< Those that write files take longer.
};

std::vector<std::string> messageSamples()
{
    Announcement a { "i-1", "app", "10.0.0.1:80", "z", "v1", 4, ReplicaState::Ready, UpstreamKind::Decode, 5ms, 9 };
    Hello hello;
    hello.id = PeerId(1);
    hello.name = "10.0.0.1:7";
    AppendRequest append { 3, 2, 1, 1, 9,
        { { 3, 3, ConfigCommand { 1, "id", "me", { { "a", "b" } }, { "c" } } }, { 3, 4, FenceCommand { "u", "o" } },
            { 3, 5, DocumentCommand { 7, "{}", 0, {} } }, { 3, 6, DocumentCommand { 8, "", 7, changeBetween("{}", "{ }") } },
            { 3, 7, MembersCommand { { "x", "y" } } } } };
    std::vector<Message> list { hello, RelayedAnnouncement { a, 1s }, ReplicaWithdrawn { "i-1" },
        RegistryHeartbeat { { { "i-1", 1s } }, 3 }, RegistryAges { 7, 2, 9, "\x01\xff" }, append, AppendReply { 3, true, 4, 9, DiskId(5) },
        ProposeReply {}, Propose { 1, ReplaceDiskCommand { "c", DiskId(4) } }, VoteRequest { 1, 2, 3, true, DiskId(4) },
        SnapshotChunk { 1, 2, 3, 0, "bytes", true }, DocumentOffer { 7, true }, DocumentRequest { 7, 6, 0 },
        DocumentPart { 7, 6, 0, 9, "bytes" }, ControllerRoster { { "10.0.0.1:7" } }, EngineLoadReport { { { "app", { 1.5, 2.5, 6s } } } },
        StageChange { "i-1", UpstreamKind::Prefill, 6s }, ReadIndexReply { 1, true, 2 }, Dispatch {}, SealReply {}, ConfigDelta {},
        ResponseHead { {}, Attempt(1), 200, { { "a", "b" } } }, UpstreamAnnouncement {},
        ReservationRequest { {}, Attempt(1), "r-1", 5000, 900, 1800, 64 }, ReservationReply { {}, Attempt(1), true, 900 },
        ReservationEnd { {}, true }, EngineHeadroom { "10.0.0.1:80", 900, 5000 }, PrefillNotice { {}, 5000, false }, RegistryRequest { 7 },
        RegistryList { { { a, 1s } }, { { "i-1", UpstreamKind::Prefill, 6s } }, { { "i-2" } } },
        CrashReport { { { ContentFingerprint(7), "i-1", {}, 1s, 1s, { "s", "v1" }, "g" } },
            { { ContentFingerprint(8), 1s, ReplicaSoftware { "s", "v1" } } } },
        QuotaReport { { { AccountId(7), 3300, 47000, true } }, true, true },
        QuotaTotals { { { AccountId(7), 3300, 5000, 0, true } }, true },
        ReplicaRateLimits { { { "i-1", {}, 1.5, 1 }, { "i-2", {}, {}, 2 } } },
        ReplicaUsageReport { { { { AccountId(7), 1, 1.5, true } }, true, true }, { 12, 10, 0.1, { { LimitId(7), 1, 0, 2, 3 } } } },
        ReplicaUsageTotals { { { { AccountId(7), 1, 1, 0, true } }, true }, { 20, 12, { { LimitId(7), 2 } } } },
        StreamRecords { { { StreamId(7), { "app", "v1" }, 15s } } }, StreamRecordsHeld { { StreamId(7) } }, StreamLookup { StreamId(7) },
        StreamLookupReply { StreamId(7), StreamKnowledge::Known, { "app", "v1" } } };
    std::vector<std::string> bytes;
    for (const auto& sample : list)
        bytes.push_back(encode(sample));
    return bytes;
}

std::vector<std::string> memorySamples()
{
    Announcement a { "i-1", "app", "10.0.0.1:80", "z", "v1", 4, ReplicaState::Ready, UpstreamKind::Decode, 5ms, 9 };
    return { encodeValue(std::vector { a, a, a }), encodeValue(std::vector<Announcement> {}),
        disk::encodeRecord(encodeValue(std::vector { a })),
        encodeValue(StreamLog::Batch { 1h, { { StreamId(1), { "app", "v1" }, 5s } } }) };
}

/// Bytes that a controller writes itself, read back from its folder.
std::vector<std::string> logSamples()
{
    Folder folder;
    LogStorage storage;
    require(bool(storage.open(folder.file("d"), DiskId(7))), "an empty folder can be opened");
    raft::Persist persist;
    persist.hardState = raft::HardState {};
    persist.entries = { { 1, 1, NoopCommand {} }, { 1, 2, DocumentCommand { 3, "{}" } } };
    storage.append(persist);
    require(bool(storage.sync()), "an empty folder can be written");
    persist.entries = { { 1, 3, FenceCommand { "u", "o" } } };
    storage.append(persist);
    require(bool(storage.sync()), "an empty folder can be written");
    auto bytes = disk::readFile(folder.file("d/log")).value();
    auto record = std::string(*disk::recordAt(bytes, 0));
    return { '\0' + bytes, '\0' + record, '\1' + encodeValue(raft::Snapshot {}), '\2' + encodeValue(DiskId(9)) };
}

std::vector<std::string> readCorpus(const std::string& target)
{
    std::vector<std::string> list;
    auto folder = std::filesystem::path(WRENHINGE_CORPUS) / target;
    std::vector<std::filesystem::path> files;
    if (std::filesystem::exists(folder)) {
        for (const auto& file : std::filesystem::directory_iterator(folder))
            if (file.path().filename() != ".gitkeep")
                files.push_back(file.path());
    }
    std::sort(files.begin(), files.end());
    for (const auto& file : files)
        list.push_back(disk::readFile(file.string()).value());
    return list;
}

void feed(const Target& target, const std::string& input, std::size_t& accepted, std::size_t& mostHeap)
{
    currentTarget = target.name;
    currentInput = input;
    alarm(hangSeconds);
    auto before = heapNow.load();
    heapPeak = before;
    accepted += target.run(input) ? 1 : 0;
    auto used = heapPeak.load() - before;
    mostHeap = std::max(mostHeap, used);
    require(used <= heapBeside + heapPerByte * input.size(), "memory is bounded by the input's size");
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::cerr << "fuzz-test SEED ITERATIONS [TARGET]\n";
        return 2;
    }
    auto seed = std::strtoull(argv[1], nullptr, 10);
    auto iterations = std::strtoull(argv[2], nullptr, 10);
    for (int signal : { SIGABRT, SIGSEGV, SIGFPE, SIGILL, SIGBUS, SIGALRM })
        std::signal(signal, keepInput);
    std::vector<Target> targets { { "calls", call, {} }, { "reports", report, {} }, { "callers", caller, {} },
        { "messages", message, messageSamples() }, { "memory", memory, memorySamples() }, { "log", log, logSamples(), 100 } };
    for (auto& target : targets) {
        if (argc > 3 && target.name != argv[3])
            continue;
        auto corpus = readCorpus(target.name);
        target.samples.insert(target.samples.end(), corpus.begin(), corpus.end());
        require(!target.samples.empty(), "each target has a sample");
        Mutator mutator(seed);
        std::size_t accepted = 0;
        std::size_t mostHeap = 0;
        for (const auto& sample : target.samples)
            feed(target, sample, accepted, mostHeap);
        auto n = iterations / target.everyNth;
        for (std::uint64_t i = 0; i < n; ++i)
            feed(target, mutator.mutate(target.samples[mutator.below(target.samples.size())], target.samples), accepted, mostHeap);
        std::cout << target.name << ": " << target.samples.size() << " samples, " << n << " changed ones, " << accepted << " accepted, "
                  << mostHeap / 1024 << " KiB at most" << std::endl;
    }
}
