#include "idempotency.h"

#include <orders.pb.h>
#include <xxhash.h>

#include <algorithm>

namespace briarvane
{

// [2] Keys and answers ------------------------------------------------------------------------------------------------

namespace
{

void appendField(std::string &text, std::string_view field)
{
    // The length prefix makes ("a", "bc") and ("ab", "c") different.
    const std::uint64_t size = field.size();
    text.append(reinterpret_cast<const char *>(&size), sizeof size);
    text.append(field);
}

}

IdempotencyKeyHash hashIdempotencyKey(const ServiceId &service, const TenantId &tenant, std::string_view key)
{
    std::string text;
    appendField(text, service.value);
    appendField(text, tenant.value);
    appendField(text, key);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

std::uint64_t hashRequestBody(std::string_view method, std::string_view target, std::string_view body)
{
    std::string text;
    appendField(text, method);
    appendField(text, target);
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(text.data(), text.size()));
}

std::int64_t idempotencyKeyIssuedMs(std::string_view key)
{
    // RFC 9562: a UUIDv7 begins with 48 bits of Unix milliseconds and the version digit 7. Its variant digit is 8, 9, a
    // or b.
    constexpr std::size_t textSize = 36;
    constexpr std::size_t versionAt = 14;
    constexpr std::size_t variantAt = 19;
    if (key.size() != textSize || key[versionAt] != '7'
        || std::string_view("89abAB").find(key[variantAt]) == std::string_view::npos) {
        return 0;
    }
    std::int64_t issued = 0;
    for (std::size_t i = 0; i < key.size(); ++i) {
        if (i == 8 || i == 13 || i == 18 || i == 23) {
            if (key[i] != '-') {
                return 0;
            }
            continue;
        }
        const std::size_t lower = std::string_view("0123456789abcdef").find(key[i]);
        const std::size_t upper = std::string_view("0123456789ABCDEF").find(key[i]);
        const std::size_t digit = std::min(lower, upper);
        if (digit == std::string_view::npos) {
            return 0;
        }
        if (i < versionAt - 1) {
            issued = issued * 16 + static_cast<std::int64_t>(digit);
        }
    }
    return issued;
}

// [3] Claims, records and their stored form ---------------------------------------------------------------------------

namespace
{

// Base64 is implemented here because Boost's base64 iterators took about 1 ms for a head of 64 KB, which is written
// many times per second.
constexpr std::string_view Base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t NoDigit = 64;

constexpr std::array<std::uint8_t, 256> Base64Values = [] {
    std::array<std::uint8_t, 256> values{};
    values.fill(NoDigit);
    for (std::size_t i = 0; i < Base64Digits.size(); ++i) {
        values[static_cast<unsigned char>(Base64Digits[i])] = static_cast<std::uint8_t>(i);
    }
    return values;
}();

std::string toBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4, '=');
    const auto byte
        = [&](std::size_t at) { return at < bytes.size() ? std::uint32_t{static_cast<unsigned char>(bytes[at])} : 0U; };
    std::size_t out = 0;
    for (std::size_t in = 0; in < bytes.size(); in += 3, out += 4) {
        const std::uint32_t group = (byte(in) << 16U) | (byte(in + 1) << 8U) | byte(in + 2);
        const std::size_t digits = std::min<std::size_t>(bytes.size() - in, 3) + 1;
        for (std::size_t i = 0; i < digits; ++i) {
            text[out + i] = Base64Digits[(group >> (18U - 6U * i)) & 63U];
        }
    }
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    for (int i = 0; i < 2 && text.ends_with('='); ++i) {
        text.remove_suffix(1);
    }
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t group = 0;
    std::size_t digits = 0;
    for (const char digit : text) {
        const std::uint8_t value = Base64Values[static_cast<unsigned char>(digit)];
        if (value == NoDigit) {
            return std::nullopt;
        }
        group = (group << 6U) | value;
        if (++digits == 4) {
            bytes.push_back(static_cast<char>(group >> 16U));
            bytes.push_back(static_cast<char>(group >> 8U));
            bytes.push_back(static_cast<char>(group));
            group = 0;
            digits = 0;
        }
    }
    if (digits == 3) {
        bytes.push_back(static_cast<char>(group >> 10U));
        bytes.push_back(static_cast<char>(group >> 2U));
    } else if (digits == 2) {
        bytes.push_back(static_cast<char>(group >> 4U));
    }
    return bytes;
}

}

std::string formatIdempotencySegment(const IdempotencySegment &segment)
{
    stored::Segment message;
    std::map<ClaimOrigin, std::uint32_t> origins;
    std::map<std::string_view, std::uint32_t> types;
    message.set_base_ms(segment.records.empty() ? 0 : segment.records.front().changedMs);
    for (const IdempotencyRecord &record : segment.records) {
        const auto [origin, newOrigin]
            = origins.try_emplace(*record.origin, static_cast<std::uint32_t>(origins.size()));
        if (newOrigin) {
            stored::Origin *stored = message.add_origins();
            stored->set_entry(record.origin->entry.value);
            stored->set_start_id(record.origin->startId);
        }
        stored::Record *stored = message.add_records();
        stored->set_key_high(record.key.high);
        stored->set_key_low(record.key.low);
        stored->set_body_hash(record.bodyHash);
        stored->set_origin(origin->second);
        stored->set_sequence(record.sequence);
        stored->set_after_base_ms(record.changedMs - message.base_ms());
        stored->set_state(static_cast<std::uint32_t>(record.state));
        if (record.answer) {
            stored->set_status(static_cast<std::uint32_t>(record.answer->status));
            stored->set_body_kept(record.answer->bodyStored);
            if (record.answer->bodyStored) {
                stored->set_body(record.answer->body);
            }
            if (!record.answer->contentType.empty()) {
                const auto [type, newType]
                    = types.try_emplace(record.answer->contentType, static_cast<std::uint32_t>(types.size() + 1));
                if (newType) {
                    message.add_content_types(record.answer->contentType);
                }
                stored->set_content_type(type->second);
            }
        }
    }
    if (!segment.writer.entry.empty()) {
        message.mutable_writer()->set_entry(segment.writer.entry.value);
        message.mutable_writer()->set_start_id(segment.writer.startId);
    }
    message.set_batch(segment.batch);
    message.set_next(segment.next);
    for (const SealedRef &ref : segment.sealed) {
        stored::SealedRef *stored = message.add_sealed();
        stored->set_number(ref.number);
        stored->set_newest_ms(ref.newestMs);
    }
    return toBase64(message.SerializeAsString());
}

Result<IdempotencySegment> parseIdempotencySegment(const std::string &text)
{
    IdempotencySegment segment;
    if (text.empty()) {
        return segment;
    }
    const std::optional<std::string> bytes = fromBase64(text);
    stored::Segment message;
    if (!bytes || !message.ParseFromString(*bytes)) {
        return Error{ErrorCode::Invalid, "the stored value is not a segment of idempotency records"};
    }
    std::vector<std::shared_ptr<const ClaimOrigin>> origins;
    for (const stored::Origin &origin : message.origins()) {
        origins.push_back(std::make_shared<const ClaimOrigin>(ClaimOrigin{{origin.entry()}, origin.start_id()}));
    }
    for (const stored::Record &stored : message.records()) {
        if (stored.origin() >= origins.size() || stored.state() > static_cast<std::uint32_t>(IdempotencyState::Unknown)
            || stored.content_type() > static_cast<std::uint32_t>(message.content_types_size())) {
            return Error{ErrorCode::Invalid,
                         "an idempotency record has an unknown state or refers to an origin or content type that its "
                         "segment does not contain"};
        }
        IdempotencyRecord record;
        record.key = {stored.key_high(), stored.key_low()};
        record.bodyHash = stored.body_hash();
        record.origin = origins[stored.origin()];
        record.sequence = stored.sequence();
        record.changedMs = message.base_ms() + stored.after_base_ms();
        record.state = static_cast<IdempotencyState>(stored.state());
        if (record.state == IdempotencyState::Finished) {
            StoredAnswer answer;
            answer.status = static_cast<int>(stored.status());
            if (stored.content_type() > 0) {
                answer.contentType = message.content_types(static_cast<int>(stored.content_type()) - 1);
            }
            answer.body = stored.body();
            answer.bodyStored = stored.body_kept();
            record.answer = std::make_shared<const StoredAnswer>(std::move(answer));
        }
        segment.records.push_back(std::move(record));
    }
    segment.writer = {{message.writer().entry()}, message.writer().start_id()};
    segment.batch = message.batch();
    segment.next = std::max<std::uint64_t>(message.next(), 1);
    for (const stored::SealedRef &ref : message.sealed()) {
        segment.sealed.push_back({ref.number(), ref.newest_ms()});
    }
    return segment;
}

}
