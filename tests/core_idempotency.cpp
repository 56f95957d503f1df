#include "idempotency.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace briarvane;

namespace
{

constexpr std::int64_t RetentionMs = 600'000;

/// The size of the head at which an owner begins a new segment differs between the owners, as it does while a changed
/// setting is rolled out.
IdempotencySettings testSettings(std::size_t owner)
{
    IdempotencySettings settings;
    settings.retention = Duration{RetentionMs * 1000};
    settings.segmentBytes = 150 + 150 * owner;  // reached after a few records
    return settings;
}

/// Key-value store with compare-and-swap, like the one of the coordination service.
struct ModelStore
{
    std::map<std::string, StoreValue> values;
    std::uint64_t version = 0;
    bool down = false;

    StoreValue read(const std::string &key) const
    {
        const auto found = values.find(key);
        return found == values.end() ? StoreValue{key, {}, 0} : found->second;
    }
    Result<std::uint64_t> swap(const SwapRecords &request)
    {
        if (read(request.key).version != request.expected) {
            return Error{ErrorCode::Conflict, "changed"};
        }
        values[request.key] = {request.key, request.value, ++version};
        return version;
    }
    Result<bool> remove(const RemoveRecords &request)
    {
        if (read(request.key).version == 0) {
            return Error{ErrorCode::NotFound, "no such key"};
        }
        if (read(request.key).version != request.expected) {
            return Error{ErrorCode::Conflict, "changed"};
        }
        values.erase(request.key);
        return true;
    }
};

enum class ClaimStage {
    Pending,
    GivenUp,   // reported as abandoned
    Rejected,  // got a verdict other than Run
    Granted,   // got Verdict::Run
    Ran,       // the request was sent
};

/// State of a claim at its claimant.
struct ModelClaim
{
    ClaimRequest request;
    ClaimStage stage = ClaimStage::Pending;
    bool dead = false;  // the claimant has restarted or no longer acts on the claim
    std::vector<std::size_t> sentTo;
    std::uint64_t sentToStart = 0;               // start of the first owner in `sentTo` when the claim was sent to it
    std::optional<IdempotencyState> finalState;  // last state sent in an update
    bool updateConfirmed = false;
    std::int64_t updateMs = 0;      // time at which the last update was sent
    std::int64_t lastChangeMs = 0;  // lower bound for the time of the record's last change
};

/// A message or a call to the coordination service that is under way. The simulation delivers such items in any order.
struct InTransit
{
    std::size_t owner = 0;
    /// Start of the owner that sent the message or made the call to the coordination service; 0: message to an owner.
    std::uint64_t ownerStart = 0;
    std::variant<ReadRecords, SwapRecords, RemoveRecords, SendVerdict, ConfirmClaimUpdate, ClaimRequest, ClaimUpdate,
                 std::pair<std::uint64_t, Result<StoreValue>>, std::pair<std::uint64_t, Result<std::uint64_t>>,
                 std::pair<std::uint64_t, Result<bool>>>
        content;
    bool duplicated = false;  // a duplicate of the call is under way as well
};

/// A random step of the simulation. `action` selects the kind of event; the other numbers select the claim, the owner,
/// the key, the message or the fault.
struct Step
{
    std::uint8_t action;
    std::uint8_t first;
    std::uint8_t second;
    std::uint8_t third;
};

void showValue(const Step &step, std::ostream &os)
{
    os << "{" << int(step.action) << "," << int(step.first) << "," << int(step.second) << "," << int(step.third) << "}";
}

std::ostream &operator<<(std::ostream &os, const Step &step)
{
    showValue(step, os);
    return os;
}

/// Simulation of several owners of shard 0, each of which acts as its only owner, of claimants, and of a network that
/// loses, duplicates and reorders messages.
struct Simulation
{
    static constexpr std::size_t Owners = 3;
    static constexpr std::size_t Claimants = 3;
    static constexpr std::size_t Keys = 8;

    Simulation()
    {
        for (std::size_t i = 0; i < Owners; ++i) {
            owners.push_back(std::make_unique<IdempotencyShard>(0, ownerOrigin(i), testSettings(i)));
        }
    }

    std::string violation;

    void apply(const Step &step)
    {
        const std::size_t owner = step.second % Owners;
        switch (step.action % 64) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            makeClaim(step.first % Claimants, step.third % Keys, owner, step.first % 16 == 15);
            break;
        case 5:
            if (ModelClaim *claim = pick(step.first, ClaimStage::Pending)) {
                claim->sentTo.push_back(owner);
                network.push_back({owner, 0, claim->request});
            }
            break;
        case 6:
            if (ModelClaim *claim = pick(step.first, ClaimStage::Pending)) {
                giveUp(*claim, owner);
            }
            break;
        case 7:
            if (ModelClaim *claim = pick(step.first, ClaimStage::Granted); claim && !claim->finalState) {
                execute(*claim);
            }
            break;
        case 8:
        case 9:
            if (ModelClaim *claim = pick(step.first, step.third % 4 ? ClaimStage::Ran : ClaimStage::Granted);
                claim && !claim->dead && !claim->finalState) {
                finish(*claim, owner, step.third % 8 == 7);
            }
            break;
        case 10:
            resendUpdates(owner);
            break;
        case 11:
            paused[owner] = !paused[owner];
            break;
        case 12:
            store.down = !store.down && step.first % 2 == 0;
            break;
        case 13:
            if (step.first % 4 == 0) {
                restartClaimant(step.third % Claimants);
            } else {
                notLive[step.third % Claimants] = !notLive[step.third % Claimants];
            }
            break;
        case 14:
            if (step.first % 4 == 0) {
                ++ownerStarts[owner];
                owners[owner] = std::make_unique<IdempotencyShard>(0, ownerOrigin(owner), testSettings(owner));
            } else {
                owners[owner]->unload();
            }
            break;
        case 15:
            if (step.first % 4 == 0) {
                advance(RetentionMs / 3);
            }
            break;
        case 16:
        case 17:
        case 18:
            advance(step.first % 4 == 0 ? 150 : 10);
            break;
        default:
            deliver(step.first + 256U * step.second, step.third);
        }
    }

    /// Ends all faults, delivers all messages and checks that the verdict on each key agrees with the history of its
    /// claims.
    void recoverAndCheck()
    {
        store.down = false;
        paused = {};
        notLive = {};
        for (ModelClaim &claim : claims) {
            if (claim.stage == ClaimStage::Pending && !claim.dead) {
                giveUp(claim, 0);
            }
        }
        for (int round = 0; round < 40; ++round) {
            for (std::size_t n = 0; n < 4000 && !network.empty(); ++n) {
                deliver(0, 255);
            }
            resendUpdates(static_cast<std::size_t>(round) % Owners);
            advance(150);
        }
        for (const ModelClaim &claim : claims) {
            if (claim.finalState && !claim.updateConfirmed && !claim.dead) {
                fail("the update that ends a claim is never confirmed");
            }
        }
        for (std::size_t key = 0; key < Keys; ++key) {
            checkKey(key);
        }
    }

    static ClaimOrigin ownerOriginOf(std::size_t owner, std::uint64_t start)
    {
        return {{"owner" + std::to_string(owner)}, start};
    }
    ClaimOrigin ownerOrigin(std::size_t owner) const
    {
        return ownerOriginOf(owner, ownerStarts[owner]);
    }
    ClaimOrigin claimant(std::size_t index) const
    {
        return {{"claimant" + std::to_string(index)}, claimantStarts[index]};
    }
    void fail(const std::string &what)
    {
        violation = violation.empty() ? what : violation;
    }
    /// Claims of keys with an even number contain the time of the first claim of the key; see makeClaim().
    static IdempotencyKeyHash keyOf(std::size_t key)
    {
        return {key, key * 7};
    }

    IdempotencyContext context(std::size_t owner) const
    {
        // The owners' clocks differ by up to 40 s, which is less than IdempotencyClockMargin.
        IdempotencyContext context{TimePoint{Duration{nowMs * 1000}},
                                   WallTime{Duration{(nowMs + 20'000 * (static_cast<std::int64_t>(owner) - 1)) * 1000}},
                                   {}};
        for (std::size_t i = 0; i < Claimants; ++i) {
            if (!notLive[i]) {
                context.live.push_back(claimant(i));
            }
        }
        return context;
    }

    ModelClaim *pick(std::size_t choice, ClaimStage stage)
    {
        std::vector<ModelClaim *> found;
        for (ModelClaim &claim : claims) {
            if (claim.stage == stage && !claim.dead) {
                found.push_back(&claim);
            }
        }
        return found.empty() ? nullptr : found[choice % found.size()];
    }

    ModelClaim &makeClaim(std::size_t from, std::size_t key, std::size_t owner, bool otherBody)
    {
        ModelClaim claim;
        claim.request = {keyOf(key), otherBody ? 2U : 1U, {claimant(from), ++lastSequence}, 0, {}};
        claim.request.deadline = TimePoint{Duration{(nowMs + 200) * 1000}};
        if (key % 2 == 0) {
            claim.request.issuedMs = issued.try_emplace(key, nowMs).first->second;
        }
        claim.lastChangeMs = nowMs;
        claim.sentTo = {owner};
        claim.sentToStart = ownerStarts[owner];
        claims.push_back(claim);
        network.push_back({owner, 0, claim.request});
        return claims.back();
    }

    void giveUp(ModelClaim &claim, std::size_t owner)
    {
        claim.stage = ClaimStage::GivenUp;
        sendUpdate(claim, IdempotencyState::Abandoned, owner);
    }

    void execute(ModelClaim &claim)
    {
        claim.stage = ClaimStage::Ran;
    }

    void finish(ModelClaim &claim, std::size_t owner, bool unknown)
    {
        claim.updateMs = nowMs;
        if (claim.stage == ClaimStage::Granted) {
            claim.stage = ClaimStage::GivenUp;
            sendUpdate(claim, IdempotencyState::Abandoned, owner);
        } else {
            sendUpdate(claim, unknown ? IdempotencyState::Unknown : IdempotencyState::Finished, owner);
        }
    }

    void sendUpdate(ModelClaim &claim, IdempotencyState state, std::size_t owner)
    {
        claim.finalState = state;
        claim.updateConfirmed = false;
        ClaimUpdate request{claim.request.key, claim.request.bodyHash, claim.request.claim, state, nullptr};
        request.sentOnlyHere = claim.sentTo == std::vector{owner} && claim.sentToStart == ownerStarts[owner];
        if (state == IdempotencyState::Finished) {
            request.answer = std::make_shared<const StoredAnswer>(
                StoredAnswer{200, "text/plain", std::to_string(claim.request.claim.sequence), true});
        }
        network.push_back({owner, 0, request});
    }

    void resendUpdates(std::size_t owner)
    {
        for (ModelClaim &claim : claims) {
            if (claim.finalState && !claim.updateConfirmed && !claim.dead) {
                sendUpdate(claim, *claim.finalState, owner);
            }
        }
    }

    void restartClaimant(std::size_t index)
    {
        for (ModelClaim &claim : claims) {
            if (claim.request.claim.origin == claimant(index)) {
                claim.dead = true;
            }
        }
        ++claimantStarts[index];
    }

    void advance(std::int64_t ms)
    {
        nowMs += ms;
        if (ms > RetentionMs / 4) {
            // Outside the simulation, no claim stays open for a quarter of the retention without an action of its
            // claimant: pending claims reach their deadline, and granted ones are renewed. The simulation does neither
            // and drops these claims instead.
            for (ModelClaim &claim : claims) {
                const bool open = claim.stage == ClaimStage::Granted || claim.stage == ClaimStage::Pending;
                claim.dead = claim.dead || open;
            }
        }
        for (std::size_t owner = 0; owner < Owners; ++owner) {
            if (!paused[owner]) {
                send(owner, owners[owner]->tick(context(owner)));
            }
        }
    }

    void send(std::size_t owner, IdempotencyEffects effects)
    {
        for (IdempotencyEffect &effect : effects) {
            std::visit(
                [&](auto &content) {
                    network.push_back({owner, ownerStarts[owner], std::move(content)});
                },
                effect);
        }
    }

    /// Delivers one item of the network. `fault` selects loss, duplication or a lost answer.
    void deliver(std::size_t choice, std::size_t fault)
    {
        if (network.empty()) {
            return;
        }
        const std::size_t index = choice % network.size();
        InTransit item = network[index];
        const bool toOwner = item.content.index() >= 5;
        if (toOwner && paused[item.owner]) {
            return;
        }
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        std::visit([&](auto &content) { receive(item, content, fault % 16); }, item.content);
    }

    template<class Request, class CarryOut>
    void callStore(const InTransit &item, const Request &request, std::size_t fault, CarryOut carryOut)
    {
        auto answer = decltype(carryOut())(Error{ErrorCode::Unavailable, "the coordination service is down"});
        if (!store.down && fault != 3) {
            if (fault != 2) {
                answer = carryOut();
            }
            if (fault == 0 || fault == 2) {
                // With fault 0 the coordination service carries out the call twice, with fault 2 only after the caller
                // got Unknown.
                network.push_back(item);
                network.back().duplicated = true;
            }
            if (fault == 1 || fault == 2) {
                answer = Error{ErrorCode::Unknown, "no answer"};
            }
        } else if (item.duplicated) {
            // Unavailable would state that the call has no effect, but its duplicate may have one.
            answer = Error{ErrorCode::Unknown, "no answer"};
        }
        network.push_back({item.owner, item.ownerStart, std::pair{request.call, answer}});
    }
    void receive(const InTransit &item, const ReadRecords &request, std::size_t fault)
    {
        callStore(item, request, fault, [&] { return Result<StoreValue>(store.read(request.key)); });
    }
    void receive(const InTransit &item, const SwapRecords &request, std::size_t fault)
    {
        callStore(item, request, fault, [&] { return store.swap(request); });
    }
    void receive(const InTransit &item, const RemoveRecords &request, std::size_t fault)
    {
        callStore(item, request, fault, [&] { return store.remove(request); });
    }
    template<class T>
    void receive(const InTransit &item, const std::pair<std::uint64_t, Result<T>> &answer, std::size_t)
    {
        if (item.ownerStart != ownerStarts[item.owner]) {
            return;
        }
        IdempotencyShard &shard = *owners[item.owner];
        if constexpr (std::is_same_v<T, StoreValue>) {
            send(item.owner, shard.readDone(answer.first, answer.second, context(item.owner)));
        } else if constexpr (std::is_same_v<T, std::uint64_t>) {
            send(item.owner, shard.swapDone(answer.first, answer.second, context(item.owner)));
        } else {
            send(item.owner, shard.removeDone(answer.first, answer.second, context(item.owner)));
        }
    }
    void receive(const InTransit &item, const ClaimRequest &request, std::size_t fault)
    {
        if (fault == 0) {
            return;
        }
        if (fault == 1) {
            network.push_back(item);
        }
        send(item.owner, owners[item.owner]->claim(request, context(item.owner)));
    }
    void receive(const InTransit &item, const ClaimUpdate &request, std::size_t fault)
    {
        if (fault == 0) {
            return;
        }
        if (fault == 1) {
            network.push_back(item);
        }
        send(item.owner, owners[item.owner]->settle(request, context(item.owner)));
    }
    void receive(const InTransit &item, const ConfirmClaimUpdate &confirm, std::size_t fault)
    {
        if (fault == 1) {
            network.push_back(item);
        }
        if (ModelClaim *claim = findClaim(confirm.claim); claim && fault != 0) {
            claim->updateConfirmed = true;
            // The retention counts from the last change of the record. An update after the retention changes no record.
            if (claim->lastChangeMs + RetentionMs >= nowMs) {
                claim->lastChangeMs = std::max(claim->lastChangeMs, claim->updateMs);
            }
        }
    }
    void receive(const InTransit &item, const SendVerdict &message, std::size_t fault)
    {
        ModelClaim *claim = findClaim(message.claim);
        if (!claim || claim->dead) {
            return;
        }
        if (fault == 0) {
            keysWithLostVerdict.insert(message.key.high);
            return;
        }
        if (fault == 1) {
            network.push_back(item);
        }
        if (claim->stage != ClaimStage::Pending) {
            if (message.verdict == Verdict::Run && claim->stage != ClaimStage::Granted
                && claim->stage != ClaimStage::Ran) {
                // If the claim has already been reported as abandoned, the confirmation of that earlier report may be
                // taken for the confirmation of the report that is sent here.
                keysWithLostVerdict.insert(message.key.high);
                giveUp(*claim, item.owner);
            }
            return;
        }
        if (message.verdict != Verdict::Run) {
            claim->stage = ClaimStage::Rejected;
            // An owner that has restarted since the claim was sent has no record of the calls to the coordination
            // service that it made before the restart and that are still under way.
            if (claim->sentTo.size() > 1 || item.ownerStart != claim->sentToStart) {
                giveUp(*claim, item.owner);
            }
            return;
        }
        claim->stage = ClaimStage::Granted;
        for (const ModelClaim &other : claims) {
            const bool used = other.stage == ClaimStage::Granted || other.stage == ClaimStage::Ran;
            const bool counts = other.request.issuedMs > 0 || other.lastChangeMs + RetentionMs >= nowMs;
            if (&other != claim && other.request.key == claim->request.key && used && counts) {
                fail("second Run for key " + std::to_string(claim->request.key.high));
            }
        }
    }

    ModelClaim *findClaim(const ClaimId &id)
    {
        const auto found = std::find_if(claims.begin(), claims.end(),
                                        [&](const ModelClaim &item) { return item.request.claim == id; });
        return found == claims.end() ? nullptr : &*found;
    }

    void checkKey(std::size_t key)
    {
        const ModelClaim *usedClaim = nullptr;  // the claim that ran or may still run
        bool deadClaims = false;
        for (const ModelClaim &claim : claims) {
            if (claim.request.key == keyOf(key)) {
                const bool counts = claim.stage == ClaimStage::Granted || claim.stage == ClaimStage::Ran;
                usedClaim = counts ? &claim : usedClaim;
                deadClaims = deadClaims || claim.dead;
            }
        }
        // The verdict comes from a new owner that reads the stored records without faults.
        IdempotencyShard owner(0, {{"late"}, 1}, testSettings(0));
        ClaimRequest request{keyOf(key), 1, {{{"late"}, 1}, key + 1}, 0, TimePoint{Duration{(nowMs + 1000) * 1000}}};
        if (const auto time = issued.find(key); time != issued.end()) {
            request.issuedMs = time->second;
        }
        std::optional<SendVerdict> verdict;
        IdempotencyEffects effects = owner.claim(request, context(1));
        for (int round = 0; round < 200 && !verdict; ++round) {
            IdempotencyEffects next;
            for (const IdempotencyEffect &effect : effects) {
                IdempotencyEffects more;
                if (const auto *read = std::get_if<ReadRecords>(&effect)) {
                    more = owner.readDone(read->call, store.read(read->key), context(1));
                } else if (const auto *swap = std::get_if<SwapRecords>(&effect)) {
                    more = owner.swapDone(swap->call, store.swap(*swap), context(1));
                } else if (const auto *message = std::get_if<SendVerdict>(&effect)) {
                    verdict = *message;
                }
                next.insert(next.end(), more.begin(), more.end());
            }
            effects = std::move(next);
        }
        if (!verdict) {
            fail("no verdict for key " + std::to_string(key) + " " + owner.loadError());
            return;
        }
        const std::string suffix = " but the key got " + std::string(toString(verdict->verdict));
        if (!usedClaim) {
            const bool old = request.issuedMs > 0 && request.issuedMs + RetentionMs < nowMs;
            const bool blocked = verdict->verdict != Verdict::Run && !old;
            if (blocked && !deadClaims && !keysWithLostVerdict.contains(key)) {
                fail("nothing ran" + suffix);
            }
        } else if (usedClaim->lastChangeMs + RetentionMs < nowMs) {
            return;
        } else if (verdict->verdict == Verdict::Run || verdict->verdict == Verdict::Busy) {
            fail("a claim was used" + suffix);
        } else if (usedClaim->request.bodyHash != request.bodyHash) {
            if (verdict->verdict != Verdict::KeyConflict) {
                fail("another body" + suffix);
            }
        } else if (usedClaim->finalState == IdempotencyState::Finished && usedClaim->updateConfirmed && !usedClaim->dead
                   && (verdict->verdict != Verdict::Replay
                       || verdict->answer->body != std::to_string(usedClaim->request.claim.sequence))) {
            fail("an answer was stored" + suffix);
        }
    }

    ModelStore store;
    std::vector<std::unique_ptr<IdempotencyShard>> owners;
    std::array<std::uint64_t, Owners> ownerStarts = {1, 1, 1};
    std::array<bool, Owners> paused = {};
    std::array<std::uint64_t, Claimants> claimantStarts = {1, 1, 1};
    std::array<bool, Claimants> notLive = {};
    std::deque<ModelClaim> claims;
    std::vector<InTransit> network;
    std::map<std::size_t, std::int64_t> issued;
    std::set<std::uint64_t> keysWithLostVerdict;
    std::int64_t nowMs = 1'700'000'000'000;
    std::uint64_t lastSequence = 0;

    std::uint64_t rotations() const
    {
        std::uint64_t sum = 0;
        for (const auto &owner : owners) {
            sum += owner->rotations();
        }
        return sum;
    }
    std::size_t runs() const
    {
        return static_cast<std::size_t>(std::count_if(claims.begin(), claims.end(), [](const ModelClaim &claim) {
            return claim.stage == ClaimStage::Granted || claim.stage == ClaimStage::Ran;
        }));
    }
};

rc::Gen<Step> anyStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::action, rc::gen::inRange<std::uint8_t>(0, 64)),
                                rc::gen::set(&Step::first), rc::gen::set(&Step::second), rc::gen::set(&Step::third));
}

}

TEST_CASE("Several owners of a shard let only one claim of a key run", "[idempotency]")
{
    // Guards against a second run of a key when owners race, pause, restart or lose responses from the coordination
    // service, and against a later verdict that contradicts the claims of its key.
    // Shrinking is off because cases of up to 650 steps take minutes to shrink. The seed reproduces a failure.
    const char *environmentParameters = std::getenv("RC_PARAMS");
    const std::string parameters = environmentParameters ? environmentParameters : "seed=20261204";
    if (parameters.find("max_success") == std::string::npos) {
        setenv("RC_PARAMS", (parameters + " max_success=3000 max_size=600 noshrink=1").c_str(), 1);
    }
    std::uint64_t rotations = 0;
    std::size_t runs = 0;
    CHECK(rc::check("interleavings", [&] {
        const std::size_t size = *rc::gen::withSize([](int size) { return rc::gen::just<std::size_t>(size); });
        const auto steps = *rc::gen::container<std::vector<Step>>(50 + size, anyStep());
        Simulation simulation;
        for (const Step &step : steps) {
            simulation.apply(step);
            if (!simulation.violation.empty()) {
                RC_FAIL(simulation.violation);
            }
        }
        rotations += simulation.rotations();
        simulation.recoverAndCheck();
        if (!simulation.violation.empty()) {
            RC_FAIL(simulation.violation);
        }
        runs += simulation.runs();
    }));
    CHECK(rotations > 100);
    CHECK(runs > 1000);
    INFO(rotations << " rotations, " << runs << " runs");
}

namespace
{

/// One shard with a fault-free key-value store. run() carries out the given effects and the effects that result from
/// them, for at most 20 rounds.
struct DirectShard
{
    explicit DirectShard(IdempotencySettings settings)
        : shard(0, {{"direct"}, 1}, settings)
    {
    }

    std::optional<SendVerdict> run(IdempotencyEffects effects)
    {
        std::optional<SendVerdict> verdict;
        for (int round = 0; round < 20 && !effects.empty(); ++round) {
            IdempotencyEffects next;
            for (const IdempotencyEffect &effect : effects) {
                IdempotencyEffects more;
                if (const auto *read = std::get_if<ReadRecords>(&effect)) {
                    more = shard.readDone(read->call, store.read(read->key), context);
                } else if (const auto *swap = std::get_if<SwapRecords>(&effect)) {
                    more = shard.swapDone(swap->call, store.swap(*swap), context);
                } else if (const auto *remove = std::get_if<RemoveRecords>(&effect)) {
                    more = shard.removeDone(remove->call, store.remove(*remove), context);
                } else if (const auto *message = std::get_if<SendVerdict>(&effect)) {
                    verdict = *message;
                }
                next.insert(next.end(), more.begin(), more.end());
            }
            effects = std::move(next);
        }
        return verdict;
    }
    /// Claims the key and returns the verdict, or nothing if no verdict arrives within a second.
    std::optional<Verdict> claim(std::uint64_t key, std::int64_t issuedMs = 0)
    {
        context.now += Duration{1'000'000};
        context.wall += Duration{1'000'000};
        const ClaimRequest request{
            {key, key}, 1, {{{"caller"}, 1}, ++sequence}, issuedMs, context.now + Duration{500'000}};
        auto verdict = run(shard.claim(request, context));
        for (int i = 0; i < 10 && !verdict; ++i) {
            context.now += Duration{100'000};
            verdict = run(shard.tick(context));
        }
        return verdict ? std::optional(verdict->verdict) : std::nullopt;
    }
    void advance(std::int64_t ms)
    {
        context.now += Duration{ms * 1000};
        context.wall += Duration{ms * 1000};
    }

    ModelStore store;
    IdempotencyShard shard;
    IdempotencyContext context{TimePoint{Duration{1'000'000'000}},
                               WallTime{Duration{1'700'000'000'000'000}},
                               {{{"caller"}, 1}}};
    std::uint64_t sequence = 0;
};

}

TEST_CASE("The number of records is bounded, and no key runs while records are missing", "[idempotency]")
{
    SECTION("at the limit a new key gets Busy and a recorded one does not; expired records no longer count")
    {
        IdempotencySettings settings = testSettings(2);
        settings.maxRecords = 3;
        DirectShard direct(settings);
        for (std::uint64_t key = 1; key <= 3; ++key) {
            CHECK(direct.claim(key) == Verdict::Run);
        }
        CHECK(direct.claim(4) == Verdict::Busy);
        CHECK(direct.claim(1) == Verdict::InProgress);
        direct.advance(RetentionMs + 200'000);
        CHECK(direct.claim(4) == Verdict::Run);
    }
    SECTION("a key issued before the retention began is unknown, because its record may have expired")
    {
        DirectShard direct(testSettings(0));
        const std::int64_t nowMs = 1'700'000'000'000;
        CHECK(direct.claim(1, nowMs - RetentionMs - 1) == Verdict::Unknown);
        CHECK(direct.claim(2, nowMs) == Verdict::Run);
        direct.advance(RetentionMs + 200'000);
        CHECK(direct.claim(2, nowMs) == Verdict::Unknown);
    }
    SECTION("claims get Busy if the head refers to a missing segment or cannot be parsed")
    {
        DirectShard first(testSettings(0));
        for (std::uint64_t key = 1; key <= 8; ++key) {
            CHECK(first.claim(key) == Verdict::Run);
        }
        REQUIRE(first.shard.rotations() > 0);
        DirectShard second(testSettings(0));
        second.store = first.store;
        second.store.values.erase("orders/0/1");
        CHECK(second.claim(1) == Verdict::Busy);
        CHECK(second.shard.loadError() == "orders/0/1: the segment is missing");
        DirectShard third(testSettings(0));
        third.store = first.store;
        third.store.values["orders/0"].value = "!!!!";
        CHECK(third.claim(9) == Verdict::Busy);
    }
    SECTION("expired segments are deleted from the store")
    {
        DirectShard direct(testSettings(0));
        for (std::uint64_t key = 1; key <= 30; ++key) {
            CHECK(direct.claim(key) == Verdict::Run);
        }
        CHECK(direct.store.values.size() > 5);
        for (std::uint64_t key = 31; key <= 60; ++key) {
            direct.advance(RetentionMs / 4);
            CHECK(direct.claim(key) == Verdict::Run);
        }
        CHECK(direct.store.values.size() <= 5);
    }
    SECTION("the issue time is read from UUIDv7 keys and from no others")
    {
        CHECK(idempotencyKeyIssuedMs("018bcfe5-6800-7abc-8def-0123456789ab") == 1'700'000'000'000);
        CHECK(idempotencyKeyIssuedMs("018BCFE5-6800-7ABC-8DEF-0123456789AB") == 1'700'000'000'000);
        CHECK(idempotencyKeyIssuedMs("018bcfe5-6800-4abc-8def-0123456789ab") == 0);
        CHECK(idempotencyKeyIssuedMs("018bcfe5-6800-7abc-cdef-0123456789ab") == 0);
        CHECK(idempotencyKeyIssuedMs("018bcfe5x6800-7abc-8def-0123456789ab") == 0);
        CHECK(idempotencyKeyIssuedMs("order-17") == 0);
    }
}

TEST_CASE("A late duplicate of a rejected claim is not recorded", "[idempotency]")
{
    // Guards against a key that stays in progress: the claimant acts on the first verdict and sends no update for a
    // record that is written later.
    DirectShard direct(testSettings(0));
    const ClaimRequest holder{{1, 1}, 1, {{{"caller"}, 1}, 101}, 0, direct.context.now + Duration{500'000}};
    const ClaimRequest other{{1, 1}, 1, {{{"caller"}, 1}, 102}, 0, direct.context.now + Duration{500'000}};
    const auto verdict = [&](IdempotencyEffects effects) {
        auto message = direct.run(std::move(effects));
        for (int i = 0; i < 3 && !message; ++i) {
            direct.advance(100);
            message = direct.run(direct.shard.tick(direct.context));
        }
        return message ? std::optional(message->verdict) : std::nullopt;
    };
    SECTION("the holder runs and the other claim is rejected")
    {
        REQUIRE(verdict(direct.shard.claim(holder, direct.context)) == Verdict::Run);
        REQUIRE(verdict(direct.shard.claim(other, direct.context)) == Verdict::InProgress);
        SECTION("a duplicate of the rejected claim that arrives after the holder gave up does not occupy the key")
        {
            direct.run(
                direct.shard.settle({{1, 1}, 1, holder.claim, IdempotencyState::Abandoned, nullptr}, direct.context));
            direct.advance(100);
            direct.run(direct.shard.tick(direct.context));
            CHECK(verdict(direct.shard.claim(other, direct.context)) == Verdict::Busy);
            CHECK(direct.claim(1) == Verdict::Run);
        }
        SECTION("a duplicate of the holder's claim gets Run again, from its record")
        {
            CHECK(verdict(direct.shard.claim(holder, direct.context)) == Verdict::Run);
        }
    }
    SECTION("a duplicate that arrives while the claim waits for the store gets no second verdict")
    {
        const IdempotencyEffects first = direct.shard.claim(holder, direct.context);
        CHECK(direct.shard.claim(holder, direct.context).empty());
        CHECK(verdict(first) == Verdict::Run);
        CHECK_FALSE(verdict(direct.shard.tick(direct.context)).has_value());
    }
}

TEST_CASE("A formatted segment is parsed to the same records", "[idempotency]")
{
    // Guards against records that change or are lost when another entry reads them.
    CHECK(rc::check("round trip", [] {
        IdempotencySegment segment;
        const auto origin = std::make_shared<const ClaimOrigin>(ClaimOrigin{{*rc::gen::arbitrary<std::string>()}, 7});
        for (const auto &body : *rc::gen::arbitrary<std::vector<std::string>>()) {
            const std::uint64_t number = segment.records.size() + 1;
            segment.records.push_back(
                {{~number, number},
                 number * 3,
                 origin,
                 number,
                 *rc::gen::arbitrary<int>(),
                 IdempotencyState::Finished,
                 std::make_shared<const StoredAnswer>(StoredAnswer{200, body.substr(0, 3), body, true})});
            segment.sealed.push_back({number, 5});
        }
        segment.next = 9;
        const std::string text = formatIdempotencySegment(segment);
        const Result<IdempotencySegment> parsed = parseIdempotencySegment(text);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value().records.size() == segment.records.size());
        for (std::size_t i = 0; i < segment.records.size(); ++i) {
            const IdempotencyRecord &written = segment.records[i];
            const IdempotencyRecord &read = parsed.value().records[i];
            RC_ASSERT(written.key == read.key && written.bodyHash == read.bodyHash && *written.origin == *read.origin
                      && written.sequence == read.sequence);
            RC_ASSERT(written.changedMs == read.changedMs && written.state == read.state
                      && written.answer->body == read.answer->body);
            RC_ASSERT(written.answer->contentType == read.answer->contentType);
        }
        RC_ASSERT(parsed.value().sealed.size() == segment.sealed.size());
        RC_ASSERT(parsed.value().next == segment.next);
    }));
}
