#include "document/StrictJson.h"

namespace skylark {

namespace {

    using Json = nlohmann::json;

    // Builds the value from the events of the parser.
    class StrictHandler final : public nlohmann::json_sax<Json> {
    public:
        StrictHandler(const SectionName& section, FaultList& faults)
            : m_section(section)
            , m_faults(faults)
        {
        }

        Json takeRoot() { return std::move(m_root); }

        bool null() override { return add(nullptr); }
        bool boolean(bool value) override { return add(value); }
        bool number_integer(Json::number_integer_t value) override { return add(value); }
        bool number_unsigned(Json::number_unsigned_t value) override { return add(value); }
        bool number_float(Json::number_float_t value, const Json::string_t&) override { return add(value); }
        bool string(Json::string_t& value) override { return add(std::move(value)); }
        bool binary(Json::binary_t&) override { return false; }
        bool start_object(size_t) override { return open(Json::object()); }
        bool end_object() override { return close(); }
        bool start_array(size_t) override { return open(Json::array()); }
        bool end_array() override { return close(); }

        bool key(Json::string_t& name) override
        {
            Level& level = m_levels.back();
            level.key = std::move(name);
            level.isDuplicate = level.container->contains(level.key);
            if (level.isDuplicate && !m_faults.isFull())
                m_faults.add(m_section, pointer(), "the key a second time", "each key once in an object");
            return true;
        }

        bool parse_error(size_t, const std::string&, const Json::exception& error) override
        {
            m_faults.add(m_section, "", reasonOf(error.what()), "a complete JSON text in UTF-8");
            return false;
        }

    private:
        struct Level {
            Json* container;
            std::string key {};
            bool isDuplicate { false };
        };

        bool add(Json value)
        {
            place(std::move(value));
            return true;
        }

        // Puts the value where the text has it; a value under a duplicate key is set aside.
        Json* place(Json value)
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
            if (level.isDuplicate) {
                m_discarded.push_back(std::make_unique<Json>(std::move(value)));
                return m_discarded.back().get();
            }
            return &((*level.container)[level.key] = std::move(value));
        }

        bool open(Json container)
        {
            Json* const placed = place(std::move(container));
            if (m_levels.size() < mostNesting) {
                m_levels.push_back({ .container = placed });
                return true;
            }
            m_faults.add(m_section, pointer(), "nesting of more than " + std::to_string(mostNesting) + " levels",
                "at most " + std::to_string(mostNesting) + " levels");
            return false;
        }

        bool close()
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

        // The parser's reason without its prefix and without the bytes that it read, which may be long.
        static std::string reasonOf(std::string_view what)
        {
            if (const size_t prefix = what.find("] "); prefix != std::string_view::npos)
                what.remove_prefix(prefix + 2);
            what = what.substr(0, what.find("; last read"));
            std::string reason;
            constexpr size_t mostShown = 200;
            for (const char character : what.substr(0, mostShown))
                reason += character >= ' ' && character <= '~' ? character : '?';
            return reason;
        }

        const SectionName& m_section;
        FaultList& m_faults;
        Json m_root;
        std::vector<Level> m_levels;
        // Containers under duplicate keys, kept while their content is read.
        std::vector<std::unique_ptr<Json>> m_discarded;
    };

} // namespace

std::optional<Json> parseStrictJson(
    std::string_view text, size_t mostBytes, const SectionName& section, FaultList& faults)
{
    if (text.empty() || text.size() > mostBytes) {
        faults.add(section, "", std::to_string(text.size()) + " bytes",
            "a JSON text of 1 to " + std::to_string(mostBytes) + " bytes");
        return std::nullopt;
    }
    // The parser skips a byte order mark; here it would give one content two digests.
    if (text.front() == '\xEF') {
        faults.add(section, "", "a byte order mark or other text before the value", "a complete JSON text in UTF-8");
        return std::nullopt;
    }
    StrictHandler handler(section, faults);
    if (!Json::sax_parse(text.begin(), text.end(), &handler))
        return std::nullopt;
    return handler.takeRoot();
}

} // namespace skylark
