/** \file
 * Parses callers' HTTP requests and formats errors for them. Pure functions; CallerServer does the I/O.
 */
#pragma once

#include "request/sidecar/GatewayEvents.h"

#include <string>

namespace wrenhinge {

/// A caller's HTTP request as received.
struct CallerHttpRequest {
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
};

/// Reads `POST /v1/chat/completions`, `POST /v1/completions` or `ANY /services/<service>/<path>`.
///
/// Headers: `Idempotency-Key` identifies the request, `Wrenhinge-Priority: urgent` requests urgent service.
Result<CallerRequest> readCallerRequest(CallerHttpRequest, const std::string& account);

/// Whether a request with this target may be of this protocol.
bool isKnownPath(const std::string& target);
Error unknownPath();

/// The JSON body of an error.
std::string errorBody(const Error&, const RequestId&);
/// `Retry-After` in whole seconds, at least one.
std::string retryAfterSeconds(Duration);
/// An error as the last event of a stream that has begun.
std::string errorEvent(const Error&, const RequestId&);

/// The first value of a header, compared without case, or empty.
std::string_view headerOf(const HeaderList&, std::string_view name);

} // namespace wrenhinge
