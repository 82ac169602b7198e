/** \file
 * Which requests are the same one, sent again.
 *
 * A caller that sends a request once more gives it another id and may come from another address, so sameness goes by what an upstream would
 * work on, and by whose it is as far as the request says so: two callers may well look up the same thing. A hash stands for these,
 * since it is kept for many requests and sent between processes; two requests that differ share one by chance once in 2^64.
 */
#pragma once

#include "base/Ids.h"

#include <string_view>

namespace wrenhinge {

struct RequestParts {
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< With the query.
    std::string_view body;
};

RequestFingerprint fingerprintOf(const RequestParts&);
/// The same request of this client account. A caller that shows one key and then another of its account is the same caller.
/// \param account empty if the request names none.
RequestFingerprint fingerprintForAccount(RequestFingerprint, std::string_view account);

} // namespace wrenhinge
