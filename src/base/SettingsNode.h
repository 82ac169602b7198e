/** \file
 * A map in a settings file that tracks which of its keys were read, so that the others can be reported as unknown.
 */
#pragma once

#include "base/ResultCode.h"

#include <functional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace wrenhinge {

/// Collects the errors in one settings file.
struct SettingsErrors {
    std::string file;
    std::vector<std::string> lines;
    void add(const YAML::Mark&, const std::string& key, const std::string& hint);
};

class SettingsNode {
public:
    SettingsNode(const YAML::Node&, std::string path, SettingsErrors&);

    /// Reads an optional value with a parser such as those in Units.h.
    template <typename T, typename Parser> void optional(const std::string& key, T& field, Parser parse)
    {
        if (auto text = scalar(key))
            store(key, *text, field, parse);
    }
    template <typename T, typename Parser> void required(const std::string& key, T& field, Parser parse)
    {
        if (has(key))
            optional(key, field, parse);
        else
            addMissing(key);
    }
    /// Reads a nested map; a missing one is treated as empty.
    SettingsNode child(const std::string& key);
    /// Reads a list of values.
    template <typename T, typename Parser> void list(const std::string& key, std::vector<T>& field, Parser parse)
    {
        for (const auto& node : items(key)) {
            T value {};
            if (node.IsScalar())
                store(key, node.Scalar(), value, parse, node.Mark());
            else
                m_errors.add(node.Mark(), fullName(key), "write a list of single values");
            field.push_back(value);
        }
    }
    /// Reads a list of maps.
    void maps(const std::string& key, const std::function<void(SettingsNode&)>& readOne);

    [[nodiscard]] bool has(const std::string& key) const;
    /// Reports a required key as missing.
    void addMissing(const std::string& key);
    /// Reports every key that was not read.
    void reportUnknownKeys() const;
    /// \param hint how to correct the key.
    void addError(const std::string& key, const std::string& hint);

private:
    std::optional<std::string> scalar(const std::string& key);
    std::vector<YAML::Node> items(const std::string& key);
    [[nodiscard]] std::string fullName(const std::string& key) const { return m_path.empty() ? key : m_path + "." + key; }
    [[nodiscard]] YAML::Mark markOf(const std::string& key) const;

    template <typename T, typename Parser> void store(const std::string& key, const std::string& text, T& field, Parser parse)
    {
        store(key, text, field, parse, markOf(key));
    }
    template <typename T, typename Parser>
    void store(const std::string& key, const std::string& text, T& field, Parser parse, const YAML::Mark& mark)
    {
        if (auto value = parse(text))
            field = static_cast<T>(value.value());
        else
            m_errors.add(mark, fullName(key), value.error().message);
    }

    YAML::Node m_node;
    std::string m_path;
    SettingsErrors& m_errors;
    std::set<std::string> m_known;
};

} // namespace wrenhinge
