/** \file
 * wrenhinge: the command-line tool for operators.
 */
#include "tool/Commands.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>

namespace {

using namespace wrenhinge::tool;

constexpr const char* commandHelp
    = "COMMAND\n\n"
      "Commands:\n"
      "  status                            all processes: configuration in force, requests in progress\n"
      "  upstream list                     all upstreams: state, slots, queue\n"
      "  upstream drain SERVICE REPLICA    send no new requests to a replica until it is resumed\n"
      "  upstream resume SERVICE REPLICA   send requests to the replica again\n"
      "  accounts                          limits and usage of client accounts, summed over all gateways\n"
      "  config check FILE                 validate a configuration file\n"
      "  config diff FILE                  show what applying the file would change\n"
      "  config apply FILE                 replace the configuration with that of the file\n"
      "  config show|history|status        current configuration, accepted changes, processes it is in force at\n"
      "  request explain ID                the events of one request at all processes\n"
      "  timeline                          the events of all processes in causal order\n"
      "  metrics                           the metrics of one process\n\n"
      "Exit codes: 0 success, 1 refused, 2 usage error, 3 no process reachable";

/// Copies a string that popt allocated and frees it. \returns `fallback` if it is null.
std::string takeString(char* text, const std::string& fallback)
{
    std::string value = text ? text : fallback;
    std::free(text);
    return value;
}

/// \returns the value of an environment variable, or an empty string if it is not set.
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
        { "number", 'n', POPT_ARG_STRING, &number, 0, "number of the configuration change (default: the next one)", "N" },
        { "change-id", 0, POPT_ARG_STRING, &changeId, 0, "id of the configuration change, to resend it", "ID" },
        { "author", 0, POPT_ARG_STRING, &author, 0, "author of the configuration change (default: $USER)", "NAME" },
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
            return fail("--number must be a non-negative integer", ExitUsage);
    }
    Arguments arguments;
    while (const char* argument = poptGetArg(context.get()))
        arguments.emplace_back(argument);
    return runCommand(options, arguments);
}
