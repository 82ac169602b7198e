#include "DocumentSite.h"

#include "HttpClient.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace wrenhinge::test {

std::string documentOf(int version, int routes, int timeout)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int i = 0; i < routes; ++i) {
        text += (i ? "," : "") + std::string(R"({"name":"r-)") + std::to_string(i) + R"(","host":"h)" + std::to_string(i * 7919 % 1000)
            + R"(.example","path_prefix":"/p)" + std::to_string(i) + R"(/","kind":"safe","timeout_ms":)"
            + std::to_string(i == routes / 2 ? timeout : 500) + R"(,"target_latency_ms":100,"priority":1,"service":"s","max_attempts":2})";
    }
    return text + R"(],"services":[{"name":"s","health_path":"/health","max_conns":130}]})";
}

DocumentSite::DocumentSite(std::size_t controllers, std::size_t gateways)
    : m_controllers(controllers)
    , m_ports(2 * controllers)
{
    m_folder = (std::filesystem::temp_directory_path() / "wrenhinge-documents-XXXXXX").string();
    if (!mkdtemp(m_folder.data()))
        throw std::runtime_error("no folder for a site");
    for (std::size_t i = 0; i < controllers; ++i)
        m_admin.push_back(startController(i));
    for (std::size_t i = 0; i < gateways; ++i)
        startGateway(i);
}

DocumentSite::~DocumentSite()
{
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

void DocumentSite::change(std::size_t controller, const std::string& text)
{
    while (HttpClient(address(2 * controller + 1)).call("PUT", "/-/config", text).status != 200)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    auto version = nlohmann::json::parse(text).at("version").get<int>();
    for (const auto& admin : m_admin) {
        while (status(admin).at("document_version").get<int>() < version)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

std::string DocumentSite::read(std::size_t controller)
{
    for (;;) {
        if (auto answer = HttpClient(address(2 * controller + 1)).call("GET", "/-/config"); answer.status == 200)
            return answer.body;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

void DocumentSite::restartGateway(std::size_t i)
{
    m_processes["g" + std::to_string(i)].reset();
    startGateway(i);
}

double DocumentSite::sentBytes() const
{
    double sum = 0;
    for (std::size_t i = 0; i < m_controllers; ++i) {
        std::istringstream lines(HttpClient(m_admin[i]).call("GET", "/metrics").body);
        for (std::string name, value; lines >> name >> value;) {
            if (name == "#")
                std::getline(lines, value);
            else if (name == "wrenhinge_links_sent_bytes_total")
                sum += std::stod(value);
        }
    }
    return sum;
}

long DocumentSite::peakOf(const std::string& prefix) const
{
    long most = 0;
    for (const auto& [name, process] : m_processes) {
        if (!name.starts_with(prefix))
            continue;
        std::ifstream file("/proc/" + std::to_string(process->id()) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmHWM:"))
                most = std::max(most, std::stol(line.substr(line.find_first_of("0123456789"))));
        }
    }
    return most;
}

nlohmann::json DocumentSite::status(const std::string& admin)
{
    return nlohmann::json::parse(HttpClient(admin).call("GET", "/status").body);
}

std::string DocumentSite::address(std::size_t port) const { return "127.0.0.1:" + std::to_string(m_ports[port]); }

std::string DocumentSite::seeds() const
{
    constexpr std::size_t most = 3;
    std::string list;
    for (std::size_t i = 0; i < std::min(most, m_controllers); ++i)
        list += (i ? ", " : "") + address(2 * i);
    return "[" + list + "]";
}

std::string DocumentSite::start(const std::string& name, const std::string& settings)
{
    auto file = m_folder + "/" + name + ".yaml";
    std::ofstream(file) << "name: " << name << "\nsite: s\nzone: z\nworkers: 1\nadmin: 127.0.0.1:0\n" << settings;
    m_processes[name] = std::make_unique<Process>(
        std::vector<std::string> { WRENHINGE_BUILD_FOLDER "/wrenhinge-platform", "--settings", file }, m_folder + "/" + name + ".log");
    auto line = m_processes[name]->readLine();
    if (line.empty())
        throw std::runtime_error(name + " did not start");
    return nlohmann::json::parse(line).at("admin").get<std::string>();
}

std::string DocumentSite::startController(std::size_t i)
{
    auto data = m_folder + "/data" + std::to_string(i);
    return start("c" + std::to_string(i),
        "role: controller\nlisten: " + address(2 * i) + "\ncontroller:\n  data: " + data + "\n  new-cluster: true\n  seeds: " + seeds()
            + "\n  door: " + address(2 * i + 1) + "\n");
}

void DocumentSite::startGateway(std::size_t i)
{
    auto admin = start("g" + std::to_string(i),
        "role: gateway\nlisten: 127.0.0.1:0\ncontrollers: " + seeds() + "\ncallers:\n  listen: 127.0.0.1:0\n  ready: 127.0.0.1:0\n");
    m_admin.resize(std::max(m_admin.size(), m_controllers + i + 1));
    m_admin[m_controllers + i] = admin;
}

} // namespace wrenhinge::test
