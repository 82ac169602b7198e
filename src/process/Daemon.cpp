#include "process/Daemon.h"

#include <malloc.h>
#include <memory>
#include <popt.h>

namespace wrenhinge {

void returnLargeBlocks()
{
    constexpr int largeBlock = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBlock);
}

std::optional<int> readDaemonOptions(int argc, const char** argv, DaemonOptions& options)
{
    char* file = nullptr;
    int check = 0;
    int version = 0;
    poptOption table[] = { { "settings", 's', POPT_ARG_STRING, &file, 0, "the settings file (YAML)", "FILE" },
        { "check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr },
        { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version", nullptr }, POPT_AUTOHELP POPT_TABLEEND };
    auto context
        = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>(poptGetContext("wrenhinged", argc, argv, table, 0), &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "--settings FILE [--check]");
    if (int rc = poptGetNextOpt(context.get()); rc < -1) {
        std::cerr << "wrenhinged: " << poptBadOption(context.get(), 0) << ": " << poptStrerror(rc) << "; see wrenhinged --help\n";
        return daemon_exit::usage;
    }
    if (version) {
        std::cout << "wrenhinged " WRENHINGE_VERSION "\n";
        return daemon_exit::ok;
    }
    if (!file || poptPeekArg(context.get())) {
        std::cerr << "wrenhinged: expected --settings FILE and no other arguments; see wrenhinged --help\n";
        return daemon_exit::usage;
    }
    options.settingsFile = file;
    options.checkOnly = check != 0;
    std::free(file);
    return std::nullopt;
}

} // namespace wrenhinge
