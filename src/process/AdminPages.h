/** \file
 * The admin pages that every role serves (health, readiness, peers, time line), and JSON conversions that the roles share.
 */
#pragma once

#include "process/AdminServer.h"
#include "process/Runtime.h"
#include "version/Configuration.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace wrenhinge {

/// Serves `/healthz`, `/readyz`, `/peers` and `/timeline`.
class AdminPages {
public:
    struct Sources {
        std::function<bool()> isReady;
        std::function<std::vector<Hello>()> peers;
    };

    AdminPages(const Settings&, Runtime&, Sources);

    /// \returns nothing if the path is not one of these pages.
    std::optional<AdminReply> answer(const AdminRequest&) const;
    /// Name, role, site, availability zone, peer id and admin address of this process, for the top of each status page.
    [[nodiscard]] nlohmann::json identity() const;
    void setAdminAddress(std::string address) { m_adminAddress = std::move(address); }

    static AdminReply json(const nlohmann::json&, int status = 200);
    static AdminReply error(const Error&);
    static AdminReply notFound(const std::string& path);

private:
    [[nodiscard]] nlohmann::json peers() const;
    [[nodiscard]] nlohmann::json timeline(const std::string& request) const;

    Settings m_settings;
    Runtime& m_runtime;
    Sources m_sources;
    std::string m_adminAddress;
};

nlohmann::json toJson(const LoadReport&);
nlohmann::json toJson(const Configuration&);

} // namespace wrenhinge
