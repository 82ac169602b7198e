/** \file
 * How much work a gateway brings to a service's engines, by stage: what a controller needs to know to balance the stages.
 *
 * Work is counted in replicas that it keeps busy, and when a request is admitted, not while it is in progress: a dark replica would
 * otherwise look busy, a stage with a queue busier than it is, and in a surge the prefill stage seconds earlier than the decode
 * stage. What a request costs is learnt: prompts by the fastest reads, which did not queue; decode by the share of a replica's KV
 * memory, or of its slots if that is more, times the mean time for which answers hold it. Answers in progress count in that mean
 * as half done: after a restart the first to end are the short ones, and a mean of these alone had decode replicas ordered to the
 * prefill stage in three of eight days.
 *
 * Example: 13 prompts a second of 5,200 tokens at 20 us a token keep 1.4 prefill replicas busy; if each then holds a tenth of a
 * decode replica's memory for 3.4 s, they keep 4.4 of these busy.
 */
#pragma once

#include "message/Messages.h"
#include "version/RoutingDocument.h"

namespace wrenhinge {

class EngineLoad {
public:
    /// Answers that must have ended before their mean time is believed.
    static constexpr double answersBeforeReport = 2;
    /// The part of a decode replica's memory that its answers fill on average when it takes no more of them: the rest is kept for what
    /// they may still become (EngineAdmission). Without it replicas that refused callers looked busy for 0.66 of their time.
    static constexpr double usableMemory = 0.75;
    /// An answer in progress is taken to be half done, which is true of answers of one length, and near for those of today.
    static constexpr double partDone = 0.5;
    /// What is remembered of earlier answers with each one that ends: the last fifty or so count.
    static constexpr double rememberAnswers = 0.98;
    /// The fastest read is forgotten by this part with each read, so that engines which become slower are noticed in minutes.
    static constexpr double forgetFastest = 0.002;

    /// A request begins to run. \param tokens what it takes up of a decode replica's memory.
    void admit(const std::string& service, const EngineProperties&, std::uint32_t promptTokens, std::uint32_t tokens, Instant now);
    /// A request that was admitted has ended. \param isServed whether its answer was whole.
    void finish(const std::string& service, Instant admittedAt, bool isServed, Instant now);
    /// A prefill replica has read a prompt.
    void recordPrefill(const std::string& service, std::uint32_t promptTokens, Duration took);
    /// The means since the last call; a service of which too little is known, or without work since then, is left out.
    EngineLoadReport take(Instant now);
    /// Whether there was work since the last call of `take`.
    [[nodiscard]] bool hasWork() const;

private:
    struct Service {
        EngineProperties facts;
        double secondsPerToken = 0; ///< Of the fastest read.
        double endedSeconds = 0; ///< Of requests that have ended, however they did.
        double answers = 0; ///< Of these, the ones that were served.
        std::int64_t running = 0;
        Duration admittedSum {}; ///< Over those that run, of the instants at which they were admitted.
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
