#include "cases.hpp"

#include <boost/json/src.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

/** Runs one case: review_standin_3 CASE FOLDER. */
int main(int argc, char **argv)
{
    using namespace review;
    const std::map<std::string, case_run> cases{
        {"cancelled-before-frozen-submission", &cancelledBeforeFrozenSubmission},
        {"overdue-occurrences", &overdueOccurrences},
        {"gang-without-room", &gangWithoutRoom},
        {"gang-after-crash", &gangAfterCrash},
        {"wave-of-new-machine", &waveOfNewMachine},
    };
    if (argc != 3 || !cases.contains(argv[1])) {
        std::cerr << "usage: review_standin_3 CASE FOLDER\n";
        return static_cast<int>(verdict::not_run);
    }
    const char *const setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::string{setting} != "0";
    verdict outcome = verdict::not_run;
    try {
        asio::io_context loop;
        world in{loop, argv[2]};
        asio::co_spawn(loop, cases.at(argv[1])(in, trouble),
                       [&](std::exception_ptr failure, verdict reached) {
                           if (!failure)
                               outcome = reached;
                           loop.stop();
                       });
        loop.run();
        in.record("verdict: " + std::to_string(static_cast<int>(outcome)));
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
    }
    std::cout << "verdict " << static_cast<int>(outcome) << '\n';
    return static_cast<int>(outcome);
}
