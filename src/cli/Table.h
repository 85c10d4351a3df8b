// Prints text in aligned columns for a terminal.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace skylark {

class Table {
public:
    explicit Table(std::vector<std::string> headings);

    // The row must have one cell for each heading. Control characters are replaced by '?', since the text may come from
    // another machine and must not send escape sequences to the operator's terminal.
    void add(std::vector<std::string> row);
    bool isEmpty() const { return m_rows.size() == 1; }
    void print(std::ostream& out) const;

private:
    // The first row holds the headings.
    std::vector<std::vector<std::string>> m_rows;
    std::vector<size_t> m_widths;
};

// Replaces each control character by '?'.
std::string printable(std::string text);

} // namespace skylark
