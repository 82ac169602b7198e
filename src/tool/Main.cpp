/** \file
 * wrenhinge: the operators' tool.
 */
#include "tool/Commands.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>

namespace {

using namespace wrenhinge::tool;

constexpr const char* commandHelp = "COMMAND\n\n"
                                    "Commands:\n"
                                    "  status                            every process: configuration in force, work in progress\n"
                                    "  upstream list                     every upstream: state, slots, queue\n"
                                    "  upstream drain SERVICE REPLICA    no new work for a replica, until resumed\n"
                                    "  upstream resume SERVICE REPLICA\n"
                                    "  accounts                          what client accounts use of their limits, over all gateways\n"
                                    "  config check FILE                 check a configuration file\n"
                                    "  config diff FILE                  what applying it would change\n"
                                    "  config apply FILE                 make it the configuration\n"
                                    "  config show|history|status        what is accepted, who changed it, where it is in force\n"
                                    "  request explain ID                one request's way through all processes\n"
                                    "  timeline                          the events of all processes in order\n"
                                    "  metrics                           the metrics of one process\n\n"
                                    "Exit codes: 0 done, 1 refused, 2 wrong use, 3 nobody answers";

/// Takes a text over from popt, which allocates it, or the fallback.
std::string takeString(char* text, const std::string& fallback)
{
    std::string value = text ? text : fallback;
    std::free(text);
    return value;
}

std::string environmentVariable(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

} // namespace

int main(int argc, const char** argv)
{
    char* admin = nullptr;
    char* number = nullptr;
    char* changeId = nullptr;
    char* author = nullptr;
    int json = 0;
    int version = 0;
    poptOption table[] = { { "admin", 'a', POPT_ARG_STRING, &admin, 0, "admin address of any process (or WRENHINGE_ADMIN)", "IP:PORT" },
        { "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr },
        { "number", 'n', POPT_ARG_STRING, &number, 0, "config apply: the change's number (default: the next one)", "N" },
        { "change-id", 0, POPT_ARG_STRING, &changeId, 0, "config apply: the change's id, to resend it", "ID" },
        { "author", 0, POPT_ARG_STRING, &author, 0, "config apply: who changes (default: the user)", "NAME" },
        { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version", nullptr }, POPT_AUTOHELP POPT_TABLEEND };
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("wrenhinge", argc, argv, table, 0), &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), commandHelp);
    if (int rc = poptGetNextOpt(context.get()); rc < -1)
        return fail(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(rc) + "; see wrenhinge --help", ExitUsage);
    if (version) {
        std::cout << "wrenhinge " WRENHINGE_VERSION "\n";
        return ExitOk;
    }
    Options options;
    options.admin = takeString(admin, environmentVariable("WRENHINGE_ADMIN"));
    options.json = json != 0;
    options.changeId = takeString(changeId, "");
    options.author = takeString(author, environmentVariable("USER"));
    auto numberText = takeString(number, "");
    if (!numberText.empty()) {
        char* end = nullptr;
        options.number = std::strtoull(numberText.c_str(), &end, 10);
        if (*end)
            return fail("--number takes a whole number", ExitUsage);
    }
    Arguments arguments;
    while (const char* argument = poptGetArg(context.get()))
        arguments.emplace_back(argument);
    return runCommand(options, arguments);
}
