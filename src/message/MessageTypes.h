/** \file
 * Types that messages of all kinds have in common.
 */
#pragma once

#include "base/Ids.h"
#include "base/ResultCode.h"
#include "base/Time.h"
#include "message/MsgpackAdaptors.h"

#include <string>
#include <utility>
#include <vector>

namespace wrenhinge {

enum class Role : std::uint8_t { Gateway, Sidecar, Controller };
/// The stage that an upstream serves: prefill or decode of a model, or a plain service.
enum class UpstreamKind : std::uint8_t { Prefill, Decode, Plain };
/// Urgent requests are served before Normal ones in every queue.
enum class Priority : std::uint8_t { Urgent, Normal };

template <> struct WireEnum<Role> : WireEnumUpTo<Role::Controller> {
};
template <> struct WireEnum<UpstreamKind> : WireEnumUpTo<UpstreamKind::Plain> {
};
template <> struct WireEnum<Priority> : WireEnumUpTo<Priority::Normal> {
};
template <> struct WireEnum<ResultCode> {
    static bool isKnown(std::int64_t n) { return isResultCode(n); }
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

} // namespace wrenhinge
