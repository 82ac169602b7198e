/** \file
 * wrenhinged: reads the settings, starts the role set there, and drains it at SIGTERM.
 */
#include "process/ControllerRole.h"
#include "process/Daemon.h"
#include "process/GatewayRole.h"
#include "process/SidecarRole.h"

namespace {

using namespace wrenhinge;

int runDaemon(const Settings& settings, const std::string& file)
{
    switch (settings.role) {
    case Role::Gateway:
        return runRole<GatewayRole>(settings, file);
    case Role::Sidecar:
        return runRole<SidecarRole>(settings, file);
    case Role::Controller:
        return runRole<ControllerRole>(settings, file);
    }
    internalError("no class implements the configured role");
}

} // namespace

int main(int argc, const char** argv) { return daemonMain(argc, argv, runDaemon); }
