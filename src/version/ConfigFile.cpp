#include "version/ConfigFile.h"

#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace wrenhinge {

namespace {

    Error at(const std::string& file, const YAML::Mark& mark, const std::string& message)
    {
        return { ResultCode::BadConfiguration, file + ":" + std::to_string(mark.line + 1) + ": " + message };
    }

    /// Flattens nested maps to `prefix/key/…` entries; each entry is validated at its node, so that the error names its line.
    Result<void> flatten(const YAML::Node& node, const std::string& path, const std::string& file, Configuration::Entries& entries)
    {
        if (node.IsScalar()) {
            if (auto valid = Configuration::validate({ { path, node.Scalar() } }); !valid)
                return at(file, node.Mark(), valid.error().message);
            entries[path] = node.Scalar();
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
        if (!node.IsMap())
            return at(file, node.Mark(), path + ": write a map or a single value");
        for (const auto& item : node) {
            if (auto done = flatten(item.second, path + "/" + item.first.as<std::string>(), file, entries); !done)
                return done;
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> addSites(const YAML::Node& sites, const std::string& file, Configuration::Entries& entries)
    {
        for (const auto& site : sites) {
            auto zones = site.second.IsMap() ? site.second["zones"] : YAML::Node();
            if (!zones.IsDefined() || !zones.IsSequence())
                return at(file, site.second.Mark(), site.first.as<std::string>() + ": write zones: [NAME, …]");
            for (const auto& zone : zones)
                entries["site/" + site.first.as<std::string>() + "/zone/" + zone.as<std::string>()] = "present";
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> addSection(const std::string& name, const YAML::Node& section, const std::string& file, Configuration::Entries& entries)
    {
        if (name == "sites")
            return addSites(section, file, entries);
        if (name == "services")
            return flatten(section, "service", file, entries);
        if (name == "accounts")
            return flatten(section, "account", file, entries);
        if (name == "replicas")
            return flatten(section, "replica", file, entries);
        return at(file, section.Mark(), "unknown section '" + name + "': use sites, services, accounts and replicas");
    }

} // namespace

Result<Configuration::Entries> parseConfigFile(const std::string& text, const std::string& file)
{
    Configuration::Entries entries;
    try {
        auto root = YAML::Load(text);
        if (!root.IsMap())
            return at(file, root.Mark(), "write the sections sites, services, accounts and replicas");
        for (const auto& section : root) {
            if (auto added = addSection(section.first.as<std::string>(), section.second, file, entries); !added)
                return added.error();
        }
    } catch (const YAML::Exception& e) {
        return at(file, e.mark, "not YAML as expected: " + e.msg);
    }
    return entries;
}

Result<Configuration::Entries> readConfigFile(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return Error { ResultCode::BadConfiguration, file + ": can't be read; check the path and its permissions" };
    std::ostringstream text;
    text << in.rdbuf();
    return parseConfigFile(text.str(), file);
}

ConfigDifference differenceOf(const Configuration::Entries& from, const Configuration::Entries& to)
{
    ConfigDifference difference;
    for (const auto& [path, value] : to) {
        auto it = from.find(path);
        if (it == from.end() || it->second != value)
            difference.puts[path] = value;
    }
    for (const auto& [path, value] : from) {
        if (!to.contains(path))
            difference.removes.push_back(path);
    }
    return difference;
}

} // namespace wrenhinge
