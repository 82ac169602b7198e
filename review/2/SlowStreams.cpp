/** \file
 * Case 2: one replica of eight turns slow, and its streams go on, at pauses that are within the objective. The gateway goes on with them at
 * other replicas nevertheless, while the first one still works on them.
 */
#include "../support/Site.h"

using namespace review;

namespace {

constexpr int replicas = 8; ///< Of the decode stage.
constexpr int prefillReplicas = 3;
constexpr int prefillTime = 15;
constexpr int slowReplica = 0; ///< One of eight: a share of 0.125.
constexpr int slowFactor = 4;
constexpr int slowFor = 6500;
constexpr int slowPause = 5000;
constexpr int slowPeriods = 4;
constexpr int eventPause = 50; ///< 200 ms while slow. `target_gap_ms` is 300.
constexpr int events = 20;
constexpr int streamsPerSecond = 40;
constexpr int deadline = 14000;
constexpr int trafficAfter = 14000;
constexpr int stillWorksAfter = 400;

/// What a replica did for a request.
struct Run {
    int replica = 0;
    long beganAt = 0;
    long workedUntil = 0;
};

std::mutex g_mutex;
std::map<std::string, std::vector<Run>> g_runs;
std::atomic<bool> g_isSlow { false };

/// Waits as long as an event takes; the connection's end does not wake a replica that does not drop requests.
bool workOnEvent(Connection& connection, int replica)
{
    int left = eventPause * (replica == slowReplica && g_isSlow ? slowFactor : 1);
    if (replica == slowReplica) {
        pause(left);
        return true;
    }
    return connection.read(left) != 0;
}

bool answerJson(Connection& connection, const std::string& id, const std::string& status, const std::string& body)
{
    auto head = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + (id.empty() ? "" : "Request-Id: " + id + "\r\n");
    return connection.write(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::atomic<bool> g_wasOrdered { false };

/// Places and handles, which are always to be had. The case does not play orders: if one is prepared, it could not run.
bool serveCall(Connection& connection, const Message& request)
{
    static std::atomic<int> last { 0 };
    if (request.start.rfind("POST /-/hold-take ", 0) == 0)
        return answerJson(connection, "", "200 OK", R"({"hold":"h)" + std::to_string(++last) + R"("})");
    if (request.start.rfind("DELETE /-/", 0) == 0)
        return answerJson(connection, "", "200 OK", "{}");
    g_wasOrdered = true;
    return false;
}

bool servePrefill(Connection& connection, const Message& request)
{
    static std::atomic<int> last { 0 };
    if (request.start.find(" /-/") != std::string::npos)
        return serveCall(connection, request);
    auto id = request.header("request-id");
    if (request.header("stage") != "prefill")
        return answerJson(connection, id, "421 Misdirected Request\r\nNot-Executed: 1", "{}");
    pause(prefillTime);
    return answerJson(connection, id, "200 OK", R"({"kv_handle":"k)" + std::to_string(++last) + R"(","tokens":1460,"version":1})");
}

/// "Most replicas drop a request when its connection closes": all but one of the eight do.
bool serve(Record& record, int replica, Connection& connection, const Message& request)
{
    if (request.start.find(" /-/") != std::string::npos)
        return serveCall(connection, request);
    auto id = request.header("request-id");
    if (request.header("stage") == "prefill")
        return answerJson(connection, id, "421 Misdirected Request\r\nNot-Executed: 1", "{}");
    int first = std::atoi(request.header("last-event-id").c_str()) + 1;
    std::size_t own = 0;
    {
        std::lock_guard lock(g_mutex);
        auto& runs = g_runs[id];
        own = runs.size();
        runs.push_back({ replica, record.now(), record.now() });
    }
    record.line("run " + id + " at replica " + std::to_string(replica) + " from event " + std::to_string(first));
    bool isConnected = connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id
        + "\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = first; i <= events; ++i) {
        bool goesOn = workOnEvent(connection, replica);
        auto event = "id: " + std::to_string(i) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        isConnected = isConnected && goesOn && connection.write(size + event + "\r\n");
        {
            std::lock_guard lock(g_mutex);
            g_runs[id][own].workedUntil = record.now();
        }
        if (!isConnected && replica != slowReplica)
            break;
    }
    record.line("end " + id + " at replica " + std::to_string(replica) + (isConnected ? "" : ", its connection has closed"));
    return isConnected && connection.write("0\r\n\r\n");
}

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"handover","host":"desk.example","path_prefix":"/handover/","kind":"streaming",)"
           R"("timeout_ms":14000,"target_latency_ms":900,"target_gap_ms":300,"priority":1,"service":"scribe","max_attempts":2,)"
           R"("affinity":true,"allow_resume":true}],"services":[{"name":"scribe","health_path":"/health","max_conns":490,"engine":)"
           R"({"slots":64,"kv_tokens":40345,"kv_token_bytes":18432,"link_mbps":740000.0,"moves":true,"backups":true,"stride":13,"most":12,)"
           R"("kv_hold_s":0.5,"stage_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// \returns whether the whole stream came.
bool askStream(Record& record, const std::string& gateway, const std::string& id)
{
    Connection connection;
    auto headers = "Request-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline)
        + "\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:200," + std::to_string(std::hash<std::string>()(id) % 1000000000)
        + ":1260\r\n";
    record.line("sent " + id);
    if (!connection.connect(gateway) || !connection.write(requestText("POST", "/handover/1", "desk.example", headers, "prompt")))
        return false;
    auto answer = connection.readMessage(deadline);
    bool isWhole = answer && answer->status() == 200 && answer->body.find("id: " + std::to_string(events) + "\n") != std::string::npos;
    record.line("answered " + id + (isWhole ? " in whole" : answer ? " with " + std::to_string(answer->status()) : " not in whole"));
    return isWhole;
}

/// The requests of which a later run began at another replica, and an earlier one still worked 400 ms after that.
int countDoubled(Record& record, int& repeated)
{
    int doubled = 0;
    std::lock_guard lock(g_mutex);
    for (const auto& [id, runs] : g_runs) {
        bool isDoubled = false;
        for (std::size_t i = 1; i < runs.size(); ++i)
            isDoubled
                = isDoubled || (runs[i].replica != runs[i - 1].replica && runs[i - 1].workedUntil >= runs[i].beganAt + stillWorksAfter);
        repeated += runs.size() > 1 ? 1 : 0;
        doubled += isDoubled ? 1 : 0;
        if (isDoubled)
            record.line("TWICE " + id + ": runs at replica " + std::to_string(runs[1].replica) + " since " + std::to_string(runs[1].beganAt)
                + ", and at replica " + std::to_string(runs[0].replica) + " until " + std::to_string(runs[0].workedUntil));
    }
    return doubled;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return exitNotRun;
    std::string program = argv[1];
    std::string folder = argv[2];
    Record record(argv[3]);
    const char* setting = std::getenv("TROUBLE");
    bool hasTrouble = !setting || std::string(setting) != "0";
    Ports ports;
    auto peer = ports.next();
    auto door = ports.next();
    auto callers = ports.next();
    auto ready = ports.next();
    Program controller(program, folder, "c1", controllerSettings("c1", peer, door, peer, folder + "/data", 0));
    Program gateway(program, folder, "g1", gatewaySettings("g1", ports.next(), peer, callers, ready));
    controller.start();
    gateway.start();
    std::vector<std::unique_ptr<Replica>> all;
    for (int i = 0; i < replicas; ++i)
        all.push_back(std::make_unique<Replica>(
            "i-" + std::to_string(i), "scribe", door,
            [&record, i](Connection& connection, const Message& request) { return serve(record, i, connection, request); }, "decode"));
    for (int i = 0; i < prefillReplicas; ++i)
        all.push_back(std::make_unique<Replica>("p-" + std::to_string(i), "scribe", door, servePrefill, "prefill"));
    if (!await(door, "PUT", "/-/config", configuration(), 200, 10000) || !await(ready, "GET", "/-/ready", "", 200, 10000))
        return exitNotRun;
    pause(trafficAfter);

    std::atomic<int> served { 0 };
    std::atomic<int> inProgress { 0 };
    int sent = 0;
    auto begin = record.now();
    for (int period = 0; period < slowPeriods; ++period) {
        for (int part = 0; part < 2; ++part) {
            bool isSlow = part == 1 && hasTrouble;
            if (isSlow != g_isSlow)
                record.line(isSlow ? "replica 0 turns slow" : "replica 0 is as before");
            g_isSlow = isSlow;
            auto until = begin + period * (slowFor + slowPause) + (part ? slowPause + slowFor : slowPause);
            for (; record.now() < until; pause(1000 / streamsPerSecond)) {
                ++inProgress;
                std::thread([&, n = sent++] {
                    served += askStream(record, callers, "handover-" + std::to_string(n)) ? 1 : 0;
                    --inProgress;
                }).detach();
            }
        }
    }
    g_isSlow = false;
    while (inProgress > 0)
        pause(50);
    pause(2000);
    int repeated = 0;
    int doubled = countDoubled(record, repeated);
    record.line("sent " + std::to_string(sent) + ", answered in whole " + std::to_string(served) + ", run at two replicas "
        + std::to_string(repeated) + ", TWICE " + std::to_string(doubled));
    record.line(doubled ? "the rule was broken" : "the rule held");
    bool hasRun = sent > 0 && served * 10 >= sent * 9 && !g_wasOrdered;
    controller.kill();
    gateway.kill();
    ::_exit(!hasRun ? exitNotRun : doubled ? exitBroken : exitHeld);
}
