#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace azurelb::cli {

/** Text table with aligned columns. */
class table
{
public:
    using value_type = std::vector<std::string>;

    /** The header determines the number of columns. */
    explicit table(value_type header);

    /** Adds a row. Precondition: it has as many cells as the header. */
    void addRow(value_type row);

    void print(std::ostream &out) const;

private:
    std::vector<value_type> m_rows;
};

} // namespace azurelb::cli
