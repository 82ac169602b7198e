#include "base/ResultCode.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace wrenhinge {

namespace {

    struct CodeRow {
        ResultCode code;
        std::string_view name;
        std::string_view outcome;
        int httpStatus;
    };

    constexpr std::string_view notRun = "not_run";

    constexpr std::array codeTable {
        CodeRow { ResultCode::Ok, "OK", "done", 200 },
        CodeRow { ResultCode::MalformedRequest, "MALFORMED_REQUEST", notRun, 400 },
        CodeRow { ResultCode::UnknownService, "UNKNOWN_SERVICE", notRun, 404 },
        CodeRow { ResultCode::UnknownAccount, "UNKNOWN_ACCOUNT", notRun, 401 },
        CodeRow { ResultCode::BodyTooLarge, "BODY_TOO_LARGE", notRun, 413 },
        CodeRow { ResultCode::KeyReused, "KEY_REUSED", notRun, 422 },
        CodeRow { ResultCode::HeaderTooLarge, "HEADER_TOO_LARGE", notRun, 431 },
        CodeRow { ResultCode::RequestTimeout, "REQUEST_TIMEOUT", notRun, 408 },
        CodeRow { ResultCode::Overloaded, "OVERLOADED", notRun, 503 },
        CodeRow { ResultCode::AccountRateLimit, "ACCOUNT_RATE_LIMIT", notRun, 429 },
        CodeRow { ResultCode::AccountConcurrencyLimit, "ACCOUNT_CONCURRENCY_LIMIT", notRun, 429 },
        CodeRow { ResultCode::NoUpstream, "NO_UPSTREAM", notRun, 503 },
        CodeRow { ResultCode::LedgerUnavailable, "LEDGER_UNAVAILABLE", notRun, 503 },
        CodeRow { ResultCode::Draining, "DRAINING", notRun, 503 },
        CodeRow { ResultCode::DeadlineUnreachable, "DEADLINE_UNREACHABLE", notRun, 503 },
        CodeRow { ResultCode::Superseded, "SUPERSEDED", "in_progress", 409 },
        CodeRow { ResultCode::NotResumable, "NOT_RESUMABLE", notRun, 503 },
        CodeRow { ResultCode::InProgress, "IN_PROGRESS", "in_progress", 409 },
        CodeRow { ResultCode::OutcomeUnknown, "OUTCOME_UNKNOWN", "unknown", 502 },
        CodeRow { ResultCode::AnswerNotKept, "ANSWER_NOT_KEPT", "done", 410 },
        CodeRow { ResultCode::UpstreamFailed, "UPSTREAM_FAILED", "failed", 502 },
        CodeRow { ResultCode::Cancelled, "CANCELLED", "cancelled", 499 },
        CodeRow { ResultCode::TimedOut, "TIMED_OUT", "unknown", 504 },
        CodeRow { ResultCode::CrashesReplicas, "CRASHES_REPLICAS", "unknown", 502 },
        CodeRow { ResultCode::BadSettings, "BAD_SETTINGS", notRun, 400 },
        CodeRow { ResultCode::BadConfiguration, "BAD_CONFIGURATION", notRun, 400 },
        CodeRow { ResultCode::ConfigConflict, "CONFIG_CONFLICT", notRun, 409 },
        CodeRow { ResultCode::ConfigUnavailable, "CONFIG_UNAVAILABLE", "unknown", 503 },
        CodeRow { ResultCode::StorageCorrupt, "STORAGE_CORRUPT", notRun, 500 },
        CodeRow { ResultCode::StorageFull, "STORAGE_FULL", notRun, 507 },
        CodeRow { ResultCode::StorageFailed, "STORAGE_FAILED", notRun, 500 },
        CodeRow { ResultCode::ConnectFailed, "CONNECT_FAILED", notRun, 502 },
    };

    const CodeRow& rowOf(ResultCode code)
    {
        for (const auto& row : codeTable) {
            if (row.code == code)
                return row;
        }
        internalError("a result code without a row in the code table");
    }

} // namespace

std::vector<ResultCode> allResultCodes()
{
    std::vector<ResultCode> codes;
    codes.reserve(codeTable.size());
    for (const auto& row : codeTable)
        codes.push_back(row.code);
    return codes;
}

bool isResultCode(std::int64_t number)
{
    return std::any_of(codeTable.begin(), codeTable.end(), [number](const CodeRow& row) { return static_cast<int>(row.code) == number; });
}

std::string_view nameOf(ResultCode code) { return rowOf(code).name; }

std::string_view outcomeOf(ResultCode code) { return rowOf(code).outcome; }

int httpStatusOf(ResultCode code) { return rowOf(code).httpStatus; }

void internalError(std::string_view what)
{
    std::fprintf(stderr, "wrenhinge: internal error, please report it: %.*s\n", static_cast<int>(what.size()), what.data());
    std::abort();
}

} // namespace wrenhinge
