// Plays the cases of the review: review_standin CASE PROGRAM FOLDER RECORD. The variable TROUBLE
// is 0 for the same without the disruption. Exit codes: 1 the rule was broken, 0 it held, 2 the
// case couldn't run.
#include "cases.hpp"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <map>

int main(int argc, char **argv)
{
    using namespace review;
    constexpr int couldNotRun = 2;
    if (argc < 5)
        return couldNotRun;
    const std::map<std::string, scenario> cases{{"many-ends", &playManyEnds},
                                                {"forgotten-job", &playForgottenJob},
                                                {"forgotten-job-before", &playForgottenJobBefore},
                                                {"late-write", &playLateWrite},
                                                {"quick-restart", &playQuickRestart},
                                                {"waiting-orders", &playWaitingOrders},
                                                {"newer-configuration", &playNewerConfiguration}};
    const auto found = cases.find(argv[1]);
    if (found == cases.end())
        return couldNotRun;
    openRecord(argv[4]);
    const char *const trouble = std::getenv("TROUBLE");
    const bool troubled = !trouble || std::strcmp(trouble, "0") != 0;
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop{1};
    int result = couldNotRun;
    {
        world all{loop, argv[2], argv[3]};
        bool over = false;
        boost::asio::co_spawn(loop, found->second(all, troubled),
                              [&](const std::exception_ptr &failure, int code) {
                                  result = failure ? couldNotRun : code;
                                  over = true;
                              });
        const auto latest = clock_type::now() + std::chrono::seconds{110};
        while (!over && clock_type::now() < latest)
            loop.run_one_for(std::chrono::milliseconds{100});
        if (!over)
            record("the case took too long");
        record("%s",
               result == 0       ? "the rule held"
                   : result == 1 ? "THE RULE WAS BROKEN"
                                 : "the case could not run");
    }
    std::_Exit(result);
}
