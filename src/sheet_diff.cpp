#include "sheet.h"

#include <xxhash.h>

#include <map>

namespace briarvane
{

namespace
{

constexpr std::array<std::string_view, 7> DayNames = {"mon", "tue", "wed", "thu", "fri", "sat", "sun"};

std::string clockText(int minutes)
{
    const auto twoDigits = [](int value) { return std::string(value < 10 ? "0" : "") + std::to_string(value); };
    return twoDigits(minutes / 60) + ":" + twoDigits(minutes % 60);
}

std::string daysText(std::uint8_t days)
{
    if (days == 127) {
        return "daily";
    }
    std::string text;
    for (std::size_t day = 0; day < DayNames.size(); ++day) {
        if ((days >> day & 1) != 0) {
            text += text.empty() ? "" : " ";
            text += DayNames[day];
        }
    }
    return text;
}

/// Formats a number without trailing zeros.
std::string numberText(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

/// Maps (kind, name) of each row to a description of the row's other values, so that sheets can be compared row by row.
std::map<std::pair<std::string, std::string>, std::string> describeRows(const Sheet &sheet)
{
    std::map<std::pair<std::string, std::string>, std::string> rows;
    rows[{"fleet", ""}] = "profile " + std::string(toString(sheet.profile)) + ", time zone " + sheet.timeZone;
    for (const PoolSpec &pool : sheet.pools) {
        const std::string highest = pool.maxInstances == 0 ? "any" : std::to_string(pool.maxInstances);
        rows[{"pool", pool.id.value}] = "instances " + std::to_string(pool.minInstances) + " to " + highest
            + (pool.spare ? ", spare" : "") + ", slots " + std::to_string(pool.slots) + ", connections "
            + std::to_string(pool.connections);
    }
    for (const ServiceSpec &service : sheet.services) {
        const auto seconds = [](Duration time) { return numberText(static_cast<double>(time.count()) / 1e6) + " s"; };
        rows[{"service", service.id.value}] = "pool " + service.pool.value + ", route " + service.route + ", class "
            + std::string(toString(service.requestClass)) + ", deadline " + seconds(service.deadline) + ", declared "
            + seconds(service.declaredTime) + ", availability " + numberText(service.availability * 100) + " %"
            + (service.idempotent ? ", idempotent" : "");
    }
    for (const InstanceSpec &instance : sheet.instances) {
        rows[{"instance", instance.id.value}] = "pool " + instance.pool.value;
    }
    for (const WindowSpec &window : sheet.windows) {
        const std::string key
            = window.pool.value + " " + daysText(window.days) + " from " + clockText(window.startMinute);
        rows[{"window", key}] = "until " + clockText(window.endMinute) + " " + window.timeZone;
    }
    for (const MoveSpec &move : sheet.moves) {
        rows[{"move", move.from.value + " to " + move.to.value}] = std::to_string(move.count) + " instances";
    }
    for (const QuotaSpec &quota : sheet.quotas) {
        rows[{"quota", quota.tenant.value}] = std::to_string(quota.slots) + " slots";
    }
    return rows;
}

}

std::string textDigest(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::string digest;
    for (const std::uint64_t word : {hash.high64, hash.low64}) {
        for (int shift = 60; shift >= 0; shift -= 4) {
            digest += "0123456789abcdef"[word >> shift & 15];
        }
    }
    return digest;
}

std::vector<SheetChange> diffSheets(const Sheet &before, const Sheet &after)
{
    const auto oldRows = describeRows(before);
    const auto newRows = describeRows(after);
    std::vector<SheetChange> changes;
    for (const auto &[key, text] : oldRows) {
        const auto found = newRows.find(key);
        if (found == newRows.end()) {
            changes.push_back({key.first, key.second, text, ""});
        } else if (found->second != text) {
            changes.push_back({key.first, key.second, text, found->second});
        }
    }
    for (const auto &[key, text] : newRows) {
        if (!oldRows.contains(key)) {
            changes.push_back({key.first, key.second, "", text});
        }
    }
    return changes;
}

}
