#include "document/FaultList.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylark {

std::string describe(const Fault& fault)
{
    return "section " + fault.section.value() + (fault.pointer.empty() ? "" : ", " + fault.pointer) + ": found "
        + fault.found + "; expected " + fault.allowed;
}

std::vector<Fault> FaultList::takeSorted()
{
    std::stable_sort(m_faults.begin(), m_faults.end(),
        [](const Fault& left, const Fault& right) { return left.section < right.section; });
    return std::move(m_faults);
}

std::string quotedExcerpt(std::string_view text)
{
    constexpr size_t maxShownBytes = 80;
    const bool isTruncated = text.size() > maxShownBytes;
    std::string shown
        = nlohmann::json(text.substr(0, maxShownBytes)).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return isTruncated ? shown + "..." : shown;
}

std::string childPointer(const std::string& pointer, std::string_view token)
{
    constexpr size_t maxShownBytes = 64;
    std::string result = pointer + '/';
    for (const char character : token.substr(0, maxShownBytes)) {
        if (character == '~')
            result += "~0";
        else if (character == '/')
            result += "~1";
        else if (character >= ' ' && character <= '~')
            result += character;
        else
            result += '?';
    }
    return token.size() > maxShownBytes ? result + "..." : result;
}

std::string childPointer(const std::string& pointer, size_t index) { return pointer + '/' + std::to_string(index); }

} // namespace skylark
