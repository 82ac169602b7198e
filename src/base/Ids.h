/** \file
 * Strong types for ids, so that, for example, a slot count can't be passed as an attempt.
 *
 * Each id is a distinct integer type. Ids can be compared, hashed and serialized, but don't convert implicitly.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>

namespace wrenhinge {

/// An integer type that is distinct for each tag. \tparam Tag an empty struct that names the kind of id.
template <typename Tag> class StrongId {
public:
    constexpr StrongId() = default;
    constexpr explicit StrongId(std::uint64_t value)
        : m_value(value)
    {
    }
    [[nodiscard]] constexpr std::uint64_t value() const { return m_value; }
    [[nodiscard]] constexpr StrongId next() const { return StrongId(m_value + 1); }
    constexpr auto operator<=>(const StrongId&) const = default;
    MSGPACK_DEFINE(m_value)

private:
    std::uint64_t m_value = 0;
};

/// One run of a process. A new random id is generated at each start, so a restarted process is a different peer.
using PeerId = StrongId<struct PeerTag>;
/// The number of an attempt to serve a request, counted by its gateway, so that late replies to earlier attempts can be dropped.
using Attempt = StrongId<struct AttemptTag>;
/// A call from a sidecar to its upstream, unique within the sidecar.
using CallId = StrongId<struct CallTag>;
/// A version of the configuration: the log index that committed it.
using ConfigVersion = StrongId<struct ConfigVersionTag>;
/// A fencing token: orders with a lower token than the highest one seen are refused.
using FencingToken = StrongId<struct FencingTag>;
/// The random id of a data directory, generated when it is created; a controller that lost its disk has another one.
using DiskId = StrongId<struct DiskTag>;

/// A hash of a request that is the same whenever a caller sends it again, whatever its request id, or of a part of a prompt, which is the
/// same in all requests that have the part (ContentFingerprint.h).
using ContentFingerprint = StrongId<struct ContentFingerprintTag>;

/// A client account in messages: a hash of its name.
using AccountId = StrongId<struct AccountTag>;

/// The request rate limit of one run of a replica in messages: a hash of the run.
using LimitId = StrongId<struct LimitTag>;

/// A stream that its caller may resume: a hash of the client account and of the id that the caller gave the request which began it.
using StreamId = StrongId<struct StreamTag>;

/// When a replica started: Unix milliseconds by its own machine's clock; zero if not stated.
using ReplicaStart = StrongId<struct ReplicaStartTag>;

/// One run of a replica. A replica can restart under the same id: it has then lost all its state, and its counters start again.
/// State about a replica is therefore kept by run. Of two runs with the same id, the one with the later start is newer; a run
/// without a start time is older than any run that has one.
struct ReplicaRun {
    std::string id;
    ReplicaStart start;
    auto operator<=>(const ReplicaRun&) const = default;
    /// Whether this run had ended when `other`, of the same id, started.
    [[nodiscard]] bool isBefore(const ReplicaRun& other) const { return id == other.id && start < other.start; }
};

/// A request id, unique over all gateways and their restarts: the gateway's incarnation and its request counter.
struct RequestId {
    PeerId origin;
    std::uint64_t sequence = 0;
    auto operator<=>(const RequestId&) const = default;
    MSGPACK_DEFINE(origin, sequence)
};

/// Formats as `<origin in hex>-<sequence>`, as in logs, headers and `wrenhinge request explain`.
std::string toString(const RequestId&);
std::string toString(PeerId);
/// 16 hexadecimal digits.
std::string toString(ContentFingerprint);
std::string toString(AccountId);
std::string toString(LimitId);
std::string toString(StreamId);
/// `<id>@<start>`, or the id alone if the run states no start.
std::string toString(const ReplicaRun&);

} // namespace wrenhinge

template <typename Tag> struct std::hash<wrenhinge::StrongId<Tag>> {
    std::size_t operator()(wrenhinge::StrongId<Tag> id) const noexcept { return std::hash<std::uint64_t>()(id.value()); }
};

template <> struct std::hash<wrenhinge::RequestId> {
    std::size_t operator()(const wrenhinge::RequestId& id) const noexcept
    {
        return id.origin.value() * 0x9e3779b97f4a7c15ULL ^ id.sequence;
    }
};
