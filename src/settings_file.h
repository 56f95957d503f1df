#pragma once

// Detects changes of the platform's settings file. The process receives the values of the file as flags at its start,
// so a change takes effect only after a restart.

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
    /// With an empty path there is no file, and changed() always returns false.
    explicit SettingsFile(std::string path)
        : m_path(std::move(path))
        , m_digest(digest())
    {
    }

    /// True when the content differs from the content last read, or when no content could be read until now. A file
    /// that cannot be read is taken as unchanged: it may be in the middle of a replacement, and a later call reads the
    /// new content.
    bool changed()
    {
        const auto current = digest();
        if (!current || current == m_digest) {
            return false;
        }
        m_digest = current;
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
    std::optional<std::uint64_t> m_digest;  // digest of the content last read
};

}
