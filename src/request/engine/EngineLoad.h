/** \file
 * Measures the load that a gateway puts on a service's engines, by stage. Controllers use it to balance the stages.
 *
 * Load is measured in replicas kept busy, and counted when a request is admitted instead of while it runs. Otherwise an unresponsive
 * replica would look busy, a stage with a queue would look busier than it is, and in a surge the prefill stage would look busy seconds
 * before the decode stage. The cost of a request is learned: for prefill from the fastest prefills, which did not queue; for decode as the
 * share of a replica's KV memory, or of its slots if that is larger, times the mean time for which answers occupy it. Running answers
 * count in that mean as half done: the first answers to end after a restart are the short ones, and with a mean over these alone, decode
 * replicas were ordered to the prefill stage on three days of eight.
 *
 * Example: 13 prompts a second of 5,200 tokens at 20 us a token keep 1.4 prefill replicas busy. If each then occupies a tenth of a
 * decode replica's memory for 3.4 s, they keep 4.4 decode replicas busy.
 */
#pragma once

#include "message/Messages.h"
#include "version/RoutingDocument.h"

namespace wrenhinge {

class EngineLoad {
public:
    /// Completed answers needed before their mean time is used.
    static constexpr double minAnswers = 2;
    /// The mean share of a decode replica's memory in use when it admits no more answers; the rest is reserved for their growth
    /// (EngineAdmission). Without this factor, replicas that refused callers had a measured load of 0.66.
    static constexpr double meanMemoryUtilization = 0.75;
    /// The assumed progress of a running answer: exact if all answers have the same length, and close for current workloads.
    static constexpr double assumedProgress = 0.5;
    /// Factor applied to the sums with each answer that ends, so that about the last fifty answers count.
    static constexpr double answerDecay = 0.98;
    /// The fastest prefill time is raised by this share with each prefill, so that engines that become slower are detected within minutes.
    static constexpr double prefillTimeDrift = 0.002;

    /// A request was admitted. \param tokens the KV memory that it occupies at a decode replica.
    void admit(const std::string& service, const EngineProperties&, std::uint32_t promptTokens, std::uint32_t tokens, Instant now);
    /// An admitted request has ended. \param isServed whether its answer was complete.
    void finish(const std::string& service, Instant admittedAt, bool isServed, Instant now);
    /// A prefill has ended. \param took its time, including queueing.
    void recordPrefill(const std::string& service, std::uint32_t promptTokens, Duration took);
    /// The mean loads since the last call, without services that had no work since then or too few measurements.
    EngineLoadReport take(Instant now);
    /// Whether there was work since the last call of `take`.
    [[nodiscard]] bool hasWork() const;

private:
    struct Service {
        EngineProperties properties;
        double secondsPerToken = 0; ///< Of the fastest prefill.
        double endedSeconds = 0; ///< Total time of ended requests, whatever their outcome.
        double answers = 0; ///< How many of these were served.
        std::int64_t running = 0;
        Duration admittedSum {}; ///< Sum of the admission times of running requests.
        // Since the last report.
        std::uint64_t requests = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t tokens = 0;
    };

    static double meanHold(const Service&, Instant now);

    std::map<std::string, Service> m_services;
    Instant m_takenAt;
};

} // namespace wrenhinge
