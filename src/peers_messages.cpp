#include "peers_messages.h"

#include <xxhash.h>

#include <algorithm>

namespace briarvane
{

void fillHeartbeat(wire::Heartbeat &heartbeat, const Membership &membership, TimePoint now)
{
    const EntryStatus &own = *membership.entry(membership.self());
    for (const auto &[key, version] : own.inForce) {
        wire::VersionInForce &item = *heartbeat.add_in_force();
        item.set_key(key);
        item.set_version(version);
    }
    // Higher ages make no difference to receivers.
    const Duration age = std::min(membership.coordinationContactAge(now), 2 * ViewTimeout);
    heartbeat.set_store_contact_age_us(static_cast<std::uint64_t>(age.count()));
    heartbeat.set_store_down(membership.coordinationDown(now));
    heartbeat.set_stopping(own.stopping);
    for (const auto &[instance, count] : own.draining) {
        wire::InFlight &item = *heartbeat.add_draining();
        item.set_instance(instance.value);
        item.set_count(static_cast<std::uint32_t>(std::max(count, 0)));
    }
    heartbeat.set_counted_fleet(own.countedFleetVersion);
    // live() contains the entries from which this entry has received a recent heartbeat. Another entry considers this
    // entry reachable only if this entry has echoed a recent heartbeat from there, so the list contains every entry
    // that can consider this entry reachable.
    for (const EntryId &id : membership.live(now)) {
        if (id != membership.self()) {
            heartbeat.add_heard(id.value);
        }
    }
}

EntryStatus parseHeartbeat(const wire::Envelope &message, const Membership &receiver)
{
    const wire::Heartbeat &heartbeat = message.heartbeat();
    EntryStatus status;
    status.id = EntryId{message.sender()};
    status.startId = message.start_id();
    status.address = heartbeat.address();
    status.dataCentre = heartbeat.data_centre();
    status.round = heartbeat.round();
    for (const wire::HeartbeatEcho &echo : heartbeat.echo()) {
        if (echo.entry() == receiver.self().value && echo.start_id() == receiver.startId()) {
            status.echo = echo.round();
        }
    }
    status.stopping = heartbeat.stopping();
    status.coordinationDown = heartbeat.store_down();
    for (const wire::VersionInForce &item : heartbeat.in_force()) {
        status.inForce[item.key()] = item.version();
    }
    for (const wire::InFlight &item : heartbeat.draining()) {
        status.draining[InstanceId{item.instance()}] = static_cast<int>(item.count());
    }
    status.countedFleetVersion = heartbeat.counted_fleet();
    for (const std::string &id : heartbeat.heard()) {
        status.receivedFrom.insert(EntryId{id});
    }
    return status;
}

wire::Envelope makeConfigUpdate(const StoreValue &value)
{
    wire::Envelope message;
    wire::ConfigUpdate &update = *message.mutable_config_update();
    update.set_key(value.key);
    update.set_version(value.version);
    update.set_value(value.value);
    return message;
}

void fillInstanceList(wire::InstanceList &list, const std::vector<InstanceRecord> &records,
                      const std::vector<InstanceRecord> &base)
{
    const auto hasSmallerId
        = [](const InstanceRecord &left, const InstanceRecord &right) { return left.id < right.id; };
    const bool isFullList
        = base.empty() || !std::includes(records.begin(), records.end(), base.begin(), base.end(), hasSmallerId);
    list.set_digest(instanceListDigest(records));
    list.set_base_digest(isFullList ? 0 : instanceListDigest(base));
    auto baseRecord = base.begin();
    for (const InstanceRecord &record : records) {
        if (!isFullList) {
            while (baseRecord != base.end() && hasSmallerId(*baseRecord, record)) {
                ++baseRecord;
            }
            if (baseRecord != base.end() && *baseRecord == record) {
                continue;
            }
        }
        wire::InstanceEntry &item = *list.add_instances();
        item.set_id(record.id.value);
        item.set_address(record.address);
        item.set_port(record.port);
        item.set_data_centre(record.dataCentre);
        item.set_rack(record.rack);
        item.set_presence(std::string(toString(record.presence)));
    }
}

Result<std::vector<InstanceRecord>> applyInstanceList(const wire::InstanceList &list,
                                                      const std::vector<InstanceRecord> &current)
{
    const bool unchanged = list.instances().empty() && list.digest() == list.base_digest();
    if (unchanged && instanceListDigest(current) == list.digest()) {
        return current;
    }
    std::map<InstanceId, InstanceRecord> records;
    if (list.base_digest() != 0) {
        if (list.base_digest() != instanceListDigest(current)) {
            return Error{ErrorCode::Conflict, "the base of the instance list differs from the local list"};
        }
        for (const InstanceRecord &record : current) {
            records[record.id] = record;
        }
    }
    for (const wire::InstanceEntry &item : list.instances()) {
        const InstanceId id{item.id()};
        records[id] = {id,
                       item.address(),
                       static_cast<std::uint16_t>(item.port()),
                       item.data_centre(),
                       item.rack(),
                       parseEnum<Presence>(item.presence()).value_or(Presence::Gone)};
    }
    std::vector<InstanceRecord> sorted;
    sorted.reserve(records.size());
    for (auto &[id, record] : records) {
        sorted.push_back(std::move(record));
    }
    if (instanceListDigest(sorted) != list.digest()) {
        return Error{ErrorCode::Conflict, "the instance list does not match its digest"};
    }
    return sorted;
}

std::uint64_t instanceListDigest(const std::vector<InstanceRecord> &records)
{
    std::string text;
    for (const InstanceRecord &record : records) {
        for (const std::string_view part :
             {std::string_view(record.id.value), std::string_view(record.address), std::string_view(record.dataCentre),
              std::string_view(record.rack), toString(record.presence)}) {
            text += part;
            text += '\0';
        }
        text += std::to_string(record.port) + '\n';
    }
    return std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

}
