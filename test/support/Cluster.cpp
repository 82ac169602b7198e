#include "Cluster.h"

#include "connection/Asio.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace wrenhinge::test {

namespace {

    using Json = nlohmann::json;
    using namespace std::chrono_literals;

    constexpr auto pollEvery = 10ms;
    constexpr int pollsUntilHung = 6000;
    const std::vector<std::string> zones { "terminal-a", "gate-pier", "arrivals-hall" };

    /// A loopback address that no other process uses: 127.x.y.z from this process's id and a count.
    std::string ownLoopback()
    {
        static unsigned count = 0;
        auto id = static_cast<unsigned>(getpid());
        return "127." + std::to_string(64 + (id >> 8) % 128) + "." + std::to_string(id % 256) + "." + std::to_string(1 + count++ % 250);
    }

    std::string list(const std::vector<std::string>& items)
    {
        std::string text = "[";
        for (const auto& item : items)
            text += (text.size() > 1 ? ", " : "") + item;
        return text + "]";
    }

} // namespace

std::string buildFolder()
{
    const char* folder = std::getenv("WRENHINGE_BUILD");
    return folder ? folder : WRENHINGE_BUILD_FOLDER;
}

Cluster::Cluster(const ClusterPlan& plan)
    : m_plan(plan)
    , m_ip(ownLoopback())
{
    auto pattern = (std::filesystem::temp_directory_path() / "wrenhinge-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    this->plan();
}

Cluster::~Cluster()
{
    m_processes.clear();
    std::error_code ec;
    if (!std::getenv("WRENHINGE_KEEP"))
        std::filesystem::remove_all(m_folder, ec);
}

void Cluster::eventually(const std::string& what, const std::function<bool()>& f)
{
    for (int i = 0; i < pollsUntilHung; ++i) {
        if (f())
            return;
        std::this_thread::sleep_for(pollEvery);
    }
    throw std::runtime_error("never happened: " + what);
}

std::string Cluster::address(const std::string& what)
{
    auto& known = m_addresses[what];
    if (known.empty()) {
        // Nobody else binds on this address. The probes are kept until all addresses are known, or the kernel may give the
        // same port twice.
        m_probes.emplace_back(m_probeIo, Tcp::endpoint(boost::asio::ip::make_address(m_ip), 0));
        known = m_ip + ":" + std::to_string(m_probes.back().local_endpoint().port());
    }
    return known;
}

void Cluster::writeFile(const std::string& name, const std::string& text) const { std::ofstream(m_folder + "/" + name) << text; }

std::string Cluster::common(const std::string& name, const std::string& role, int zone)
{
    return "role: " + role + "\nname: " + name + "\nsite: ulemiste\nzone: " + zones[static_cast<std::size_t>(zone) % zones.size()]
        + "\nadmin: " + address(name + "-admin") + "\nlog:\n  level: " + m_plan.logLevel + "\n";
}

void Cluster::plan()
{
    for (int i = 1; i <= m_plan.controllers; ++i)
        address("controller-" + std::to_string(i));
    for (int i = 1; i <= m_plan.gateways; ++i)
        address("gateway-" + std::to_string(i));
    for (int i = 1; i <= m_plan.controllers; ++i)
        planController(i);
    for (int i = 1; i <= m_plan.gateways; ++i)
        planGateway(i);
    for (int i = 1; i <= m_plan.prefills; ++i)
        planSidecar("prefill", "lugeja", i);
    for (int i = 1; i <= m_plan.decodes; ++i)
        planSidecar("decode", "lugeja", i);
    for (int i = 1; i <= m_plan.plains; ++i)
        planSidecar("plain", "saatja", i);
    m_probes.clear();
}

void Cluster::planController(int i)
{
    auto name = "controller-" + std::to_string(i);
    auto text = common(name, "controller", i) + "listen: " + address(name) + "\ncontroller:\n  data: " + m_folder + "/" + name
        + "-data\n  new-cluster: yes\n  members:\n";
    for (int k = 1; k <= m_plan.controllers; ++k) {
        auto member = "controller-" + std::to_string(k);
        text += "    - { name: " + member + ", address: \"" + address(member) + "\" }\n";
    }
    writeFile(name + ".yaml", text);
    m_plans.push_back({ name, { buildFolder() + "/wrenhinged", "--settings", m_folder + "/" + name + ".yaml" } });
}

void Cluster::planGateway(int i)
{
    auto name = "gateway-" + std::to_string(i);
    std::vector<std::string> controllers;
    for (int k = 1; k <= m_plan.controllers; ++k)
        controllers.push_back(address("controller-" + std::to_string(k)));
    writeFile(name + ".yaml",
        common(name, "gateway", i) + "listen: " + address(name) + "\ncontrollers: " + list(controllers)
            + "\ncallers:\n  listen: " + address(name + "-callers") + "\n" + m_plan.gatewayExtras);
    m_plans.push_back({ name, { buildFolder() + "/wrenhinged", "--settings", m_folder + "/" + name + ".yaml" } });
}

void Cluster::planSidecar(const std::string& kind, const std::string& service, int i)
{
    auto name = (kind == "plain" ? service : service + "-" + kind) + "-" + std::to_string(i);
    auto standIn = name + "-standin";
    std::vector<std::string> arguments { buildFolder() + "/test/wrenhinge-standin", "--listen", address(standIn), "--kind", kind, "--slots",
        std::to_string(kind == "prefill" ? 1 : m_plan.slots) };
    const auto& options = kind == "plain" ? m_plan.plainOptions : m_plan.engineOptions;
    arguments.insert(arguments.end(), options.begin(), options.end());
    m_plans.push_back({ standIn, arguments });
    std::vector<std::string> controllers;
    for (int k = 1; k <= m_plan.controllers; ++k)
        controllers.push_back(address("controller-" + std::to_string(k)));
    std::vector<std::string> gateways;
    for (int k = 1; k <= m_plan.gateways; ++k)
        gateways.push_back(address("gateway-" + std::to_string(k)));
    writeFile(name + ".yaml",
        common(name, "sidecar", i) + "controllers: " + list(controllers) + "\ngateways: " + list(gateways)
            + "\nupstream:\n  service: " + service + "\n  kind: " + kind + "\n  address: " + address(standIn)
            + "\n  slots: " + std::to_string(kind == "prefill" ? 1 : m_plan.slots) + "\n");
    m_plans.push_back({ name, { buildFolder() + "/wrenhinged", "--settings", m_folder + "/" + name + ".yaml" } });
}

std::vector<std::string> Cluster::sidecars() const
{
    std::vector<std::string> names;
    for (const auto& plan : m_plans) {
        if (plan.name.starts_with("lugeja") || plan.name.starts_with("saatja")) {
            if (!plan.name.ends_with("-standin"))
                names.push_back(plan.name);
        }
    }
    return names;
}

void Cluster::startProcess(const std::string& name)
{
    for (const auto& plan : m_plans) {
        if (plan.name != name)
            continue;
        auto process = std::make_unique<Process>(plan.arguments, m_folder + "/" + name + ".log");
        auto line = process->readLine();
        if (line.empty())
            throw std::runtime_error(name + " did not start; see " + m_folder + "/" + name + ".log");
        m_ready[name] = Json::parse(line);
        m_processes[name] = std::move(process);
        return;
    }
    throw std::runtime_error("no process " + name);
}

void Cluster::start()
{
    for (const auto& plan : m_plans)
        startProcess(plan.name);
    for (int i = 1; i <= m_plan.gateways; ++i)
        waitForUpstreams(i);
}

void Cluster::waitForUpstreams(int gateway)
{
    auto wanted = static_cast<std::size_t>(m_plan.prefills + m_plan.decodes + m_plan.plains);
    auto name = "gateway-" + std::to_string(gateway);
    eventually(name + " knows its upstreams", [&] { return adminJson(name, "/upstreams").size() == wanted; });
}

Json Cluster::adminJson(const std::string& name, const std::string& path)
{
    auto answer = HttpClient(admin(name)).call("GET", path);
    auto json = Json::parse(answer.body, nullptr, false);
    return json.is_discarded() ? Json() : json;
}

Json Cluster::truth(const std::string& name)
{
    return Json::parse(HttpClient(m_ready.at(name + "-standin").at("address")).call("GET", "/truth").body);
}

void Cluster::configure(const std::map<std::string, std::string>& puts)
{
    Json change { { "number", ++m_number }, { "change_id", "test-" + std::to_string(m_number) }, { "author", "test" }, { "puts", puts } };
    std::uint64_t version = 0;
    eventually("the configuration is accepted", [&] {
        for (int i = 1; i <= m_plan.controllers; ++i) {
            auto name = "controller-" + std::to_string(i);
            if (!m_processes.contains(name))
                continue;
            auto answer = HttpClient(admin(name)).call("POST", "/config", change.dump());
            if (answer.status == 200) {
                version = Json::parse(answer.body).at("version");
                return true;
            }
        }
        return false;
    });
    auto names = sidecars();
    for (int i = 1; i <= m_plan.gateways; ++i)
        names.push_back("gateway-" + std::to_string(i));
    for (const auto& name : names)
        eventually(name + " follows", [&] { return adminJson(name, "/config").value("version", 0u) >= version; });
}

} // namespace wrenhinge::test
