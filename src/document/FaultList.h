// Collects up to maxFaults faults of a document and drops further ones.
#pragma once

#include "document/Builder.h"

namespace skylark {

class FaultList {
public:
    bool isEmpty() const { return m_faults.empty(); }
    bool isFull() const { return m_faults.size() >= maxFaults; }
    size_t size() const { return m_faults.size(); }

    void add(const SectionName& section, std::string pointer, std::string found, std::string allowed)
    {
        if (!isFull())
            m_faults.push_back({ section, std::move(pointer), std::move(found), std::move(allowed) });
    }
    // Returns the faults ordered by section. Faults of one section stay in the order in which they were added.
    std::vector<Fault> takeSorted();

private:
    std::vector<Fault> m_faults;
};

// Returns the text as a JSON string in ASCII, truncated to about 80 bytes, so that any log or frame can contain it.
std::string quotedExcerpt(std::string_view text);

// Appends a token to a JSON pointer, escaped as in RFC 6901. A long token is truncated.
std::string childPointer(const std::string& pointer, std::string_view token);
std::string childPointer(const std::string& pointer, size_t index);

} // namespace skylark
