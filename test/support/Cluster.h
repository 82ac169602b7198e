/** \file
 * A small deployment of real processes for tests, demo and benchmarks: controllers, gateways, sidecars with stand-ins.
 *
 * Each cluster lives on a loopback address of its own, with ports that the kernel chose, so that no two runs meet.
 */
#pragma once

#include "HttpClient.h"
#include "Process.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wrenhinge::test {

struct ClusterPlan {
    int controllers = 3;
    int gateways = 2;
    int prefills = 2;
    int decodes = 3;
    int plains = 2;
    int slots = 20;
    std::string gatewayExtras {}; ///< YAML lines for each gateway's `callers`.
    std::vector<std::string> engineOptions {}; ///< For each engine stand-in.
    std::vector<std::string> plainOptions {}; ///< For each stand-in of a plain service.
    std::string logLevel = "info";
};

class Cluster {
public:
    explicit Cluster(const ClusterPlan&);
    ~Cluster();

    /// Starts all and waits until each gateway knows each upstream.
    void start();
    void startProcess(const std::string& name);
    Process& process(const std::string& name) { return *m_processes.at(name); }
    void waitForUpstreams(int gateway);

    [[nodiscard]] std::string callers(int gateway) const { return m_ready.at("gateway-" + std::to_string(gateway)).at("callers"); }
    [[nodiscard]] std::string peerAddress(const std::string& name) const { return m_ready.at(name).at("peers"); }
    [[nodiscard]] std::string admin(const std::string& name) const { return m_ready.at(name).at("admin"); }
    /// The address of the stand-in beside a sidecar.
    [[nodiscard]] std::string standIn(const std::string& sidecar) const { return m_ready.at(sidecar + "-standin").at("address"); }
    /// What an upstream's stand-in says it did; `name` is the sidecar's.
    nlohmann::json truth(const std::string& name);
    nlohmann::json adminJson(const std::string& name, const std::string& path);
    /// Applies entries to the configuration through the leader; waits until it is in force at each gateway and sidecar.
    void configure(const std::map<std::string, std::string>& puts);
    [[nodiscard]] const std::string& folder() const { return m_folder; }
    [[nodiscard]] std::vector<std::string> sidecars() const;

    /// Calls `f` until it is true. Throws after a limit that only a hang exceeds.
    static void eventually(const std::string& what, const std::function<bool()>& f);

private:
    struct Plan {
        std::string name;
        std::vector<std::string> arguments;
    };
    void plan();
    void planController(int i);
    void planGateway(int i);
    void planSidecar(const std::string& kind, const std::string& service, int i);
    void writeFile(const std::string& name, const std::string& text) const;
    std::string address(const std::string& what);
    std::string common(const std::string& name, const std::string& role, int zone);

    ClusterPlan m_plan;
    std::string m_folder;
    std::string m_ip;
    std::map<std::string, std::string> m_addresses;
    IoContext m_probeIo;
    std::vector<Tcp::acceptor> m_probes;
    std::vector<Plan> m_plans;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, nlohmann::json> m_ready;
    std::uint64_t m_number = 0;
};

/// The folder of the built programs, from the environment variable WRENHINGE_BUILD or as built.
std::string buildFolder();

} // namespace wrenhinge::test
