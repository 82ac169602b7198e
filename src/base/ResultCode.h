/** \file
 * The numbered result codes of wrenhinge and the error type that carries them.
 *
 * Callers, operators and peers see the same number for the same cause; docs/ERRORS.md lists them. The message of a user
 * error says what the user should change. An internal error is a bug in wrenhinge and is raised by `internalError`.
 */
#pragma once

#include "base/Time.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenhinge {

/// The numbers are part of the public interface: never reuse or renumber one.
enum class ResultCode : int {
    Ok = 0,
    // 1xx: the caller should change the request.
    MalformedRequest = 100,
    UnknownService = 101,
    UnknownAccount = 102,
    BodyTooLarge = 103,
    KeyReused = 104,
    HeaderTooLarge = 105,
    RequestTimeout = 106,
    // 2xx: retry later; the request did not run.
    Overloaded = 200,
    AccountRateLimit = 201,
    AccountConcurrencyLimit = 202,
    NoUpstream = 203,
    LedgerUnavailable = 204,
    Draining = 205,
    DeadlineUnreachable = 206,
    Superseded = 207,
    NotResumable = 208,
    // 3xx: the request may have run.
    InProgress = 300,
    OutcomeUnknown = 301,
    AnswerNotKept = 302,
    UpstreamFailed = 303,
    Cancelled = 304,
    TimedOut = 305,
    CrashesReplicas = 306,
    // 4xx: settings and configuration.
    BadSettings = 400,
    BadConfiguration = 401,
    ConfigConflict = 402,
    ConfigUnavailable = 403,
    // 5xx: storage and transport.
    StorageCorrupt = 500,
    StorageFull = 501,
    StorageFailed = 502,
    ConnectFailed = 504,
};

/// All codes, ordered by number.
std::vector<ResultCode> allResultCodes();

/// Whether a code with this number exists. Another process can send a code that this release doesn't have.
bool isResultCode(std::int64_t number);

/// The stable upper-case name of a code, as used in logs and JSON.
std::string_view nameOf(ResultCode);

/// What a caller may conclude about its request from an error: `not_run`, `in_progress`, `unknown`, `cancelled`, …
std::string_view outcomeOf(ResultCode);

/// The HTTP status that callers receive with a code.
int httpStatusOf(ResultCode);

/// A user error: the code, one sentence that says what to do, and when to retry if that helps.
struct Error {
    ResultCode code = ResultCode::Ok;
    std::string message;
    std::optional<Duration> retryAfter {};
};

/// A value or an Error.
template <typename T> using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Aborts the process because an internal invariant was violated. For bugs in wrenhinge only, never for bad input.
[[noreturn]] void internalError(std::string_view what);

} // namespace wrenhinge
