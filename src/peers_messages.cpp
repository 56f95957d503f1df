#include "peers_messages.h"

#include <algorithm>

namespace briarvane
{

void fillHeartbeat(wire::Heartbeat &heartbeat, const Membership &membership, TimePoint now)
{
    const EntryStatus &own = *membership.entry(membership.self());
    for (const auto &[key, version] : own.inForce) {
        wire::VersionInForce &line = *heartbeat.add_in_force();
        line.set_key(key);
        line.set_version(version);
    }
    const Duration age = std::min(membership.storeContactAge(now), 2 * ViewTimeout);  // beyond: of no use to anyone
    heartbeat.set_store_contact_age_us(static_cast<std::uint64_t>(age.count()));
    heartbeat.set_store_down(membership.storeDown(now));
    heartbeat.set_stopping(own.stopping);
    for (const auto &[instance, count] : own.draining) {
        wire::InFlight &line = *heartbeat.add_draining();
        line.set_instance(instance.value);
        line.set_count(static_cast<std::uint32_t>(std::max(count, 0)));
    }
    heartbeat.set_counted_fleet(own.countedFleet);
    // By receipt: these are all that may count this entry as heard, because its echo of them is at most this old.
    for (const EntryId &id : membership.live(now)) {
        if (id != membership.self()) {
            heartbeat.add_heard(id.value);
        }
    }
}

EntryStatus statusOf(const wire::Envelope &message, const Membership &receiver)
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
    status.storeDown = heartbeat.store_down();
    for (const wire::VersionInForce &line : heartbeat.in_force()) {
        status.inForce[line.key()] = line.version();
    }
    for (const wire::InFlight &line : heartbeat.draining()) {
        status.draining[InstanceId{line.instance()}] = static_cast<int>(line.count());
    }
    status.countedFleet = heartbeat.counted_fleet();
    for (const std::string &id : heartbeat.heard()) {
        status.heard.insert(EntryId{id});
    }
    return status;
}

}
