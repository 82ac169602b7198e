/** \file
 * Real controllers and gateways of the platform's program, which hold a routing document together: what a change of it costs them.
 */
#pragma once

#include "Ports.h"
#include "Process.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wrenhinge::test {

/// A document of so many routes to one service; one of them, in the middle, has a timeout of its own.
std::string documentOf(int version, int routes, int timeout = 600);

class DocumentSite {
public:
    DocumentSite(std::size_t controllers, std::size_t gateways);
    ~DocumentSite();

    /// Sends a document until it is acknowledged, and waits until all processes hold it.
    void change(std::size_t controller, const std::string& text);
    /// The document as it is read back at a controller.
    std::string read(std::size_t controller);
    void restartGateway(std::size_t i);
    /// Bytes that all controllers have written to links since they started.
    [[nodiscard]] double sentBytes() const;
    /// The most memory that any controller, or any gateway, has taken so far, in KB.
    [[nodiscard]] long controllerPeak() const { return peakOf("c"); }
    [[nodiscard]] long gatewayPeak() const { return peakOf("g"); }

private:
    static nlohmann::json status(const std::string& admin);
    [[nodiscard]] std::string address(std::size_t port) const;
    [[nodiscard]] std::string seeds() const;
    [[nodiscard]] long peakOf(const std::string& prefix) const;
    /// \returns its admin address.
    std::string start(const std::string& name, const std::string& settings);
    std::string startController(std::size_t i);
    void startGateway(std::size_t i);

    std::size_t m_controllers;
    HeldPorts m_ports;
    std::string m_folder;
    std::vector<std::string> m_admin; ///< Controllers first, then gateways.
    std::map<std::string, std::unique_ptr<Process>> m_processes;
};

} // namespace wrenhinge::test
