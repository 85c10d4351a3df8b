// Guards the codec against lost fields, malformed input and declared sizes that exceed the input.
#include "base/Error.h"
#include "wire/Codec.h"
#include "wire/Fields.h"
#include "wire/Frame.h"

#include <cstring>
#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <msgpack.hpp>
#include <rapidcheck/gtest.h>
#include <sstream>
#include <tuple>

namespace skylark {
namespace {

    // Converts to a member of any type; used only in unevaluated expressions.
    struct AnyField {
        template <typename T> operator T() const;
    };
    // Counts the members of an aggregate: the largest number of initializers that it accepts.
    template <typename T, typename... Fields> constexpr size_t memberCount()
    {
        if constexpr (requires { T { Fields {}..., AnyField {} }; })
            return memberCount<T, Fields..., AnyField>();
        else
            return sizeof...(Fields);
    }
    template <typename... Structs> constexpr bool listsEveryMember(const std::variant<Structs...>*)
    {
        return ((std::tuple_size_v<decltype(fieldsOf(std::declval<Structs&>()))> == memberCount<Structs>()) && ...);
    }
    // Guards against a member that is added to a struct but not to its fieldsOf() list.
    static_assert(listsEveryMember(static_cast<const Message*>(nullptr)));
    static_assert(listsEveryMember(
        static_cast<const std::variant<Endpoint, FreshnessMark, RejectedVersion, SectionDigest, CompressedSection,
            ManifestDelta, InstanceRecord, ZoneListDelta, ConditionReport, LoadHint, ListedEvacuation>*>(nullptr)));

    template <typename T> T arbitraryValue();

    template <typename T> struct Arbitrary {
        static T make()
        {
            if constexpr (HasFields<T>) {
                T value;
                std::apply([](auto&... field) { ((field = arbitraryValue<std::decay_t<decltype(field)>>()), ...); },
                    fieldsOf(value));
                return value;
            } else if constexpr (std::is_enum_v<T>) {
                return static_cast<T>(*rc::gen::inRange(0U, enumeratorCount<T>));
            } else {
                return *rc::gen::arbitrary<T>();
            }
        }
    };
    template <typename Tag, typename T> struct Arbitrary<Strong<Tag, T>> {
        static Strong<Tag, T> make() { return Strong<Tag, T>(arbitraryValue<T>()); }
    };
    template <> struct Arbitrary<Duration> {
        static Duration make() { return Duration(*rc::gen::arbitrary<int64_t>()); }
    };
    template <> struct Arbitrary<Digest> {
        static Digest make() { return { arbitraryValue<uint64_t>(), arbitraryValue<uint64_t>() }; }
    };
    template <typename A, typename B> struct Arbitrary<std::pair<A, B>> {
        static std::pair<A, B> make() { return { arbitraryValue<A>(), arbitraryValue<B>() }; }
    };
    template <typename T> struct Arbitrary<std::vector<T>> {
        static std::vector<T> make()
        {
            std::vector<T> values(*rc::gen::inRange(0, 4));
            for (T& value : values)
                value = arbitraryValue<T>();
            return values;
        }
    };
    template <typename T> T arbitraryValue() { return Arbitrary<T>::make(); }

    template <size_t Index = 0> Message arbitraryMessage(size_t index)
    {
        if constexpr (Index + 1 < messageTypeCount) {
            if (index > Index)
                return arbitraryMessage<Index + 1>(index);
        }
        return arbitraryValue<std::variant_alternative_t<Index, Message>>();
    }

    class WireProperty : public testing::TestWithParam<size_t> { };

    // Guards against a field that the codec omits, swaps or narrows, for each message type.
    TEST_P(WireProperty, RoundTripsForAnySplitIntoReads)
    {
        const auto property = [] {
            const Message message = arbitraryMessage(GetParam());
            const std::string payload = encode(message);
            RC_ASSERT(decode(payload) == message);

            std::string frames;
            RC_ASSERT(appendFrame(frames, message) == payload.size() + frameHeaderBytes);
            RC_ASSERT(frames == frameOf(payload));
            frames += frames;
            FrameReader reader;
            size_t frameCount = 0;
            for (size_t offset = 0; offset < frames.size();) {
                const size_t size = *rc::gen::inRange<size_t>(1, frames.size() + 1);
                reader.feed(std::string_view(frames).substr(offset, size));
                offset += size;
                while (const auto next = reader.next()) {
                    RC_ASSERT(*next == payload);
                    ++frameCount;
                }
            }
            RC_ASSERT(frameCount == 2U);
            RC_ASSERT(reader.bufferedBytes() == 0U);
        };
        const rc::detail::TestMetadata metadata { .id = messageTypeName(GetParam()), .description = "round trip" };
        const rc::detail::TestParams params { .seed = 20261204, .maxSuccess = 100 };
        const auto result = rc::detail::checkTestable(property, metadata, params);
        EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
    }

    // Guards against a decoder that accepts a truncated or altered message, or reads past its end.
    TEST_P(WireProperty, TruncatedAndAlteredPayloadsAreDecodeErrors)
    {
        const auto property = [] {
            const std::string payload = encode(arbitraryMessage(GetParam()));
            for (size_t size = 0; size < payload.size(); size += 1 + size / 16)
                EXPECT_THROW(decode(std::string_view(payload).substr(0, size)), Error);
            EXPECT_THROW(decode(payload + '\0'), Error);
            std::string altered = payload;
            altered[*rc::gen::inRange<size_t>(0, altered.size())] = *rc::gen::arbitrary<char>();
            try {
                decode(altered);
            } catch (const Error& error) {
                RC_ASSERT(error.step() == "decode");
            }
        };
        const rc::detail::TestMetadata metadata { .id = messageTypeName(GetParam()), .description = "altered" };
        const rc::detail::TestParams params { .seed = 4, .maxSuccess = 50 };
        const auto result = rc::detail::checkTestable(property, metadata, params);
        EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
    }

    INSTANTIATE_TEST_SUITE_P(AllTypes, WireProperty, testing::Range<size_t>(0, messageTypeCount),
        [](const auto& info) { return std::string(messageTypeName(info.param)); });

    // Returns a msgpack array of the values.
    template <typename... Values> std::string packArray(const Values&... values)
    {
        std::ostringstream out;
        msgpack::packer<std::ostringstream> packer(out);
        packer.pack_array(sizeof...(values));
        (packer.pack(values), ...);
        return out.str();
    }

    const auto pingType = static_cast<uint32_t>(Message(Ping {}).index());

    TEST(CodecTest, IgnoresTrailingUnknownFields)
    {
        EXPECT_EQ(
            decode(packArray(1, pingType, 7, "new", std::map<std::string, int> { { "a", 1 } })), Message(Ping { 7 }));
    }

    // Guards against a fleet whose nodes do not understand each other while a release is rolled out.
    TEST(CodecTest, ServerEntryOfAnEarlierReleaseHasNoHeartbeat)
    {
        const auto type = static_cast<uint32_t>(Message(SourceUpdate {}).index());
        const auto binary
            = [](const char* text) { return msgpack::type::raw_ref(text, static_cast<uint32_t>(std::strlen(text))); };
        const auto server
            = std::make_tuple("s1", 5, false, 7, "work", "z", std::make_tuple(binary("10.0.0.1"), 80), 4, false, 0);
        const auto message = decode(packArray(1, type, 1, binary(""), 5, std::vector { server }, 0));
        ASSERT_TRUE(message);
        const auto& update = std::get<SourceUpdate>(*message);
        ASSERT_EQ(update.servers.size(), 1u);
        EXPECT_EQ(update.servers.front().address, (Endpoint { "10.0.0.1", 80 }));
        EXPECT_FALSE(update.servers.front().knowsHeartbeat);
    }

    TEST(CodecTest, DistinguishesUnknownTypesFromMalformedMessages)
    {
        EXPECT_EQ(decode(packArray(1, messageTypeCount, "field")), std::nullopt);
        EXPECT_THROW(decode(packArray(1, "3", 7)), Error);
        EXPECT_THROW(decode(packArray(1)), Error);
        EXPECT_THROW(decode(packArray(1, pingType)), Error);
        EXPECT_THROW(decode(packArray(1, pingType, -7)), Error);
        EXPECT_THROW(decode(packArray(1, pingType, "7")), Error);
    }

    // A Hello of a future version must be readable, because it carries the versions that its sender supports.
    TEST(CodecTest, OnlyHelloMayHaveAnotherProtocolVersion)
    {
        EXPECT_EQ(decode(encode(Hello {}, 9)), Message(Hello {}));
        EXPECT_THROW(decode(encode(Ping {}, 9)), Error);
        EXPECT_THROW(decode(encode(Ping {}, 0)), Error);
    }

    // Guards against allocations by a declared size alone. Covers 4 billion elements, 4 GB of binary data, a nesting
    // depth of 64, and one element more than the bound.
    TEST(CodecTest, DeclaredSizesAreBounded)
    {
        EXPECT_THROW(decode(std::string("\xdd\xff\xff\xff\xff", 5)), Error);
        EXPECT_THROW(decode(std::string("\x93\x01\x01\xc6\xff\xff\xff\xff", 8)), Error);
        EXPECT_THROW(decode(std::string(64, '\x91')), Error);
        ConditionReportBatch batch;
        batch.reports.resize(64);
        EXPECT_EQ(decode(encode(batch)), Message(batch));
        const auto type = static_cast<uint32_t>(Message(batch).index());
        const auto report = std::make_tuple(std::string(), 0, 0, 0);
        EXPECT_NO_THROW(decode(packArray(1, type, std::vector(64, report))));
        EXPECT_THROW(decode(packArray(1, type, std::vector(65, report))), Error);
        batch.reports.resize(65);
        EXPECT_THROW(encode(batch), Error);
    }

    // Guards against heads that callers may send and that no message carries: their size is limited, and the number of
    // their fields only by it.
    TEST(CodecTest, LargestHeadsAreEncoded)
    {
        const HeaderList shortestFields(maxHeadBytes / minFieldBytes, { "a", "" });
        const std::string longest(maxHeadBytes, 'x');
        const std::vector<Message> messages { CallStart { .headers = shortestFields },
            CallStart { .requestId = RequestId(longest), .target = longest, .headers = { { "a", longest } } },
            AnswerStart { .headers = shortestFields }, AnswerStart { .headers = { { "a", longest } } } };
        for (const Message& message : messages) {
            std::string frame;
            ASSERT_NO_THROW(appendFrame(frame, message));
            const auto decoded = decode(std::string_view(frame).substr(frameHeaderBytes));
            ASSERT_TRUE(decoded.has_value());
            EXPECT_TRUE(*decoded == message);
        }
        HeaderList tooMany = shortestFields;
        tooMany.emplace_back("a", "");
        EXPECT_THROW(encode(CallStart { .headers = tooMany }), Error);
    }

    TEST(CodecTest, RejectsNumbersOutOfRange)
    {
        const auto type = static_cast<uint32_t>(Message(ConditionReportBatch {}).index());
        const auto reportsWithCondition
            = [](int condition) { return std::vector { std::make_tuple(std::string(), 0, condition, 0) }; };
        EXPECT_NO_THROW(decode(packArray(1, type, reportsWithCondition(3))));
        EXPECT_THROW(decode(packArray(1, type, reportsWithCondition(4))), Error);
        CallStart call { .worth = std::numeric_limits<double>::infinity() };
        EXPECT_THROW(decode(encode(call)), Error);
    }

    TEST(FrameTest, RejectsLengthsOutOfRangeBeforeThePayloadArrives)
    {
        FrameReader reader;
        reader.feed(std::string("\x00\x10\x00\x01", 4));
        EXPECT_THROW(reader.next(), Error);
        FrameReader zeroLengthReader;
        zeroLengthReader.feed(std::string(4, '\0'));
        EXPECT_THROW(zeroLengthReader.next(), Error);
        EXPECT_THROW(frameOf(std::string(maxFrameBytes + 1, 'x')), Error);

        std::string buffer = "kept";
        EXPECT_THROW(appendFrame(buffer, BodyChunk { .data = std::string(maxFrameBytes, 'x') }), Error);
        EXPECT_EQ(buffer, "kept");

        FrameReader largestFrameReader;
        largestFrameReader.feed(frameOf(std::string(maxFrameBytes, 'x')));
        ASSERT_TRUE(largestFrameReader.next().has_value());
    }

} // namespace
} // namespace skylark
