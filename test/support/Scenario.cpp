#include "Scenario.h"

#include "base/Units.h"

#include <map>
#include <sstream>
#include <stdexcept>

namespace wrenhinge::test {

namespace {

    using Words = std::vector<std::string>;

    constexpr Duration settleTime = 20s;

    Words split(const std::string& text, char separator)
    {
        Words words;
        std::istringstream in(text);
        for (std::string word; std::getline(in, word, separator);) {
            if (!word.empty())
                words.push_back(word);
        }
        return words;
    }

    Duration duration(const std::string& text)
    {
        auto d = parseDuration(text);
        if (!d)
            throw std::runtime_error(d.error().message);
        return d.value();
    }

    std::set<std::string> nodes(const std::string& text)
    {
        auto list = split(text, ',');
        return { list.begin(), list.end() };
    }

    /// `key=value` words, and bare ones with an empty value.
    std::map<std::string, std::string> pairs(const Words& words, std::size_t from)
    {
        std::map<std::string, std::string> map;
        for (auto i = from; i < words.size(); ++i) {
            auto equals = words[i].find('=');
            map[words[i].substr(0, equals)] = equals == std::string::npos ? "" : words[i].substr(equals + 1);
        }
        return map;
    }

    class Runner {
    public:
        explicit Runner(const Safeguards& safeguards) { m_plan.safeguards = safeguards; }

        std::vector<std::string> run(const Scenario& scenario)
        {
            for (std::size_t i = 0; i < scenario.lines.size(); ++i) {
                try {
                    m_line = scenario.lines[i];
                    runLine(split(m_line, ' '));
                } catch (const std::exception& e) {
                    m_problems.push_back("'" + m_line + "': " + e.what());
                    return m_problems;
                }
            }
            if (!m_isFinished)
                finish();
            for (const auto& violation : world().violations())
                m_problems.push_back("invariant: " + violation);
            return m_problems;
        }

    private:
        World& world()
        {
            if (!m_world)
                m_world = std::make_unique<World>(m_plan);
            return *m_world;
        }

        void runLine(const Words& w)
        {
            static const std::map<std::string, void (Runner::*)(const Words&)> verbs { { "plan", &Runner::plan },
                { "start", &Runner::start }, { "kill", &Runner::kill }, { "freeze", &Runner::freeze }, { "thaw", &Runner::thaw },
                { "lose-disk", &Runner::loseDisk }, { "kill-at-write", &Runner::killAtWrite }, { "cut", &Runner::cut },
                { "heal", &Runner::heal }, { "delay", &Runner::delay }, { "duplicate", &Runner::duplicate }, { "drain", &Runner::drain },
                { "slow", &Runner::slow }, { "stall", &Runner::stall }, { "unstall", &Runner::unstall }, { "submit", &Runner::submit },
                { "leave", &Runner::leave }, { "configure", &Runner::configure }, { "advance", &Runner::advance },
                { "expect", &Runner::expect }, { "finish", &Runner::finishLine } };
            auto it = verbs.find(w.at(0));
            if (it == verbs.end())
                throw std::runtime_error("unknown verb");
            (this->*it->second)(w);
        }

        void plan(const Words& w)
        {
            for (const auto& [key, value] : pairs(w, 1)) {
                if (key == "gateways")
                    m_plan.gateways = std::stoi(value);
                else if (key == "controllers")
                    m_plan.controllers = std::stoi(value);
                else if (key == "prefills")
                    m_plan.prefills = std::stoi(value);
                else if (key == "decodes")
                    m_plan.decodes = std::stoi(value);
                else if (key == "plains")
                    m_plan.plains = std::stoi(value);
                else if (key == "slots")
                    m_plan.decodeSlots = m_plan.plainSlots = static_cast<std::uint32_t>(std::stoul(value));
                else if (key == "seed")
                    m_plan.seed = std::stoul(value);
                else
                    throw std::runtime_error("unknown plan " + key);
            }
        }

        void start(const Words& w)
        {
            if (w.at(1) == "all")
                world().startAll();
            else
                world().start(w[1]);
        }
        void kill(const Words& w) { world().kill(w.at(1) == "leader" ? world().leader() : w[1]); }
        void freeze(const Words& w) { world().freeze(w.at(1) == "leader" ? m_frozen = world().leader() : w[1]); }
        void thaw(const Words& w) { world().thaw(w.at(1) == "leader" ? m_frozen : w[1]); }
        void loseDisk(const Words& w) { world().loseDisk(w.at(1)); }
        void killAtWrite(const Words& w) { world().killAtNextWrite(w.at(1), w.at(2) == "after"); }
        void cut(const Words& w) { world().cut(nodes(w.at(1)), nodes(w.at(3))); }
        void heal(const Words&) { world().heal(); }
        void delay(const Words& w) { world().delay(w.at(1), w.at(3), duration(w.at(4))); }
        void duplicate(const Words& w) { world().duplicate(w.at(1), w.at(3)); }
        void slow(const Words& w) { world().engine(w.at(1)).setSlowness(std::stod(w.at(2))); }
        void stall(const Words& w) { world().engine(w.at(1)).setStalled(true); }
        void unstall(const Words& w) { world().engine(w.at(1)).setStalled(false); }
        void leave(const Words& w) { world().leave(w.at(1)); }
        void advance(const Words& w) { world().advance(duration(w.at(1))); }
        void finishLine(const Words&) { finish(); }

        void drain(const Words& w)
        {
            if (w.at(1).starts_with("g"))
                world().drainGateway(w[1]);
            else
                world().drainSidecar(w[1]);
        }

        void submit(const Words& w)
        {
            auto options = pairs(w, 5);
            Job job;
            CallerRequest caller;
            caller.account = "desk";
            caller.service = w.at(4);
            caller.method = "POST";
            caller.target = "/call";
            caller.isStreamed = true;
            caller.asksUrgent = options.contains("urgent");
            caller.idempotencyKey = options["key"];
            job.promptTokens = caller.promptTokens
                = options.contains("prompt") ? static_cast<std::uint32_t>(std::stoul(options["prompt"])) : 500;
            job.answerTokens = options.contains("answer") ? static_cast<std::uint32_t>(std::stoul(options["answer"])) : 50;
            caller.maxTokens = job.answerTokens * 2;
            job.plainTime = options.contains("takes") ? duration(options["takes"]) : 5ms;
            job.crashesEngine = options.contains("crashes-engine");
            // A resend has the same body: it names the job of the first sending.
            auto& index = m_jobs[jobName(w.at(1), options)];
            if (!index) {
                index = world().jobs.size();
                world().jobs.push_back(job);
            }
            caller.body = std::to_string(index);
            world().submit(w.at(1), w.at(3), caller);
        }

        /// What is submitted is the same again if its key or its `same-as` is.
        static std::string jobName(const std::string& label, std::map<std::string, std::string>& options)
        {
            if (options.contains("same-as"))
                return options["same-as"];
            return options["key"].empty() || options.contains("body") ? label : options["key"];
        }

        void configure(const Words& w)
        {
            ConfigCommand command;
            command.changeId = w.at(1);
            command.author = w[1];
            for (const auto& [key, value] : pairs(w, 4)) {
                if (key == "number")
                    command.number = std::stoull(value);
                else if (key == "id")
                    command.changeId = value;
                else
                    command.puts[key] = value;
            }
            if (w.at(3) == "leader")
                world().configureEventually(w[1], command);
            else
                world().configure(w[1], w[3], command);
        }

        void expect(const Words& w)
        {
            auto kind = w.at(1);
            if (kind == "answer")
                same(w.at(3), answerOf(w.at(2)));
            else if (kind == "pending")
                same("0", std::to_string(world().outcome(w.at(2)).answers));
            else if (kind == "same")
                same(world().outcome(w.at(2)).body, world().outcome(w.at(3)).body);
            else if (kind == "runs")
                same(w.at(3), std::to_string(world().runs(w.at(2))));
            else if (kind == "held")
                same(w.at(2), std::to_string(world().heldByEngines()));
            else if (kind == "crashes")
                same(w.at(2), std::to_string(world().engineCrashes()));
            else if (kind == "results")
                same(w.at(2), std::to_string(world().results.held(world().time.now())));
            else if (kind == "leader")
                expectLeader(w.at(2));
            else if (kind == "config")
                same(w.at(4), configAt(w.at(2), w.at(3)));
            else if (kind == "reply")
                same(w.at(3), replyOf(w.at(2)));
            else if (kind == "busy")
                same(w.at(3),
                    std::to_string(w.at(2).starts_with("g") ? world().gateway(w[2]).inProgress() : world().sidecar(w[2]).inProgress()));
            else
                throw std::runtime_error("unknown expectation");
        }

        void expectLeader(const std::string& wanted)
        {
            auto leader = world().leader();
            if (wanted == "some" ? leader.empty() : wanted == "none" ? !leader.empty() : leader != wanted)
                throw std::runtime_error("the leader is '" + leader + "'");
        }

        std::string answerOf(const std::string& label)
        {
            const auto& outcome = world().outcome(label);
            return outcome.answers ? std::string(nameOf(outcome.code)) : "pending";
        }

        std::string configAt(const std::string& node, const std::string& path)
        {
            const auto& entries = world().configurationAt(node).entries();
            auto it = entries.find(path);
            return it == entries.end() ? "absent" : it->second;
        }

        std::string replyOf(const std::string& label)
        {
            auto it = world().replies().find(label);
            return it == world().replies().end() ? "pending" : std::string(nameOf(it->second.code));
        }

        static void same(const std::string& wanted, const std::string& found)
        {
            if (wanted != found)
                throw std::runtime_error("found " + found);
        }

        void finish()
        {
            m_isFinished = true;
            world().heal();
            for (auto role : { Role::Controller, Role::Gateway, Role::Sidecar }) {
                for (const auto& name : world().nodesOf(role)) {
                    world().thaw(name);
                    world().start(name);
                }
            }
            world().advance(settleTime);
            world().checkEnd();
            if (world().heldByEngines())
                m_problems.push_back("engines still hold " + std::to_string(world().heldByEngines()) + " requests");
        }

        WorldPlan m_plan;
        std::unique_ptr<World> m_world;
        std::map<std::string, std::size_t> m_jobs;
        std::vector<std::string> m_problems;
        std::string m_line;
        std::string m_frozen;
        bool m_isFinished = false;
    };

    const std::map<std::string, bool Safeguards::*>& safeguardNames()
    {
#define WRENHINGE_SAFEGUARD(name)                                                                                                          \
    {                                                                                                                                      \
#name, &Safeguards::name                                                                                                           \
    }
        static const std::map<std::string, bool Safeguards::*> names { WRENHINGE_SAFEGUARD(refusesOtherIncarnation),
            WRENHINGE_SAFEGUARD(honoursSeals), WRENHINGE_SAFEGUARD(dropsDuplicates), WRENHINGE_SAFEGUARD(releasesForLostGateway),
            WRENHINGE_SAFEGUARD(expiresGrants), WRENHINGE_SAFEGUARD(checksAttempts), WRENHINGE_SAFEGUARD(recordsIntent),
            WRENHINGE_SAFEGUARD(neverRepeats), WRENHINGE_SAFEGUARD(expiresLeases), WRENHINGE_SAFEGUARD(refusesCrashingRequests),
            WRENHINGE_SAFEGUARD(cancelsForGoneCaller), WRENHINGE_SAFEGUARD(refusesWithoutLedger), WRENHINGE_SAFEGUARD(countsOnlyKnownDisks),
            WRENHINGE_SAFEGUARD(stepsDownWithoutQuorum), WRENHINGE_SAFEGUARD(recognisesResends), WRENHINGE_SAFEGUARD(refusesEqualNumbers),
            WRENHINGE_SAFEGUARD(neverStepsBack), WRENHINGE_SAFEGUARD(keepsVotes) };
#undef WRENHINGE_SAFEGUARD
        return names;
    }

} // namespace

Scenario parseScenario(const std::string& name, const std::string& text)
{
    constexpr std::string_view safeguardMark = "# safeguard: ";
    Scenario scenario { name, "", {}, {}, text };
    for (const auto& line : split(text, '\n')) {
        if (line.starts_with(safeguardMark))
            scenario.safeguard = line.substr(safeguardMark.size());
        (line.starts_with("#") ? scenario.comments : scenario.lines).push_back(line);
    }
    return scenario;
}

std::vector<std::string> runScenario(const Scenario& scenario, const Safeguards& safeguards) { return Runner(safeguards).run(scenario); }

Safeguards without(const std::string& safeguard)
{
    auto it = safeguardNames().find(safeguard);
    if (it == safeguardNames().end())
        throw std::runtime_error("no safeguard " + safeguard);
    Safeguards safeguards;
    safeguards.*it->second = false;
    return safeguards;
}

} // namespace wrenhinge::test
