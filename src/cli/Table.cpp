#include "cli/Table.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return static_cast<unsigned char>(character) < ' ' || character == '\x7f'; }, '?');
    return text;
}

Table::Table(std::vector<std::string> headings)
    : m_widths(headings.size())
{
    add(std::move(headings));
}

void Table::add(std::vector<std::string> row)
{
    invariant(row.size() == m_widths.size(), { .rule = "a row has one cell for each column", .step = "print-table" });
    for (size_t column = 0; column < row.size(); ++column) {
        row[column] = printable(std::move(row[column]));
        m_widths[column] = std::max(m_widths[column], row[column].size());
    }
    m_rows.push_back(std::move(row));
}

void Table::print(std::ostream& out) const
{
    for (const std::vector<std::string>& row : m_rows) {
        std::string line;
        for (size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(m_widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace skylark
