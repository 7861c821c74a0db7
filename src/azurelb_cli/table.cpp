#include <azurelb_cli/table.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace azurelb::cli {

table::table(value_type header)
{
    m_rows.push_back(std::move(header));
}

void table::addRow(value_type row)
{
    m_rows.push_back(std::move(row));
}

void table::print(std::ostream &out) const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const value_type &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const value_type &row : m_rows) {
        for (std::size_t column = 0; column + 1 < row.size(); ++column)
            out << std::left << std::setw(static_cast<int>(widths[column] + gap)) << row[column];
        out << row.back() << '\n';
    }
}

} // namespace azurelb::cli
