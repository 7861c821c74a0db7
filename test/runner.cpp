#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <fstream>
#include <iostream>
#include <string>

/**
 * Runs all registered suites, or the tests at the path given as first argument. The results are
 * also written to last-<module>.log in the working directory, from which tools/check reads the
 * failed cases; the file is empty if the runner did not finish.
 */
int main(int argc, char **argv)
{
    const std::string program{argv[0]};
    const std::string module = program.substr(program.rfind("test_") + std::string{"test_"}.size());
    std::ofstream results{"last-" + module + ".log"};

    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");

    CppUnit::CompilerOutputter outputter{&collector, std::cerr};
    outputter.write();
    CppUnit::CompilerOutputter recorder{&collector, results};
    recorder.write();
    return collector.wasSuccessful() ? 0 : 1;
}
