#pragma once

// Notices changes of the platform's settings file. Its values come in through flags, when the process starts.

#include <xxhash.h>

#include <cstdint>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace briarvane
{

class SettingsFile
{
public:
    /// An empty path: there is no file, and nothing ever changes.
    explicit SettingsFile(std::string path)
        : m_path(std::move(path))
        , m_digest(digest())
    {
    }

    /// Whether the content differs from that of the last call. A file that cannot be read has not changed: it is being
    /// replaced, and the next call sees the new one.
    bool changed()
    {
        const auto present = digest();
        if (!present || present == m_digest) {
            return false;
        }
        m_digest = present;
        return true;
    }

private:
    std::optional<std::uint64_t> digest() const
    {
        std::ifstream file(m_path, std::ios::binary);
        if (m_path.empty() || !file) {
            return std::nullopt;
        }
        const std::string content{std::istreambuf_iterator<char>(file), {}};
        return XXH3_64bits(content.data(), content.size());
    }

    std::string m_path;
    std::optional<std::uint64_t> m_digest;
};

}
