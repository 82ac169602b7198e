/** \file
 * The numbered result codes of wrenhinge and the error type that carries them.
 *
 * Callers, operators and peers see the same number for the same cause; docs/ERRORS.md has the table. A user
 * error names what the user should change. An internal error is our bug and goes through `internalError`.
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

/// The numbers are part of the interface: never reuse or renumber one.
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
    // 2xx: come back later; the request did not run.
    Overloaded = 200,
    AccountRateLimit = 201,
    AccountConcurrencyLimit = 202,
    NoUpstream = 203,
    LedgerUnavailable = 204,
    Draining = 205,
    DeadlineUnreachable = 206,
    Superseded = 207,
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

/// All codes, in order of their numbers.
std::vector<ResultCode> allResultCodes();

/// Whether a code has this number. What comes from another process may have one that is not known here.
bool isResultCode(std::int64_t number);

/// The stable upper-case name of a code, as logs and JSON give it.
std::string_view nameOf(ResultCode);

/// What a caller may conclude about its request from an error: `not_run`, `in_progress`, `unknown`, `cancelled`, …
std::string_view outcomeOf(ResultCode);

/// The HTTP status that goes with a code towards callers.
int httpStatusOf(ResultCode);

/// An error for the user: the code, one sentence that says what to do, and when to come back where that helps.
struct Error {
    ResultCode code = ResultCode::Ok;
    std::string message;
    std::optional<Duration> retryAfter {};
};

/// A value or an Error.
template <typename T> using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Stops the process over a broken internal assumption. For bugs of wrenhinge only, never for input.
[[noreturn]] void internalError(std::string_view what);

} // namespace wrenhinge
