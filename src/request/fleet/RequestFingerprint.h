/** \file
 * Identifies requests that are the same one, sent again.
 *
 * A caller that repeats a request gives it another id and may use another address, so requests are compared by the content that an upstream
 * would process, and by the client account if the request names one, since two callers may well look up the same thing. The fingerprint is
 * a hash of these, as it is kept for many requests and sent between processes; two different requests have the same one by chance once in
 * 2^64.
 */
#pragma once

#include "base/Ids.h"

#include <string_view>

namespace wrenhinge {

struct RequestParts {
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

RequestFingerprint fingerprintOf(const RequestParts&);
/// The fingerprint of the request for this client account. All keys of an account give the same one.
/// \param account empty if the request names none.
RequestFingerprint fingerprintForAccount(RequestFingerprint, std::string_view account);

} // namespace wrenhinge
