#include "workspace_quota.h"

#include <boost/json.hpp>

#include <algorithm>

namespace briarvane
{

namespace
{

constexpr std::array<int Resources::*, 3> Fields = {&Resources::milliCores, &Resources::memoryMb, &Resources::gpus};

/// A part that is smaller than the quota by this factor and the number of partitions is kept by a partition without
/// demand, so that the first tasks of a burst need not wait for a division.
constexpr int IdlePartDivisor = 8;
/// Parts that could grow by less than this fraction of the quota stay, unless the growth ends a wait.
constexpr int GrowthDivisor = 64;
constexpr int HeadroomDivisor = 4;             // of the wanted resources; a partition with less left gets a larger part
constexpr std::size_t MaxKnownDivisions = 64;  // about 20 s at the shortest time between two divisions
constexpr int ReportChangeDivisor = 8;         // of the reported value; smaller changes are not reported
constexpr int ReportChangeMinimum = 50;        // in the unit of the field
/// A claim holds for this time before its partition gets a turn. In a busy quota parts change hands faster than that.
constexpr Duration ClaimDelay{500'000};
/// Longest turn, and the pause after one that was not used. During a turn the other partitions get less.
constexpr Duration TurnTime{3'000'000};
constexpr Duration UnusedTurnPause{5'000'000};

int add(int left, int right)
{
    return static_cast<int>(std::min<std::int64_t>(NoLimit, std::int64_t{left} + right));
}

Resources add(const Resources &left, const Resources &right)
{
    return {add(left.milliCores, right.milliCores), add(left.memoryMb, right.memoryMb), add(left.gpus, right.gpus)};
}

Resources larger(const Resources &left, const Resources &right)
{
    return {std::max(left.milliCores, right.milliCores), std::max(left.memoryMb, right.memoryMb),
            std::max(left.gpus, right.gpus)};
}

Resources smaller(const Resources &left, const Resources &right)
{
    return {std::min(left.milliCores, right.milliCores), std::min(left.memoryMb, right.memoryMb),
            std::min(left.gpus, right.gpus)};
}

/// One field of one workspace in one partition.
struct Row
{
    int part = 0;
    int bound = 0;  // limit of what the partition may still use
    int running = 0;
    int wanted = 0;     // at least `running`
    bool known = true;  // the stored parts have the row
    int reserved = 0;   // of the partition that has its turn: what it has running and its unit
    int desired = 0;
    int next = 0;
};

/// Sets `desired` so that the sum is at most the quota: what each partition wants and an equal share of what is left,
/// or, if the quota is too small for that, equal shares up to what each one wants.
void divide(std::vector<Row> &rows, int quota)
{
    const auto count = static_cast<std::int64_t>(rows.size());
    const int idlePart = quota / static_cast<int>(count * IdlePartDivisor);
    std::vector<Row *> open;
    std::int64_t left = quota;
    std::int64_t wanted = 0;
    for (Row &row : rows) {
        row.desired = 0;
        wanted += std::max(row.wanted, idlePart);
        open.push_back(&row);
    }
    if (wanted <= quota) {
        for (Row &row : rows) {
            row.desired = static_cast<int>(std::max(row.wanted, idlePart) + (quota - wanted) / count);
        }
        return;
    }
    std::sort(open.begin(), open.end(), [](const Row *a, const Row *b) { return a->wanted < b->wanted; });
    for (std::size_t i = 0; i < open.size(); ++i) {
        const std::int64_t share = left / static_cast<std::int64_t>(open.size() - i);
        open[i]->desired = static_cast<int>(std::min<std::int64_t>(share, std::max(open[i]->wanted, idlePart)));
        left -= open[i]->desired;
    }
}

/// As divide(), after the partition that has its turn got its reserved part and the others what they have running.
void divideWithReservation(std::vector<Row> &rows, int quota)
{
    const auto holder = std::find_if(rows.begin(), rows.end(), [](const Row &row) { return row.reserved > 0; });
    if (holder == rows.end()) {
        divide(rows, quota);
        return;
    }
    std::vector<Row> others(rows.begin(), holder);
    others.insert(others.end(), std::next(holder), rows.end());
    std::int64_t left = std::int64_t{quota} - holder->reserved;
    for (Row &row : others) {
        left -= row.running;
        row.wanted -= row.running;
    }
    if (!others.empty()) {
        divide(others, static_cast<int>(std::max<std::int64_t>(0, left)));
    }
    auto other = others.begin();
    for (Row &row : rows) {
        row.desired = row.reserved > 0 ? row.reserved : row.running + (other++)->desired;
    }
}

/// Sets `next` of all rows. Returns whether the parts should be stored.
bool nextParts(std::vector<Row> &rows, int quota)
{
    if (quota == 0) {
        bool changed = false;
        for (Row &row : rows) {
            row.next = NoLimit;
            changed = changed || !row.known || row.part != NoLimit;
        }
        return changed;
    }
    divideWithReservation(rows, quota);
    std::int64_t bounds = 0;
    std::int64_t parts = 0;
    bool changed = false;
    for (Row &row : rows) {
        bounds += row.bound;
        parts += row.part;
        changed = changed || !row.known || row.part == NoLimit;
        row.next = std::min(row.part, row.desired);
    }
    changed = changed || parts > quota;
    const int growth = std::max(1, quota / GrowthDivisor);
    std::int64_t left = std::max<std::int64_t>(0, quota - bounds);
    bool someoneWaits = false;
    bool hasReservation = false;
    std::int64_t taken = 0;
    std::vector<Row *> growing;
    for (Row &row : rows) {
        taken += row.part - row.next;
        if (row.desired > row.part) {
            growing.push_back(&row);
        }
    }
    // A partition that has its turn comes first, then those that lack the largest part of what they want.
    std::sort(growing.begin(), growing.end(), [](const Row *a, const Row *b) {
        return std::pair(-a->reserved, a->part - a->wanted) < std::pair(-b->reserved, b->part - b->wanted);
    });
    for (Row *row : growing) {
        const bool isReserved = row->reserved > row->part;
        hasReservation = hasReservation || isReserved;
        if (bounds > quota) {
            row->next = row->part;  // the quota was lowered, and some partitions may still use more than their parts
            continue;
        }
        // Up to the bound a part costs nothing, since the partition may use that much anyway.
        const auto above = static_cast<int>(std::clamp<std::int64_t>(row->desired - row->bound, 0, left));
        row->next = std::max(row->part, std::min(row->desired, add(row->bound, above)));
        left -= std::max(0, row->next - row->bound);
        const bool lacks = std::int64_t{row->wanted} + row->wanted / HeadroomDivisor > row->part;
        const bool endsWait
            = (row->part < row->wanted && row->next >= row->wanted) || (isReserved && row->next >= row->reserved);
        someoneWaits = someoneWaits || (lacks && (row->desired >= row->part + growth || row->wanted > row->part));
        changed = changed || (lacks && (endsWait || row->next >= row->part + growth));
    }
    return changed || (someoneWaits && taken >= growth) || (hasReservation && taken > 0);
}

boost::json::array toJson(const Resources &resources)
{
    return {resources.milliCores, resources.memoryMb, resources.gpus};
}

using ResourcesRow = std::array<int, 3>;
using PairRow = std::array<ResourcesRow, 2>;

Resources fromRow(const ResourcesRow &row)
{
    return {row[0], row[1], row[2]};
}

bool valid(const PairRow &row)
{
    return std::all_of(row.begin(), row.end(), [](const ResourcesRow &resources) {
        return std::all_of(resources.begin(), resources.end(), [](int value) { return value >= 0; });
    });
}

Error malformed(std::string_view what)
{
    return Error{ErrorCode::Invalid, std::string(what) + " cannot be read"};
}

}

// Parts and reports ---------------------------------------------------------------------------------------------------

Resources times(const Resources &each, int count)
{
    Resources sum;
    for (const auto field : Fields) {
        sum.*field = static_cast<int>(std::min<std::int64_t>(NoLimit, std::int64_t{each.*field} * count));
    }
    return sum;
}

Resources equalPart(const Resources &quota, int partitions)
{
    Resources part;
    for (const auto field : Fields) {
        part.*field = quota.*field == 0 ? NoLimit : partitions == 0 ? 0 : quota.*field / partitions;
    }
    return part;
}

std::string encodeQuotaParts(const QuotaParts &parts)
{
    boost::json::object workspaces;
    for (const auto &[workspace, partitions] : parts.workspaces) {
        boost::json::object rows;
        for (const auto &[partition, row] : partitions) {
            rows[partition] = boost::json::array{toJson(row.part), toJson(row.bound)};
        }
        workspaces[workspace] = std::move(rows);
    }
    return boost::json::serialize(workspaces);
}

Result<QuotaParts> parseQuotaParts(std::string_view text, std::uint64_t revision)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return malformed("the parts of quotas");
    }
    QuotaParts parts;
    parts.revision = revision;
    for (const auto &[workspace, partitions] : value.get_object()) {
        if (!partitions.is_object()) {
            return malformed("the parts of quotas");
        }
        for (const auto &[partition, element] : partitions.get_object()) {
            const auto row = boost::json::try_value_to<PairRow>(element);
            if (!row || !valid(*row)) {
                return malformed("the parts of quotas");
            }
            const Resources part = fromRow((*row)[0]);
            parts.workspaces[workspace][partition] = {part, larger(part, fromRow((*row)[1]))};
        }
    }
    return parts;
}

std::string encodeQuotaReport(const QuotaReport &report)
{
    boost::json::object workspaces;
    boost::json::object units;
    for (const auto &[workspace, use] : report.workspaces) {
        workspaces[workspace] = boost::json::array{toJson(use.running), toJson(use.wanted)};
        if (!(use.unit == Resources{})) {
            units[workspace] = toJson(use.unit);
        }
    }
    return boost::json::serialize(boost::json::object{
        {"revision", report.revision}, {"workspaces", std::move(workspaces)}, {"units", std::move(units)}});
}

Result<QuotaReport> parseQuotaReport(std::string_view text)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    const boost::json::object *object = error ? nullptr : value.if_object();
    const boost::json::value *revision = object == nullptr ? nullptr : object->if_contains("revision");
    const boost::json::value *workspaces = object == nullptr ? nullptr : object->if_contains("workspaces");
    if (revision == nullptr || workspaces == nullptr || !workspaces->is_object()) {
        return malformed("the report on quotas");
    }
    const auto number = boost::json::try_value_to<std::uint64_t>(*revision);
    if (!number) {
        return malformed("the report on quotas");
    }
    QuotaReport report;
    report.revision = *number;
    for (const auto &[workspace, element] : workspaces->get_object()) {
        const auto row = boost::json::try_value_to<PairRow>(element);
        if (!row || !valid(*row)) {
            return malformed("the report on quotas");
        }
        report.workspaces[workspace] = {fromRow((*row)[0]), fromRow((*row)[1]), {}};
    }
    // Reports of earlier builds have no units.
    if (const boost::json::value *units = object->if_contains("units"); units != nullptr) {
        if (!units->is_object()) {
            return malformed("the report on quotas");
        }
        for (const auto &[workspace, element] : units->get_object()) {
            const auto row = boost::json::try_value_to<ResourcesRow>(element);
            if (!row || std::any_of(row->begin(), row->end(), [](int value) { return value < 0; })) {
                return malformed("the report on quotas");
            }
            report.workspaces[workspace].unit = fromRow(*row);
        }
    }
    return report;
}

bool reportsDiffer(const QuotaReport &left, const QuotaReport &right)
{
    const auto differ = [](int a, int b) {
        const int difference = a > b ? a - b : b - a;
        return difference > std::max(ReportChangeMinimum, std::max(a, b) / ReportChangeDivisor)
            || (difference > 0 && std::min(a, b) == 0);
    };
    const auto useDiffers = [&differ](const QuotaUse &a, const QuotaUse &b) {
        return std::any_of(Fields.begin(), Fields.end(), [&](const auto field) {
            return differ(a.running.*field, b.running.*field) || differ(a.wanted.*field, b.wanted.*field)
                || a.unit.*field != b.unit.*field;
        });
    };
    const auto useOf = [](const QuotaReport &report, const std::string &workspace) {
        const auto found = report.workspaces.find(workspace);
        return found == report.workspaces.end() ? QuotaUse{} : found->second;
    };
    const auto anyDiffers = [&](const QuotaReport &from, const QuotaReport &to) {
        return std::any_of(from.workspaces.begin(), from.workspaces.end(),
                           [&](const auto &item) { return useDiffers(item.second, useOf(to, item.first)); });
    };
    return anyDiffers(left, right) || anyDiffers(right, left);
}

std::optional<std::string> quotaRefusal(const JobSpec &job, const Quotas &quotas)
{
    const auto quota = quotas.find(job.workspace);
    if (quota == quotas.end()) {
        return std::nullopt;
    }
    constexpr std::array<std::string_view, 3> names = {"milli-cores", "MB of memory", "GPUs"};
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        const StepSpec &spec = job.steps[step];
        for (std::size_t i = 0; i < Fields.size(); ++i) {
            const std::int64_t needed = std::int64_t{spec.each.*Fields[i]} * (spec.gang ? spec.count : 1);
            const int limit = quota->second.*Fields[i];
            if (limit != 0 && needed > limit) {
                return std::string(spec.gang ? "the tasks of step " : "a task of step ") + std::to_string(step)
                    + (spec.gang ? " must run together and need " : " needs ") + std::to_string(needed) + ' '
                    + std::string(names[i]) + ", and the quota of workspace " + job.workspace + " is "
                    + std::to_string(limit);
            }
        }
    }
    return std::nullopt;
}

// Division of the quotas ----------------------------------------------------------------------------------------------

void QuotaDivider::setQuotas(Quotas quotas, std::vector<std::string> partitions)
{
    m_quotas = std::move(quotas);
    m_partitions = std::move(partitions);
}

void QuotaDivider::setStored(QuotaParts stored)
{
    m_stored = std::move(stored);
    if (m_stored.revision != 0 && (m_history.empty() || m_history.back().revision != m_stored.revision)) {
        m_history.push_back(m_stored);
        if (m_history.size() > MaxKnownDivisions) {
            m_history.pop_front();
        }
    }
}

std::optional<Resources> QuotaDivider::largestPartSince(std::uint64_t revision, const std::string &workspace,
                                                        const std::string &partition) const
{
    if (m_history.empty() || revision < m_history.front().revision) {
        return std::nullopt;
    }
    Resources largest;
    for (auto parts = m_history.rbegin(); parts != m_history.rend() && parts->revision >= revision; ++parts) {
        const auto rows = parts->workspaces.find(workspace);
        if (rows == parts->workspaces.end()) {
            continue;
        }
        if (const auto row = rows->second.find(partition); row != rows->second.end()) {
            largest = larger(largest, row->second.part);
        }
    }
    return largest;
}

void QuotaDivider::setReport(const std::string &partition, const QuotaReport &report)
{
    QuotaReport &last = m_reports[partition];
    if (report.revision >= last.revision) {
        last = report;
    }
}

/// What a partition without a stored row may use: its equal part before the first division, else nothing.
QuotaPart QuotaDivider::storedPart(const std::string &workspace, const std::string &partition) const
{
    if (m_stored.revision == 0) {
        const Resources part = equalPart(m_quotas.at(workspace), static_cast<int>(m_partitions.size()));
        return {part, part};
    }
    const auto rows = m_stored.workspaces.find(workspace);
    if (rows == m_stored.workspaces.end()) {
        return {};
    }
    const auto row = rows->second.find(partition);
    return row == rows->second.end() ? QuotaPart{} : row->second;
}

/// Partition whose unit is served first. The parts may leave room in the quota and none of them enough for a unit: then
/// no partition could ever start one, and the division by demand would never change.
std::optional<std::string> QuotaDivider::turnHolder(const std::string &workspace, const Resources &quota,
                                                    const std::map<std::string, QuotaPart> &parts,
                                                    const std::map<std::string, QuotaUse> &use, TimePoint now)
{
    Resources running;
    for (const auto &[partition, row] : use) {
        running = add(running, row.running);
    }
    std::map<std::string, Claim> &claims = m_claims[workspace];
    std::set<std::string> claimants;
    for (const auto &[partition, row] : use) {
        const auto known = claims.find(partition);
        const bool hasTurn = known != claims.end() && known->second.turnBegan != TimePoint{};
        bool fitsPart = !hasTurn;  // its part stays reserved until it has started the unit
        bool fitsQuota = true;
        for (const auto field : Fields) {
            const int limit = quota.*field == 0 ? NoLimit : quota.*field;
            fitsPart = fitsPart && add(row.running.*field, row.unit.*field) <= parts.at(partition).part.*field;
            fitsQuota = fitsQuota && add(running.*field, row.unit.*field) <= limit;
        }
        if (!(row.unit == Resources{}) && !fitsPart && fitsQuota) {
            claimants.insert(partition);
        }
    }
    std::erase_if(claims, [&](const auto &item) { return !claimants.contains(item.first); });
    std::optional<std::string> holder;
    for (const std::string &partition : claimants) {
        Claim &claim = claims.try_emplace(partition, Claim{now, {}, {}}).first->second;
        if (claim.turnBegan != TimePoint{} && now - claim.turnBegan < TurnTime) {
            holder = partition;
        } else if (claim.turnBegan != TimePoint{}) {
            claim = {now, {}, now + UnusedTurnPause};
        }
    }
    if (!holder) {
        const auto isDue
            = [now](const Claim &claim) { return now - claim.since >= ClaimDelay && now >= claim.notBefore; };
        for (auto &[partition, claim] : claims) {
            if (isDue(claim) && (!holder || claim.since < claims.at(*holder).since)) {
                holder = partition;
            }
        }
        if (holder) {
            claims.at(*holder).turnBegan = now;
        }
    }
    if (claims.empty()) {
        m_claims.erase(workspace);
    }
    return holder;
}

std::optional<QuotaParts> QuotaDivider::next(TimePoint now)
{
    std::erase_if(m_claims, [this](const auto &item) { return !m_quotas.contains(item.first); });
    if (m_partitions.empty()) {
        return std::nullopt;
    }
    QuotaParts result;
    bool changed = m_stored.revision == 0 && !m_quotas.empty();
    for (const auto &[workspace, partitions] : m_stored.workspaces) {
        changed = changed || !m_quotas.contains(workspace);
    }
    for (const auto &[workspace, quota] : m_quotas) {
        // Partitions of services that the configuration has no more keep what they may use.
        std::set<std::string> names(m_partitions.begin(), m_partitions.end());
        const auto storedRows = m_stored.workspaces.find(workspace);
        if (storedRows != m_stored.workspaces.end()) {
            for (const auto &[partition, row] : storedRows->second) {
                names.insert(partition);
            }
        }
        std::map<std::string, QuotaPart> &parts = result.workspaces[workspace];
        std::map<std::string, QuotaPart> present;  // with the bound that the last report leaves
        std::map<std::string, QuotaUse> use;
        for (const std::string &name : names) {
            QuotaPart row = storedPart(workspace, name);
            const auto report = m_reports.find(name);
            if (report != m_reports.end()) {
                const auto found = report->second.workspaces.find(workspace);
                use[name] = found == report->second.workspaces.end() ? QuotaUse{} : found->second;
                // A partition that has applied the parts starts nothing above its part, so what it has running above
                // it only shrinks.
                const std::optional<Resources> part = largestPartSince(report->second.revision, workspace, name);
                row.bound = larger(part.value_or(row.bound), use[name].running);
            }
            present[name] = row;
            parts[name] = row;
        }
        for (const std::string &name : names) {
            use.try_emplace(name);
        }
        const std::optional<std::string> holder = turnHolder(workspace, quota, parts, use, now);
        for (const auto field : Fields) {
            std::vector<Row> rows;
            for (const std::string &name : names) {
                Row row;
                if (name == holder) {
                    row.reserved = add(use[name].running.*field, use[name].unit.*field);
                }
                row.part = present[name].part.*field;
                row.bound = present[name].bound.*field;
                row.running = use[name].running.*field;
                row.wanted = std::max({use[name].wanted.*field, row.running, row.reserved});
                row.known = m_stored.revision == 0
                    || (storedRows != m_stored.workspaces.end() && storedRows->second.contains(name));
                rows.push_back(row);
            }
            if (!nextParts(rows, quota.*field)) {
                continue;
            }
            changed = true;
            std::size_t index = 0;
            for (const std::string &name : names) {
                QuotaPart &row = parts[name];
                row.part.*field = rows[index].next;
                row.bound.*field = std::max(rows[index].bound, rows[index].next);
                ++index;
            }
        }
    }
    return changed ? std::optional(std::move(result)) : std::nullopt;
}

// Use of the quotas in one partition ----------------------------------------------------------------------------------

void QuotaLedger::setQuotas(Quotas quotas, int partitions)
{
    m_quotas = std::move(quotas);
    m_partitions = partitions;
}

bool QuotaLedger::setParts(std::uint64_t revision, std::map<std::string, QuotaPart> parts)
{
    if (m_partsKnown && revision <= m_revision) {
        return false;
    }
    m_partsKnown = true;
    m_revision = revision;
    m_parts = std::move(parts);
    return true;
}

void QuotaLedger::started(const std::string &workspace, const Resources &resources)
{
    if (!workspace.empty()) {
        m_running[workspace] += resources;
    }
}

void QuotaLedger::ended(const std::string &workspace, const Resources &resources)
{
    if (!workspace.empty()) {
        m_running[workspace] -= resources;
    }
}

void QuotaLedger::setUnreported(std::map<std::string, Resources> unreported, const Resources &unknown)
{
    m_unreported = std::move(unreported);
    m_unknown = unknown;
}

Resources QuotaLedger::running(const std::string &workspace) const
{
    Resources sum = m_unknown;
    if (const auto found = m_running.find(workspace); found != m_running.end()) {
        sum = add(sum, found->second);
    }
    if (const auto found = m_unreported.find(workspace); found != m_unreported.end()) {
        sum = add(sum, found->second);
    }
    return sum;
}

Resources QuotaLedger::part(const std::string &workspace) const
{
    const auto quota = m_quotas.find(workspace);
    if (quota == m_quotas.end()) {
        return {NoLimit, NoLimit, NoLimit};
    }
    if (!m_partsKnown) {
        return {};
    }
    if (m_revision == 0) {
        return equalPart(quota->second, m_partitions);
    }
    const auto found = m_parts.find(workspace);
    return found == m_parts.end() ? Resources{} : found->second.part;
}

bool QuotaLedger::fits(const std::string &workspace, const Resources &resources) const
{
    return !limits(workspace) || add(running(workspace), resources).fitsInto(part(workspace));
}

void QuotaLedger::beginPass()
{
    m_waiting.clear();
    m_units.clear();
}

void QuotaLedger::addWaitingUnit(const std::string &workspace, const Resources &unit)
{
    if (isSmallestUnit(workspace, unit)) {
        m_units[workspace] = unit;
    }
}

bool QuotaLedger::isSmallestUnit(const std::string &workspace, const Resources &unit) const
{
    const auto known = m_units.find(workspace);
    const auto quota = m_quotas.find(workspace);
    if (known == m_units.end() || quota == m_quotas.end()) {
        return quota != m_quotas.end();
    }
    const auto share = [&quota](const Resources &resources) {
        double largest = 0;
        for (const auto field : Fields) {
            const int limit = quota->second.*field;
            largest = std::max(largest, limit == 0 ? 0 : static_cast<double>(resources.*field) / limit);
        }
        return largest;
    };
    return share(unit) < share(known->second);
}

void QuotaLedger::addWaiting(const std::string &workspace, const Resources &resources)
{
    Resources &sum = m_waiting[workspace];
    sum = add(sum, resources);
}

QuotaReport QuotaLedger::report(const Resources &room) const
{
    QuotaReport report;
    report.revision = m_revision;
    // Workspaces without a quota are reported as well: the next configuration may set one.
    std::set<std::string> names;
    for (const auto *workspaces : {&m_running, &m_unreported, &m_waiting}) {
        for (const auto &[name, resources] : *workspaces) {
            names.insert(name);
        }
    }
    for (const std::string &name : names) {
        QuotaUse use;
        use.running = running(name);
        const auto waits = m_waiting.find(name);
        use.wanted = waits == m_waiting.end() ? use.running : add(use.running, smaller(waits->second, room));
        if (const auto unit = m_units.find(name); unit != m_units.end()) {
            use.unit = unit->second;
        }
        if (!(use == QuotaUse{})) {
            report.workspaces[name] = use;
        }
    }
    return report;
}

bool QuotaLedger::reportNeeded(std::uint64_t reportedRevision) const
{
    return !m_waiting.empty() || std::any_of(m_parts.begin(), m_parts.end(), [&](const auto &item) {
        const QuotaPart &row = item.second;
        Resources used = running(item.first);
        for (const auto field : Fields) {
            used.*field = add(used.*field, used.*field / HeadroomDivisor);
        }
        return (reportedRevision != m_revision && !(row.bound == row.part)) || !used.fitsInto(row.part);
    });
}

}
