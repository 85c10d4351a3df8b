// Collects the faults of a document, up to maxFaults; further ones are dropped.
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
    // Ordered by section; the faults of one section stay in the order in which they were added.
    std::vector<Fault> takeSorted();

private:
    std::vector<Fault> m_faults;
};

// The text in quotes as JSON in ASCII, cut to about 80 bytes, so that it can go into any log or frame.
std::string quotedExcerpt(std::string_view text);

// The pointer with one more token, escaped by RFC 6901. A long token is cut.
std::string childPointer(const std::string& pointer, std::string_view token);
std::string childPointer(const std::string& pointer, size_t index);

} // namespace skylark
