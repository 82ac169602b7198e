#include "base/SettingsNode.h"

namespace wrenhinge {

void SettingsErrors::add(const YAML::Mark& mark, const std::string& key, const std::string& hint)
{
    lines.push_back(file + ":" + std::to_string(mark.line + 1) + ": " + key + ": " + hint);
}

SettingsNode::SettingsNode(const YAML::Node& node, std::string path, SettingsErrors& errors)
    : m_node(node)
    , m_path(std::move(path))
    , m_errors(errors)
{
}

bool SettingsNode::has(const std::string& key) const { return m_node.IsMap() && m_node[key].IsDefined(); }

YAML::Mark SettingsNode::markOf(const std::string& key) const { return has(key) ? m_node[key].Mark() : m_node.Mark(); }

std::optional<std::string> SettingsNode::scalar(const std::string& key)
{
    m_known.insert(key);
    if (!has(key))
        return std::nullopt;
    if (!m_node[key].IsScalar()) {
        addError(key, "write a single value");
        return std::nullopt;
    }
    return m_node[key].Scalar();
}

std::vector<YAML::Node> SettingsNode::items(const std::string& key)
{
    m_known.insert(key);
    std::vector<YAML::Node> list;
    if (!has(key))
        return list;
    if (!m_node[key].IsSequence()) {
        addError(key, "write a list: [a, b]");
        return list;
    }
    for (const auto& node : m_node[key])
        list.push_back(node);
    return list;
}

SettingsNode SettingsNode::child(const std::string& key)
{
    m_known.insert(key);
    bool isMap = has(key) && m_node[key].IsMap();
    if (has(key) && !isMap)
        addError(key, "write a map of keys below it");
    return { isMap ? m_node[key] : YAML::Node(YAML::NodeType::Map), fullName(key), m_errors };
}

void SettingsNode::maps(const std::string& key, const std::function<void(SettingsNode&)>& readOne)
{
    for (const auto& node : items(key)) {
        if (!node.IsMap()) {
            m_errors.add(node.Mark(), fullName(key), "write a list of maps");
            continue;
        }
        SettingsNode one(node, fullName(key), m_errors);
        readOne(one);
        one.reportUnknownKeys();
    }
}

void SettingsNode::addMissing(const std::string& key) { addError(key, "is missing; add it"); }

void SettingsNode::addError(const std::string& key, const std::string& hint) { m_errors.add(markOf(key), fullName(key), hint); }

void SettingsNode::reportUnknownKeys() const
{
    if (!m_node.IsMap())
        return;
    for (const auto& item : m_node) {
        if (!item.first.IsScalar() || !m_known.contains(item.first.Scalar()))
            m_errors.add(item.first.Mark(), fullName(item.first.IsScalar() ? item.first.Scalar() : "?"),
                "unknown key; remove it or correct its spelling");
    }
}

} // namespace wrenhinge
