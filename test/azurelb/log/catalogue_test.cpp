#include <azurelb/log/event_entry.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace azurelb;

std::string catalogueRow(const event_entry &entry)
{
    std::ostringstream row;
    row << "| " << static_cast<int>(entry.id) << " | " << entry.name << " | "
        << toString(entry.level) << " |";
    return row.str();
}

std::vector<std::string> documentedRows()
{
    std::ifstream page{AZURELB_SOURCE "/docs/EVENTS.md"};
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("| ") && line.size() > 2 && std::isdigit(line[2]))
            rows.push_back(line);
    }
    return rows;
}

class catalogue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_test);
    CPPUNIT_TEST(everyEventIsDocumented);
    CPPUNIT_TEST(nothingElseIsDocumented);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyEventIsDocumented()
    {
        const auto rows = documentedRows();
        CPPUNIT_ASSERT_EQUAL(eventCatalogue().size(), rows.size());
        for (std::size_t index = 0; index < rows.size(); ++index) {
            const std::string expected = catalogueRow(eventCatalogue()[index]);
            CPPUNIT_ASSERT_EQUAL(expected, rows[index].substr(0, expected.size()));
        }
    }

    void nothingElseIsDocumented()
    {
        CPPUNIT_ASSERT_EQUAL(eventCatalogue().size(), documentedRows().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_test);

} // namespace
