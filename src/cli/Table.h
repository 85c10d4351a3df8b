// Aligned columns of text for a terminal.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace skylark {

class Table {
public:
    explicit Table(std::vector<std::string> headings);

    // A row has as many cells as there are headings. Control characters are shown as '?', since the text may
    // come from another machine and must not steer the operator's terminal.
    void add(std::vector<std::string> row);
    bool isEmpty() const { return m_rows.size() == 1; }
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
    std::vector<size_t> m_widths;
};

// The text with '?' for each control character.
std::string printable(std::string text);

} // namespace skylark
