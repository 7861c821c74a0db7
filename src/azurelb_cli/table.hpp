#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace azurelb::cli {

/** Rows of text in aligned columns, for people. */
class table
{
public:
    using value_type = std::vector<std::string>;

    /** The head fixes the number of columns. */
    explicit table(value_type header);

    /** Adds a row with as many cells as the head. */
    void addRow(value_type row);

    void print(std::ostream &out) const;

private:
    std::vector<value_type> m_rows;
};

} // namespace azurelb::cli
