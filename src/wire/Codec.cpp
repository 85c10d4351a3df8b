#include "wire/Codec.h"

#include "base/Error.h"
#include "wire/Fields.h"
#include "wire/Frame.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <cstring>
#include <limits>
#include <msgpack.hpp>

namespace skylark {

namespace {

    // The nesting depth of the deepest message, a ListUpdate with its endpoints, plus one level for later fields.
    constexpr size_t maxNestingDepth = 6;
    constexpr size_t maxListElements = 32768;
    constexpr size_t digestBytes = 16;

    [[noreturn]] void failDecode(const std::string& message)
    {
        throw Error({ .step = "decode", .message = message, .advice = "check the peer's version" });
    }

    struct StringSink {
        std::string& buffer;
        void write(const char* data, size_t size) { buffer.append(data, size); }
    };
    using Packer = msgpack::packer<StringSink>;

    uint64_t bigEndian(uint64_t value)
    {
        return std::endian::native == std::endian::little ? __builtin_bswap64(value) : value;
    }

    template <typename T> void packValue(Packer& packer, const T& value);

    void packValue(Packer& packer, const std::string& value)
    {
        packer.pack_bin(static_cast<uint32_t>(value.size()));
        packer.pack_bin_body(value.data(), static_cast<uint32_t>(value.size()));
    }

    template <typename Tag> void packValue(Packer& packer, const Strong<Tag, std::string>& value)
    {
        const auto size = static_cast<uint32_t>(value.value().size());
        packer.pack_str(size);
        packer.pack_str_body(value.value().data(), size);
    }

    template <typename Tag> void packValue(Packer& packer, const Strong<Tag, uint64_t>& value)
    {
        packer.pack_uint64(value.value());
    }

    void packValue(Packer& packer, const Duration& value) { packer.pack_int64(value.count()); }

    void packValue(Packer& packer, const Digest& value)
    {
        const uint64_t words[] = { bigEndian(value.high), bigEndian(value.low) };
        static_assert(sizeof(words) == digestBytes);
        packer.pack_bin(digestBytes);
        packer.pack_bin_body(reinterpret_cast<const char*>(words), digestBytes);
    }

    template <typename A, typename B> void packValue(Packer& packer, const std::pair<A, B>& value)
    {
        packer.pack_array(2);
        packValue(packer, value.first);
        packValue(packer, value.second);
    }

    template <typename T> void packValue(Packer& packer, const std::vector<T>& values)
    {
        if (values.size() > maxElements<T>) {
            throw Error({ .step = "encode",
                .message = "a list has " + std::to_string(values.size()) + " elements; the limit is "
                    + std::to_string(maxElements<T>) });
        }
        packer.pack_array(static_cast<uint32_t>(values.size()));
        for (const T& value : values)
            packValue(packer, value);
    }

    template <typename Fields> void packFields(Packer& packer, const Fields& fields)
    {
        std::apply([&](const auto&... field) { (packValue(packer, field), ...); }, fields);
    }

    template <typename T> void packValue(Packer& packer, const T& value)
    {
        if constexpr (HasFields<const T>) {
            const auto fields = fieldsOf(value);
            packer.pack_array(std::tuple_size_v<decltype(fields)>);
            packFields(packer, fields);
        } else if constexpr (std::is_enum_v<T>) {
            packer.pack_uint8(static_cast<uint8_t>(value));
        } else {
            packer.pack(value);
        }
    }

    using Object = msgpack::object;

    uint64_t unsignedOf(const Object& object, uint64_t maxValue)
    {
        if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > maxValue)
            failDecode("a field is not an integer from 0 to " + std::to_string(maxValue));
        return object.via.u64;
    }

    // Returns the elements of an array that has at least minSize elements; fails otherwise.
    const Object* elementsOf(const Object& object, size_t minSize)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size < minSize)
            failDecode("a structure is not an array of at least " + std::to_string(minSize) + " elements");
        return object.via.array.ptr;
    }

    template <typename T> void readValue(const Object& object, T& value);

    void readValue(const Object& object, bool& value)
    {
        if (object.type != msgpack::type::BOOLEAN)
            failDecode("a field is not a boolean");
        value = object.via.boolean;
    }

    // The packer writes an integral double as an integer. Rejects infinity and NaN, which would break every comparison
    // with the value.
    void readValue(const Object& object, double& value)
    {
        if (object.type == msgpack::type::POSITIVE_INTEGER)
            value = static_cast<double>(object.via.u64);
        else if (object.type == msgpack::type::NEGATIVE_INTEGER)
            value = static_cast<double>(object.via.i64);
        else if (object.type == msgpack::type::FLOAT64 && std::isfinite(object.via.f64))
            value = object.via.f64;
        else
            failDecode("a field is not a finite number");
    }

    void readValue(const Object& object, std::string& value)
    {
        if (object.type != msgpack::type::BIN)
            failDecode("a field is not binary data");
        value.assign(object.via.bin.ptr, object.via.bin.size);
    }

    template <typename Tag> void readValue(const Object& object, Strong<Tag, std::string>& value)
    {
        if (object.type != msgpack::type::STR)
            failDecode("a name is not a string");
        value = Strong<Tag, std::string>(std::string(object.via.str.ptr, object.via.str.size));
    }

    template <typename Tag> void readValue(const Object& object, Strong<Tag, uint64_t>& value)
    {
        value = Strong<Tag, uint64_t>(unsignedOf(object, std::numeric_limits<uint64_t>::max()));
    }

    void readValue(const Object& object, Duration& value)
    {
        if (object.type == msgpack::type::NEGATIVE_INTEGER)
            value = Duration(object.via.i64);
        else
            value = Duration(static_cast<int64_t>(unsignedOf(object, std::numeric_limits<int64_t>::max())));
    }

    void readValue(const Object& object, Digest& value)
    {
        if (object.type != msgpack::type::BIN || object.via.bin.size != digestBytes)
            failDecode("a digest is not 16 bytes of binary data");
        uint64_t words[2];
        std::memcpy(words, object.via.bin.ptr, digestBytes);
        value = { .high = bigEndian(words[0]), .low = bigEndian(words[1]) };
    }

    template <typename A, typename B> void readValue(const Object& object, std::pair<A, B>& value)
    {
        const Object* elements = elementsOf(object, 2);
        readValue(elements[0], value.first);
        readValue(elements[1], value.second);
    }

    template <typename T> void readValue(const Object& object, std::vector<T>& values)
    {
        static_assert(maxElements<T> > 0 && maxElements<T> <= maxListElements);
        const Object* elements = elementsOf(object, 0);
        const size_t count = object.via.array.size;
        if (count > maxElements<T>)
            failDecode("a list has more than " + std::to_string(maxElements<T>) + " elements");
        values.resize(count);
        for (size_t i = 0; i < count; ++i)
            readValue(elements[i], values[i]);
    }

    // Fields beyond `count` keep their values.
    template <typename Fields> void readFields(const Object* elements, size_t count, const Fields& fields)
    {
        const Object* const end = elements + count;
        const auto readNext = [&](auto& field) {
            if (elements != end)
                readValue(*elements++, field);
        };
        std::apply([&](auto&... field) { (readNext(field), ...); }, fields);
    }

    template <typename T> void readValue(const Object& object, T& value)
    {
        if constexpr (HasFields<T>) {
            const Object* elements = elementsOf(object, requiredFields<T>);
            readFields(elements, object.via.array.size, fieldsOf(value));
        } else if constexpr (std::is_enum_v<T>) {
            static_assert(enumeratorCount<T> > 0);
            value = static_cast<T>(unsignedOf(object, enumeratorCount<T> - 1));
        } else {
            static_assert(std::is_unsigned_v<T>);
            value = static_cast<T>(unsignedOf(object, std::numeric_limits<T>::max()));
        }
    }

    template <typename T> Message readMessage(const Object* elements, size_t count)
    {
        T message;
        if (count < requiredFields<T>)
            failDecode(
                "a message has only " + std::to_string(count) + " of " + std::to_string(requiredFields<T>) + " fields");
        readFields(elements, count, fieldsOf(message));
        return message;
    }

    using MessageReader = Message (*)(const Object*, size_t);

    template <size_t... Index> constexpr auto messageReaders(std::index_sequence<Index...>)
    {
        return std::array<MessageReader, sizeof...(Index)> {
            &readMessage<std::variant_alternative_t<Index, Message>>...
        };
    }

    Object unpackPayload(std::string_view payload, msgpack::zone& zone)
    {
        // The unpacker checks counts against these limits before it allocates the elements.
        const size_t count = std::min(payload.size(), maxListElements);
        const msgpack::unpack_limit limit(
            count, count, payload.size(), payload.size(), payload.size(), maxNestingDepth);
        // Strings and binary data refer to the payload instead of being copied.
        const auto isReferenced = [](msgpack::type::object_type, size_t, void*) { return true; };
        size_t offset = 0;
        try {
            const Object object
                = msgpack::unpack(zone, payload.data(), payload.size(), offset, isReferenced, nullptr, limit);
            if (offset != payload.size())
                failDecode("extra bytes follow the message");
            return object;
        } catch (const msgpack::unpack_error& error) {
            failDecode(std::string("malformed msgpack: ") + error.what());
        }
    }

    void packMessage(std::string& buffer, const Message& message, uint32_t protocolVersion)
    {
        StringSink sink { buffer };
        Packer packer(sink);
        std::visit(
            [&](const auto& alternative) {
                const auto fields = fieldsOf(alternative);
                packer.pack_array(2 + std::tuple_size_v<decltype(fields)>);
                packer.pack(protocolVersion);
                packer.pack(static_cast<uint32_t>(message.index()));
                packFields(packer, fields);
            },
            message);
    }

} // namespace

std::string encode(const Message& message, uint32_t protocolVersion)
{
    std::string payload;
    packMessage(payload, message, protocolVersion);
    return payload;
}

size_t appendFrame(std::string& buffer, const Message& message, uint32_t protocolVersion)
{
    const size_t start = buffer.size();
    buffer.append(frameHeaderBytes, '\0');
    try {
        packMessage(buffer, message, protocolVersion);
        const size_t size = buffer.size() - start - frameHeaderBytes;
        writeFrameHeader(buffer.data() + start, size);
    } catch (...) {
        buffer.resize(start);
        throw;
    }
    return buffer.size() - start;
}

std::optional<Message> decode(std::string_view payload)
{
    static constexpr auto readers = messageReaders(std::make_index_sequence<messageTypeCount>());
    constexpr size_t headerFields = 2;
    msgpack::zone zone;
    const Object object = unpackPayload(payload, zone);
    const Object* elements = elementsOf(object, headerFields);
    const uint64_t version = unsignedOf(elements[0], std::numeric_limits<uint32_t>::max());
    const uint64_t type = unsignedOf(elements[1], std::numeric_limits<uint32_t>::max());
    const bool isHello = type == Message(Hello {}).index();
    if (!isHello && (version < minProtocolVersion || version > maxProtocolVersion))
        failDecode("a message has the unsupported protocol version " + std::to_string(version));
    if (type >= messageTypeCount)
        return std::nullopt;
    return readers[type](elements + headerFields, object.via.array.size - headerFields);
}

const char* messageTypeName(size_t index)
{
    static constexpr std::array<const char*, messageTypeCount> names { "Hello", "Ping", "Pong", "Summary",
        "PushVersion", "PushAck", "FetchRequest", "SnapshotPart", "SectionBatch", "ListUpdate", "HearsayBatch",
        "Leaving", "CallStart", "BodyChunk", "WindowUpdate", "AnswerStart", "Refusal", "Cancel", "HeldSourceRequest",
        "HeldSource" };
    return index < names.size() ? names[index] : "Unknown";
}

} // namespace skylark
