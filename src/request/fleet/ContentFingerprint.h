/** \file
 * Identifies requests that are the same one, sent again, and parts of prompts that several requests have.
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

ContentFingerprint fingerprintOf(const RequestParts&);
/// The fingerprint of the request for this client account. All keys of an account give the same one.
/// \param account empty if the request names none.
ContentFingerprint fingerprintForAccount(ContentFingerprint, std::string_view account);

/// \param id of the part, which callers choose: the same text in all prompts that have the part.
ContentFingerprint fingerprintOfPart(std::string_view id);

} // namespace wrenhinge
