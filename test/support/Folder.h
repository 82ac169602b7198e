/** \file
 * A folder of a test's own, removed at its end.
 */
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace wrenhinge::test {

class Folder {
public:
    Folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "wrenhinge-test-XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }
    ~Folder() { std::filesystem::remove_all(m_path); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    [[nodiscard]] std::string path() const { return m_path; }
    [[nodiscard]] std::string file(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

} // namespace wrenhinge::test
