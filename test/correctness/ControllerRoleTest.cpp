/** \file
 * The controller as a process: what becomes of proposals when its disk refuses to write.
 */
#include "process/ControllerRole.h"
#include "Folder.h"
#include "process/Runtime.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <sys/resource.h>

using namespace wrenhinge;
using wrenhinge::test::Folder;

namespace {

constexpr std::size_t largeText = 64 * 1024;

Settings settingsIn(const Folder& folder)
{
    Settings settings;
    settings.name = "a";
    settings.listen = settings.admin = "127.0.0.1:0";
    settings.controller.data = folder.file("data");
    settings.controller.members = { { "a", "127.0.0.1:0" } };
    settings.controller.isNewCluster = true;
    settings.log.file = folder.file("log");
    return settings;
}

ResultCode propose(ControllerRole& role, std::uint64_t version, const std::string& text)
{
    std::promise<ResultCode> promise;
    role.propose(DocumentCommand { version, text, 0, {} }, [&promise](const ProposeReply& reply) { promise.set_value(reply.code); });
    return promise.get_future().get();
}

} // namespace

TEST_CASE("a proposal that comes while the disk is read again is answered")
{
    // Guards against a controller with a full disk whose memory grows with each proposal.
    Folder folder;
    auto settings = settingsIn(folder);
    Runtime runtime(settings);
    ControllerRole role(settings, runtime);
    REQUIRE(role.start());
    while (propose(role, 1, "version 1") != ResultCode::Ok)
        std::this_thread::sleep_for(10ms);
    // A limit on the size of files stands in for the full disk.
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit former {};
    getrlimit(RLIMIT_FSIZE, &former);
    rlimit small { std::filesystem::file_size(settings.controller.data + "/log") + largeText / 2, former.rlim_max };
    setrlimit(RLIMIT_FSIZE, &small);
    auto second = std::make_shared<std::promise<ResultCode>>();
    auto answered = second->get_future();
    role.propose(DocumentCommand { 2, std::string(largeText, 'x'), 0, {} }, [&role, former, second](const ProposeReply& reply) {
        setrlimit(RLIMIT_FSIZE, &former);
        CHECK(reply.code == ResultCode::ConfigUnavailable);
        role.propose(DocumentCommand { 3, "version 3", 0, {} }, [second](const ProposeReply& later) { second->set_value(later.code); });
    });
    // Far longer than it takes: what is dropped is never answered.
    REQUIRE(answered.wait_for(10s) == std::future_status::ready);
    CHECK(answered.get() == ResultCode::ConfigUnavailable);
    while (propose(role, 4, "version 4") != ResultCode::Ok)
        std::this_thread::sleep_for(10ms);
}
