#include "document/StrictJson.h"

namespace skylark {

namespace {

    using Json = nlohmann::json;

    // Builds the value from SAX events.
    class StrictSaxHandler final : public nlohmann::json_sax<Json> {
    public:
        StrictSaxHandler(const SectionName& section, FaultList& faults)
            : m_section(section)
            , m_faults(faults)
        {
        }

        Json takeRoot() { return std::move(m_root); }

        bool null() override { return addScalar(nullptr); }
        bool boolean(bool value) override { return addScalar(value); }
        bool number_integer(Json::number_integer_t value) override { return addScalar(value); }
        bool number_unsigned(Json::number_unsigned_t value) override { return addScalar(value); }
        bool number_float(Json::number_float_t value, const Json::string_t&) override { return addScalar(value); }
        bool string(Json::string_t& value) override { return addScalar(std::move(value)); }
        bool binary(Json::binary_t&) override { return false; }
        bool start_object(size_t) override { return openContainer(Json::object()); }
        bool end_object() override { return closeContainer(); }
        bool start_array(size_t) override { return openContainer(Json::array()); }
        bool end_array() override { return closeContainer(); }

        bool key(Json::string_t& name) override
        {
            Level& level = m_levels.back();
            level.key = std::move(name);
            level.isDuplicateKey = level.container->contains(level.key);
            if (level.isDuplicateKey && !m_faults.isFull())
                m_faults.add(m_section, pointer(), "a duplicate key", "each key once in an object");
            return true;
        }

        bool parse_error(size_t, const std::string&, const Json::exception& error) override
        {
            m_faults.add(m_section, "", parserMessage(error.what()), "a complete JSON text in UTF-8");
            return false;
        }

    private:
        struct Level {
            Json* container;
            std::string key {};
            bool isDuplicateKey { false };
        };

        bool addScalar(Json value)
        {
            insertValue(std::move(value));
            return true;
        }

        // Inserts the value into the innermost open container. A value under a duplicate key is kept in m_discarded.
        Json* insertValue(Json value)
        {
            if (m_levels.empty()) {
                m_root = std::move(value);
                return &m_root;
            }
            Level& level = m_levels.back();
            if (level.container->is_array()) {
                level.container->push_back(std::move(value));
                return &level.container->back();
            }
            if (level.isDuplicateKey) {
                m_discarded.push_back(std::make_unique<Json>(std::move(value)));
                return m_discarded.back().get();
            }
            return &((*level.container)[level.key] = std::move(value));
        }

        bool openContainer(Json container)
        {
            Json* const inserted = insertValue(std::move(container));
            if (m_levels.size() < maxNesting) {
                m_levels.push_back({ .container = inserted });
                return true;
            }
            m_faults.add(m_section, pointer(), "nesting of more than " + std::to_string(maxNesting) + " levels",
                "at most " + std::to_string(maxNesting) + " levels");
            return false;
        }

        bool closeContainer()
        {
            m_levels.pop_back();
            return true;
        }

        std::string pointer() const
        {
            std::string result;
            for (const Level& level : m_levels) {
                if (level.container->is_object())
                    result = childPointer(result, level.key);
                else
                    result = childPointer(result, level.container->empty() ? 0 : level.container->size() - 1);
            }
            return result;
        }

        // Returns the parser's message without its prefix and without the bytes last read, which may be long.
        static std::string parserMessage(std::string_view message)
        {
            if (const size_t prefix = message.find("] "); prefix != std::string_view::npos)
                message.remove_prefix(prefix + 2);
            message = message.substr(0, message.find("; last read"));
            std::string result;
            constexpr size_t maxShownBytes = 200;
            for (const char character : message.substr(0, maxShownBytes))
                result += character >= ' ' && character <= '~' ? character : '?';
            return result;
        }

        const SectionName& m_section;
        FaultList& m_faults;
        Json m_root;
        std::vector<Level> m_levels;
        // Values under duplicate keys. They must stay alive while their content is parsed.
        std::vector<std::unique_ptr<Json>> m_discarded;
    };

} // namespace

std::optional<Json> parseStrictJson(
    std::string_view text, size_t maxBytes, const SectionName& section, FaultList& faults)
{
    if (text.empty() || text.size() > maxBytes) {
        faults.add(section, "", std::to_string(text.size()) + " bytes",
            "a JSON text of 1 to " + std::to_string(maxBytes) + " bytes");
        return std::nullopt;
    }
    // The parser skips a byte order mark. Accepting it would allow two digests for the same content.
    if (text.front() == '\xEF') {
        faults.add(section, "", "a byte order mark or other text before the value", "a complete JSON text in UTF-8");
        return std::nullopt;
    }
    StrictSaxHandler handler(section, faults);
    if (!Json::sax_parse(text.begin(), text.end(), &handler))
        return std::nullopt;
    return handler.takeRoot();
}

} // namespace skylark
