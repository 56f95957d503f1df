#include "sheet.h"

#include "sheet_csv.h"

#include <boost/tokenizer.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace briarvane
{

namespace
{

enum class Kind { Fleet, Pool, Service, Instance, Window, Move, Quota, End };

enum class Column {
    Kind,
    Name,
    Pool,
    Profile,
    TimeZone,
    MinInstances,
    MaxInstances,
    Spare,
    Slots,
    Connections,
    Route,
    Class,
    DeadlineS,
    DeclaredS,
    AvailabilityPct,
    Idempotent,
    Days,
    Start,
    End,
    Target,
    Count,
    Note,
};

}

template<>
struct EnumNames<Kind>
{
    static constexpr std::array<EnumName<Kind>, 8> names = {{{Kind::Fleet, "fleet"},
                                                             {Kind::Pool, "pool"},
                                                             {Kind::Service, "service"},
                                                             {Kind::Instance, "instance"},
                                                             {Kind::Window, "window"},
                                                             {Kind::Move, "move"},
                                                             {Kind::Quota, "quota"},
                                                             {Kind::End, "end"}}};
};

template<>
struct EnumNames<Column>
{
    static constexpr std::array<EnumName<Column>, 22> names = {{{Column::Kind, "kind"},
                                                                {Column::Name, "name"},
                                                                {Column::Pool, "pool"},
                                                                {Column::Profile, "profile"},
                                                                {Column::TimeZone, "time_zone"},
                                                                {Column::MinInstances, "min_instances"},
                                                                {Column::MaxInstances, "max_instances"},
                                                                {Column::Spare, "spare"},
                                                                {Column::Slots, "slots"},
                                                                {Column::Connections, "connections"},
                                                                {Column::Route, "route"},
                                                                {Column::Class, "class"},
                                                                {Column::DeadlineS, "deadline_s"},
                                                                {Column::DeclaredS, "declared_s"},
                                                                {Column::AvailabilityPct, "availability_pct"},
                                                                {Column::Idempotent, "idempotent"},
                                                                {Column::Days, "days"},
                                                                {Column::Start, "start"},
                                                                {Column::End, "end"},
                                                                {Column::Target, "target"},
                                                                {Column::Count, "count"},
                                                                {Column::Note, "note"}}};
};

namespace
{

constexpr std::size_t ColumnCount = EnumNames<Column>::names.size();
constexpr std::size_t MaxSheetBytes = 1'000'000;  // the store accepts values of up to 1 MB
constexpr std::size_t MaxQuotedValueBytes = 80;   // maximum length of a refused value in an error

std::size_t indexOf(Column column)
{
    return static_cast<std::size_t>(column);
}

/// Required and optional columns of a kind of row. Cells of all other columns must be empty, except `note`, which every
/// row may use.
struct KindRule
{
    Kind kind;
    std::vector<Column> required;
    std::vector<Column> optional;
};

const std::vector<KindRule> &kindRules()
{
    using enum Column;
    static const std::vector<KindRule> rules = {
        {Kind::Fleet, {Profile, TimeZone}, {}},
        {Kind::Pool, {Name, MinInstances}, {MaxInstances, Spare, Slots, Connections}},
        {Kind::Service, {Name, Pool, Route, Class, DeadlineS, DeclaredS, AvailabilityPct}, {Idempotent}},
        {Kind::Instance, {Name, Pool}, {}},
        {Kind::Window, {Pool, Days, Start, End}, {TimeZone}},
        {Kind::Move, {Pool, Target, Count}, {}},
        {Kind::Quota, {Name, Count}, {}},
        {Kind::End, {Count}, {}},
    };
    return rules;
}

/// Accepted range of a numeric column. `low` and `high` are in units of 10^-decimals.
struct NumberRule
{
    Column column;
    int decimals;
    std::int64_t low;
    std::int64_t high;
    std::string_view accepted;
};

constexpr std::array<NumberRule, 8> NumberRules
    = {{{Column::MinInstances, 0, 0, 10'000, "a whole number from 0 to 10000"},
        {Column::MaxInstances, 0, 0, 10'000, "a whole number from 0 (no bound) to 10000"},
        {Column::Slots, 0, 1, 1'024, "a whole number from 1 to 1024"},
        {Column::Connections, 0, 1, 65'536, "a whole number from 1 to 65536"},
        {Column::DeadlineS, 6, 1'000, 3'600'000'000, "seconds from 0.001 to 3600"},
        {Column::DeclaredS, 6, 100, 3'600'000'000, "seconds from 0.0001 to 3600"},
        {Column::AvailabilityPct, 3, 0, 100'000, "percent from 0 to 100, at most 3 decimals"},
        {Column::Count, 0, 0, 1'000'000, "a whole number from 0 to 1000000"}}};

struct Row
{
    int number = 0;
    Kind kind = Kind::Fleet;
    CsvRow fields;
    std::array<std::string, ColumnCount> cells;

    const std::string &cell(Column column) const
    {
        return cells[indexOf(column)];
    }
};

bool consistsOf(std::string_view text, std::string_view accepted)
{
    return text.find_first_not_of(accepted) == std::string_view::npos;
}

constexpr std::string_view Digits = "0123456789";
constexpr std::array<std::string_view, 7> DayNames = {"mon", "tue", "wed", "thu", "fri", "sat", "sun"};

constexpr std::string_view AcceptedName = "1 to 63 of a-z, 0-9 and hyphen, first a letter or digit";
constexpr std::string_view AcceptedTenant = "1 to 64 of A-Z, a-z, 0-9, dot, hyphen and underscore";
constexpr std::string_view AcceptedInstance = "a pool's name, a hyphen and a number, for example orders-3";
constexpr std::string_view AcceptedDays = "daily, or days and ranges separated by spaces, for example mon-fri sun";
constexpr std::string_view AcceptedStart = "HH:MM from 00:00 to 23:59";
constexpr std::string_view AcceptedEnd
    = "HH:MM after the start and at most 24 hours later; past midnight hours count on, for example 26:00";
constexpr std::string_view AcceptedRoute = "a path prefix that begins with / (at most 200 printable characters)";

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= 63 && text.front() != '-'
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

// Reading -------------------------------------------------------------------------------------------------------------

class SheetReader
{
public:
    SheetCheck read(std::string_view text);

private:
    void fail(int row, std::string_view column, std::string_view value, std::string_view accepted);
    void fail(const Row &row, Column column, std::string_view accepted);
    bool splitRows(std::string_view text);
    void readHeader(const Row &header);
    void readRow(Row &row);
    void readFleet(const Row &row);
    void readPool(const Row &row);
    void readService(const Row &row);
    void readInstance(const Row &row);
    void readWindow(const Row &row);
    void readMove(const Row &row);
    void readQuota(const Row &row);
    void checkEnd(int dataRows);
    void checkPools();
    void checkServices();
    void checkMoves();
    void checkBudgets();

    std::int64_t number(const Row &row, Column column, std::int64_t fallback);
    bool yesOrNo(const Row &row, Column column);
    std::string name(const Row &row);
    std::string timeZone(const Row &row);
    std::uint8_t days(const Row &row);
    int clockMinutes(const Row &row, Column column, std::string_view accepted);
    bool checkUnique(const Row &row, Column column, std::string_view what, const std::string &key);
    bool checkPoolExists(const Row &row, Column column);
    template<class E>
    E enumValue(const Row &row, Column column, E fallback);
    int instancesOf(const PoolId &pool) const;

    char m_separator = ',';
    std::vector<Row> m_rows;
    std::vector<std::optional<Column>> m_header;
    std::set<Column> m_columns;
    /// By "<what> <key>" of checkUnique(): number of the first row with this key.
    std::map<std::string, int> m_firstRows;
    // Rows of the elements of the lists in m_check.sheet, at the same positions.
    std::vector<const Row *> m_services;
    std::vector<const Row *> m_pools;
    std::vector<const Row *> m_moves;
    std::vector<const Row *> m_windows;
    const Row *m_fleet = nullptr;
    const Row *m_end = nullptr;
    SheetCheck m_check;
};

void SheetReader::fail(int row, std::string_view column, std::string_view value, std::string_view accepted)
{
    std::string quotedValue(value.substr(0, MaxQuotedValueBytes));
    if (!isText(quotedValue)) {
        quotedValue = "(not text)";
    }
    m_check.errors.push_back({row, std::string(column), std::move(quotedValue), std::string(accepted)});
}

void SheetReader::fail(const Row &row, Column column, std::string_view accepted)
{
    fail(row.number, toString(column), row.cell(column), accepted);
}

/// Fills m_rows. Returns false when the text is too large or has no header.
bool SheetReader::splitRows(std::string_view text)
{
    if (text.starts_with("\xEF\xBB\xBF")) {
        text.remove_prefix(3);
    }
    if (text.size() > MaxSheetBytes) {
        fail(1, "", std::to_string(text.size()) + " bytes", "at most 1000000 bytes");
        return false;
    }
    const std::string_view header = text.substr(0, text.find('\n'));
    m_separator = header.find(';') == std::string_view::npos ? ',' : ';';
    for (CsvRow &fields : splitCsv(text, m_separator)) {
        Row row;
        row.number = static_cast<int>(m_rows.size()) + 1;
        row.fields = std::move(fields);
        m_rows.push_back(std::move(row));
    }
    if (m_rows.empty()) {
        fail(1, "", "", "a header line; the file is empty");
        return false;
    }
    return true;
}

void SheetReader::readHeader(const Row &header)
{
    for (const CsvField &field : header.fields) {
        const auto column = parseEnum<Column>(field.text);
        m_header.push_back(column);
        if (!column) {
            fail(1, field.text, field.text, "columns: " + acceptedNames<Column>());
        } else if (!m_columns.insert(*column).second) {
            fail(1, field.text, field.text, "each column once");
        }
    }
    if (!m_columns.contains(Column::Kind)) {
        fail(1, "kind", "", "the column kind is required");
    }
}

void SheetReader::readRow(Row &row)
{
    if (row.fields.size() != m_header.size()) {
        fail(row.number, "", std::to_string(row.fields.size()) + " fields",
             "as many fields as the header has, " + std::to_string(m_header.size()));
    }
    for (std::size_t i = 0; i < row.fields.size() && i < m_header.size(); ++i) {
        CsvField &field = row.fields[i];
        const std::string_view column = m_header[i] ? toString(*m_header[i]) : std::string_view();
        if (!field.expectation.empty()) {
            fail(row.number, column, field.text, field.expectation);
        }
        if (!isText(field.text)) {
            fail(row.number, column, field.text, "UTF-8 without control characters");
        }
        if (m_header[i]) {
            row.cells[indexOf(*m_header[i])] = std::move(field.text);
        }
    }
    const auto kind = parseEnum<Kind>(row.cell(Column::Kind));
    if (!kind) {
        fail(row, Column::Kind, acceptedNames<Kind>());
        return;
    }
    row.kind = *kind;
    const auto rule = std::find_if(kindRules().begin(), kindRules().end(),
                                   [&](const KindRule &candidate) { return candidate.kind == *kind; });
    for (const auto &columnName : EnumNames<Column>::names) {
        const Column column = columnName.first;
        const auto isIn = [&](const std::vector<Column> &list) {
            return std::find(list.begin(), list.end(), column) != list.end();
        };
        const bool empty = row.cell(column).empty();
        if (isIn(rule->required) && empty) {
            fail(row, column, "a value, required for kind " + std::string(toString(*kind)));
        } else if (!empty && !isIn(rule->required) && !isIn(rule->optional) && column != Column::Kind
                   && column != Column::Note) {
            fail(row, column, "no value for kind " + std::string(toString(*kind)));
        }
    }
    switch (*kind) {
    case Kind::Fleet:
        return readFleet(row);
    case Kind::Pool:
        return readPool(row);
    case Kind::Service:
        return readService(row);
    case Kind::Instance:
        return readInstance(row);
    case Kind::Window:
        return readWindow(row);
    case Kind::Move:
        return readMove(row);
    case Kind::Quota:
        return readQuota(row);
    case Kind::End:
        m_end = &row;
        return;
    }
}

/// Returns the value in units of 10^-decimals, or the fallback for an empty or refused cell. Empty cells of required
/// columns are reported by readRow().
std::int64_t SheetReader::number(const Row &row, Column column, std::int64_t fallback)
{
    const std::string &cell = row.cell(column);
    if (cell.empty()) {
        return fallback;
    }
    const NumberRule &rule = *std::find_if(NumberRules.begin(), NumberRules.end(),
                                           [&](const NumberRule &candidate) { return candidate.column == column; });
    const char decimalMark = m_separator == ';' ? ',' : '.';
    const std::size_t point = rule.decimals > 0 ? cell.find(decimalMark) : std::string::npos;
    const std::string integerDigits = cell.substr(0, point);
    std::string fractionDigits = point == std::string::npos ? "" : cell.substr(point + 1);
    const bool wellFormed = !integerDigits.empty() && integerDigits.size() <= 9 && consistsOf(integerDigits, Digits)
        && consistsOf(fractionDigits, Digits) && fractionDigits.size() <= static_cast<std::size_t>(rule.decimals)
        && (point == std::string::npos || !fractionDigits.empty());
    fractionDigits.resize(static_cast<std::size_t>(rule.decimals), '0');
    const std::int64_t value = wellFormed ? std::stoll(integerDigits + fractionDigits) : 0;
    if (!wellFormed || value < rule.low || value > rule.high) {
        std::string accepted(rule.accepted);
        if (rule.decimals > 0) {
            accepted += decimalMark == ',' ? ", with a decimal comma in a semicolon file"
                                           : ", with a decimal point in a comma file";
        }
        fail(row, column, accepted);
        return fallback;
    }
    return value;
}

bool SheetReader::yesOrNo(const Row &row, Column column)
{
    const std::string &cell = row.cell(column);
    if (!cell.empty() && cell != "yes" && cell != "no") {
        fail(row, column, "yes, no");
    }
    return cell == "yes";
}

template<class E>
E SheetReader::enumValue(const Row &row, Column column, E fallback)
{
    const auto value = parseEnum<E>(row.cell(column));
    if (!value && !row.cell(column).empty()) {
        fail(row, column, acceptedNames<E>());
    }
    return value.value_or(fallback);
}

std::string SheetReader::name(const Row &row)
{
    const std::string &cell = row.cell(Column::Name);
    if (!cell.empty() && !isName(cell)) {
        fail(row, Column::Name, AcceptedName);
    }
    return cell;
}

std::string SheetReader::timeZone(const Row &row)
{
    const std::string &cell = row.cell(Column::TimeZone);
    if (!cell.empty() && !timeZoneOffset(cell, WallTime{})) {
        fail(row, Column::TimeZone, acceptedTimeZones());
    }
    return cell;
}

std::uint8_t SheetReader::days(const Row &row)
{
    const std::string &cell = row.cell(Column::Days);
    if (cell.empty() || cell == "daily") {
        return 127;
    }
    const auto dayIndex = [](std::string_view text) {
        return static_cast<int>(std::find(DayNames.begin(), DayNames.end(), text) - DayNames.begin());
    };
    int mask = 0;
    const boost::tokenizer<boost::char_separator<char>> words(cell, boost::char_separator<char>(" "));
    for (const std::string &word : words) {
        const std::size_t hyphen = word.find('-');
        const int first = dayIndex(std::string_view(word).substr(0, hyphen));
        const int last = hyphen == std::string::npos ? first : dayIndex(std::string_view(word).substr(hyphen + 1));
        if (first > 6 || last > 6) {
            fail(row, Column::Days, AcceptedDays);
            return 127;
        }
        for (int day = first;; day = (day + 1) % 7) {  // ranges wrap around the end of the week, for example sat-mon
            mask |= 1 << day;
            if (day == last) {
                break;
            }
        }
    }
    if (mask == 0) {
        fail(row, Column::Days, AcceptedDays);
    }
    return static_cast<std::uint8_t>(mask);
}

/// Returns minutes after midnight, or -1 when the cell is empty or refused.
int SheetReader::clockMinutes(const Row &row, Column column, std::string_view accepted)
{
    const std::string &cell = row.cell(column);
    if (cell.empty()) {
        return -1;
    }
    const bool wellFormed = cell.size() == 5 && cell[2] == ':' && consistsOf(cell.substr(0, 2), Digits)
        && consistsOf(cell.substr(3), Digits) && cell[3] < '6';
    if (!wellFormed) {
        fail(row, column, accepted);
        return -1;
    }
    return std::stoi(cell.substr(0, 2)) * 60 + std::stoi(cell.substr(3));
}

/// Reports a key that an earlier row already has. Returns true when the key is not empty and new.
bool SheetReader::checkUnique(const Row &row, Column column, std::string_view what, const std::string &key)
{
    if (key.empty()) {
        return false;
    }
    const auto [first, added] = m_firstRows.try_emplace(std::string(what) + " " + key, row.number);
    if (!added) {
        fail(row, column, "each " + std::string(what) + " once; row " + std::to_string(first->second) + " has it too");
    }
    return added;
}

bool SheetReader::checkPoolExists(const Row &row, Column column)
{
    const std::string &cell = row.cell(column);
    if (cell.empty()) {
        return false;
    }
    std::string pools;
    for (const PoolSpec &pool : m_check.sheet.pools) {
        if (pool.id.value == cell) {
            return true;
        }
        pools += (pools.empty() ? "" : ", ") + pool.id.value;
    }
    fail(row, column, "a pool of this sheet: " + (pools.empty() ? "there is none" : pools));
    return false;
}

int SheetReader::instancesOf(const PoolId &pool) const
{
    const auto &instances = m_check.sheet.instances;
    return static_cast<int>(std::count_if(instances.begin(), instances.end(),
                                          [&](const InstanceSpec &instance) { return instance.pool == pool; }));
}

// Rows ----------------------------------------------------------------------------------------------------------------

void SheetReader::readFleet(const Row &row)
{
    if (m_fleet != nullptr) {
        fail(row, Column::Kind, "one fleet row; row " + std::to_string(m_fleet->number) + " is one already");
    }
    m_fleet = &row;
    m_check.sheet.profile = enumValue(row, Column::Profile, Profile::SwanCoast);
    m_check.sheet.timeZone = timeZone(row);
}

void SheetReader::readPool(const Row &row)
{
    PoolSpec pool;
    pool.id.value = name(row);
    pool.minInstances = static_cast<int>(number(row, Column::MinInstances, 0));
    pool.maxInstances = static_cast<int>(number(row, Column::MaxInstances, 0));
    pool.spare = yesOrNo(row, Column::Spare);
    pool.slots = static_cast<int>(number(row, Column::Slots, pool.slots));
    pool.connections = static_cast<int>(number(row, Column::Connections, pool.connections));
    if (pool.maxInstances > 0 && pool.maxInstances < pool.minInstances) {
        fail(row, Column::MaxInstances, "0 or at least min_instances, " + std::to_string(pool.minInstances));
    }
    if (pool.connections < pool.slots) {
        fail(row, Column::Connections, "at least as many as slots, " + std::to_string(pool.slots));
    }
    if (checkUnique(row, Column::Name, "pool", pool.id.value)) {
        m_check.sheet.pools.push_back(std::move(pool));
        m_pools.push_back(&row);
    }
}

void SheetReader::readService(const Row &row)
{
    ServiceSpec service;
    service.id.value = name(row);
    service.pool.value = row.cell(Column::Pool);
    service.route = row.cell(Column::Route);
    service.requestClass = enumValue(row, Column::Class, RequestClass::Short);
    service.deadline = Duration(number(row, Column::DeadlineS, service.deadline.count()));
    service.declaredTime = Duration(number(row, Column::DeclaredS, service.declaredTime.count()));
    service.availability = static_cast<double>(number(row, Column::AvailabilityPct, 0)) / 100'000.0;
    service.idempotent = yesOrNo(row, Column::Idempotent);
    const bool printable = std::all_of(service.route.begin(), service.route.end(),
                                       [](char c) { return c > ' ' && c < 127 && c != '?' && c != '#'; });
    if (!service.route.empty() && (service.route.front() != '/' || !printable || service.route.size() > 200)) {
        fail(row, Column::Route, AcceptedRoute);
    }
    if (!row.cell(Column::DeclaredS).empty() && service.declaredTime > service.deadline) {
        fail(row, Column::DeclaredS, "at most deadline_s");
    }
    checkUnique(row, Column::Route, "route", service.route);
    if (checkUnique(row, Column::Name, "service", service.id.value)) {
        m_check.sheet.services.push_back(std::move(service));
        m_services.push_back(&row);
    }
}

void SheetReader::readInstance(const Row &row)
{
    const std::string id = name(row);
    const std::size_t hyphen = id.find_last_of('-');
    if (!id.empty()
        && (hyphen == std::string::npos || hyphen == 0 || hyphen + 1 == id.size()
            || !consistsOf(std::string_view(id).substr(hyphen + 1), Digits))) {
        fail(row, Column::Name, AcceptedInstance);
    }
    if (checkUnique(row, Column::Name, "instance", id)) {
        m_check.sheet.instances.push_back({InstanceId{id}, PoolId{row.cell(Column::Pool)}});
    }
}

void SheetReader::readWindow(const Row &row)
{
    WindowSpec window;
    window.pool.value = row.cell(Column::Pool);
    window.timeZone = timeZone(row);
    window.days = days(row);
    const int start = clockMinutes(row, Column::Start, AcceptedStart);
    const int end = clockMinutes(row, Column::End, AcceptedEnd);
    if (start >= 1440) {
        fail(row, Column::Start, AcceptedStart);
    } else if (start >= 0 && end >= 0 && (end <= start || end - start > 1440)) {
        fail(row, Column::End, AcceptedEnd);
    }
    window.startMinute = start;
    window.endMinute = end;
    checkUnique(row, Column::Start, "window of a pool, its days and start",
                window.pool.value + " " + std::to_string(window.days) + " " + row.cell(Column::Start));
    m_check.sheet.windows.push_back(std::move(window));
    m_windows.push_back(&row);
}

void SheetReader::readMove(const Row &row)
{
    const MoveSpec move{PoolId{row.cell(Column::Pool)}, PoolId{row.cell(Column::Target)},
                        static_cast<int>(number(row, Column::Count, 1))};
    if (move.count < 1) {
        fail(row, Column::Count, "at least 1 for kind move");
    }
    if (!move.to.empty() && move.from == move.to) {
        fail(row, Column::Target, "another pool than the column pool");
    }
    checkUnique(row, Column::Target, "move", move.from.value + " to " + move.to.value);
    m_check.sheet.moves.push_back(move);
    m_moves.push_back(&row);
}

void SheetReader::readQuota(const Row &row)
{
    const std::string &tenant = row.cell(Column::Name);
    if (tenant.size() > 64
        || tenant.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789.-_")
            != std::string::npos) {
        fail(row, Column::Name, AcceptedTenant);
    }
    const auto slots = static_cast<int>(number(row, Column::Count, 1));
    if (slots < 1) {
        fail(row, Column::Count, "at least 1 for kind quota");
    }
    if (checkUnique(row, Column::Name, "quota", tenant)) {
        m_check.sheet.quotas.push_back({TenantId{tenant}, slots});
    }
}

// Checks over rows ----------------------------------------------------------------------------------------------------

void SheetReader::checkEnd(int dataRows)
{
    if (m_end == nullptr) {
        const int last = m_rows.back().number;
        fail(last, "kind", m_rows.back().cell(Column::Kind), "an end row as the last one; the file is truncated");
        return;
    }
    if (!m_end->cell(Column::Count).empty() && number(*m_end, Column::Count, -1) != dataRows) {
        fail(*m_end, Column::Count,
             std::to_string(dataRows) + ", the rows between the header and this one; rows are missing or added");
    }
}

void SheetReader::checkPools()
{
    for (std::size_t i = 0; i < m_check.sheet.pools.size(); ++i) {
        const PoolSpec &pool = m_check.sheet.pools[i];
        const int size = instancesOf(pool.id);
        const std::string actualSize = "; the pool has " + std::to_string(size) + " instance rows";
        if (size < pool.minInstances) {
            fail(*m_pools[i], Column::MinInstances, "at most the pool's size" + actualSize);
        }
        if (pool.maxInstances > 0 && size > pool.maxInstances) {
            fail(*m_pools[i], Column::MaxInstances, "at least the pool's size" + actualSize);
        }
    }
}

void SheetReader::checkServices()
{
    for (std::size_t i = 0; i < m_check.sheet.services.size(); ++i) {
        if (checkPoolExists(*m_services[i], Column::Pool) && instancesOf(m_check.sheet.services[i].pool) == 0) {
            fail(*m_services[i], Column::Pool, "a pool with at least one instance");
        }
    }
}

void SheetReader::checkMoves()
{
    // Moves may be executed in any order, so arriving instances must not compensate for departing ones.
    std::map<std::string, int> departures;
    std::map<std::string, int> arrivals;
    for (std::size_t i = 0; i < m_moves.size(); ++i) {
        const bool from = checkPoolExists(*m_moves[i], Column::Pool);
        const bool to = checkPoolExists(*m_moves[i], Column::Target);
        if (!from || !to) {
            continue;
        }
        const MoveSpec &move = m_check.sheet.moves[i];
        departures[move.from.value] += move.count;
        arrivals[move.to.value] += move.count;
        for (const PoolSpec &pool : m_check.sheet.pools) {
            const int sizeAfterDepartures = instancesOf(pool.id) - departures[pool.id.value];
            const int sizeAfterArrivals = instancesOf(pool.id) + arrivals[pool.id.value];
            if (pool.id == move.from && sizeAfterDepartures < std::max(1, pool.minInstances)) {
                fail(*m_moves[i], Column::Count,
                     "a count that leaves pool " + pool.id.value + " min_instances and at least 1; "
                         + std::to_string(sizeAfterDepartures) + " would be left");
            }
            if (pool.id == move.to && pool.maxInstances > 0 && sizeAfterArrivals > pool.maxInstances) {
                fail(*m_moves[i], Column::Count,
                     "a count that keeps pool " + pool.id.value + " within max_instances; it would have "
                         + std::to_string(sizeAfterArrivals));
            }
        }
    }
}

/// Requires, for every pool that has a window or that a move takes instances from, availabilities that allow at least
/// one instance to be out of service. Otherwise maintenance would either never start or violate the availability of a
/// service.
void SheetReader::checkBudgets()
{
    std::map<std::string, std::string> disruptions;  // by pool: the move or window that takes instances down
    for (std::size_t i = 0; i < m_moves.size(); ++i) {
        disruptions[m_check.sheet.moves[i].from.value] = "move of row " + std::to_string(m_moves[i]->number);
    }
    for (std::size_t i = 0; i < m_windows.size(); ++i) {
        disruptions[m_check.sheet.windows[i].pool.value] = "window of row " + std::to_string(m_windows[i]->number);
    }
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        const ServiceSpec &service = m_check.sheet.services[i];
        const auto disruption = disruptions.find(service.pool.value);
        const int size = instancesOf(service.pool);
        if (disruption == disruptions.end() || size == 0 || maxInstancesDown(size, service.availability) > 0) {
            continue;
        }
        const int highest = 100'000 * (size - 1) / size;  // highest possible availability in thousandths of a percent
        std::string digits = std::to_string(highest % 1'000 + 1'000);
        digits.front() = m_separator == ';' ? ',' : '.';
        fail(*m_services[i], Column::AvailabilityPct,
             "at most " + std::to_string(highest / 1'000) + digits + " with " + std::to_string(size)
                 + " instances, since the " + disruption->second + " needs one of them down");
    }
}

SheetCheck SheetReader::read(std::string_view text)
{
    if (!splitRows(text)) {
        return std::move(m_check);
    }
    readHeader(m_rows.front());
    if (!m_columns.contains(Column::Kind)) {
        return std::move(m_check);
    }
    int dataRows = 0;
    for (std::size_t i = 1; i < m_rows.size(); ++i) {
        Row &row = m_rows[i];
        const bool blank = std::all_of(row.fields.begin(), row.fields.end(), [](const CsvField &field) {
            return field.text.empty() && field.expectation.empty();
        });
        if (blank) {
            continue;  // spreadsheet programs export trailing rows that hold separators only
        }
        if (m_end != nullptr) {
            fail(row.number, "kind", row.fields.front().text, "no row after the end row");
            continue;
        }
        readRow(row);
        dataRows += m_end == nullptr ? 1 : 0;
    }
    checkEnd(dataRows);
    if (m_fleet == nullptr) {
        fail(1, "kind", "", "one fleet row is required");
    }
    for (const Row &row : m_rows) {
        if (row.kind == Kind::Instance || row.kind == Kind::Window) {
            checkPoolExists(row, Column::Pool);
        }
    }
    for (WindowSpec &window : m_check.sheet.windows) {
        if (window.timeZone.empty()) {
            window.timeZone = m_check.sheet.timeZone;
        }
    }
    checkPools();
    checkServices();
    checkMoves();
    checkBudgets();
    std::stable_sort(m_check.errors.begin(), m_check.errors.end(),
                     [](const SheetError &a, const SheetError &b) { return a.row < b.row; });
    return std::move(m_check);
}

}

SheetCheck parseSheet(std::string_view text)
{
    return SheetReader().read(text);
}

std::string describe(const SheetError &error)
{
    std::string text = "row " + std::to_string(error.row);
    if (!error.column.empty()) {
        text += ", column " + error.column;
    }
    return text + ": \"" + error.value + "\" is not accepted; accepted: " + error.accepted;
}

int maxInstancesDown(int size, double availability)
{
    constexpr double tolerance = 1e-9;  // 10 x (1 - 0.9) is slightly below 1 in binary floating point
    return static_cast<int>(std::floor(size * (1.0 - availability) + tolerance));
}

}
