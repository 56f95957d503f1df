#include "partitions.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace briarvane
{

namespace
{

constexpr char Separator = '!';

std::optional<int> parseNumber(std::string_view text)
{
    int number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

}

std::string Partition::name() const
{
    return index == 0 ? service : service + Separator + std::to_string(index + 1);
}

Partition parsePartitionName(std::string_view name)
{
    const std::size_t separator = name.rfind(Separator);
    if (separator != std::string_view::npos && separator > 0) {
        const int number = parseNumber(name.substr(separator + 1)).value_or(0);
        if (number > 1 && number <= MaxPartitions) {
            return {std::string(name.substr(0, separator)), number - 1};
        }
    }
    return {std::string(name)};
}

int partitionsForPool(int instances)
{
    constexpr int instancesPerPartition = 64;
    return std::clamp((instances + instancesPerPartition / 2) / instancesPerPartition, 1, MaxPartitions);
}

std::optional<int> parsePartitionCount(std::string_view text)
{
    const std::optional<int> count = parseNumber(text);
    return count && *count >= 1 && *count <= MaxPartitions ? count : std::nullopt;
}

int partitionIndex(std::string_view id, int count)
{
    return count <= 1 ? 0 : static_cast<int>(XXH3_64bits(id.data(), id.size()) % static_cast<std::uint64_t>(count));
}

Partition partitionOf(const std::string &service, int count, std::string_view id)
{
    return {service, partitionIndex(id, count), count};
}

}
