#pragma once

#include "world.hpp"

#include <array>
#include <string_view>

namespace standin {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

int runExpiredJobs(bool withTrouble);
int runWaitingGangs(bool withTrouble);
int runLateCounts(bool withTrouble);
int runLargeJob(bool withTrouble);
int runForgottenExecutor(bool withTrouble);

struct case_entry
{
    std::string_view name;
    int (*run)(bool withTrouble);
};

inline constexpr std::array<case_entry, 5> allCases{{{"expired-jobs", runExpiredJobs},
                                                       {"waiting-gangs", runWaitingGangs},
                                                       {"late-counts", runLateCounts},
                                                       {"large-job", runLargeJob},
                                                       {"forgotten-executor", runForgottenExecutor}}};

} // namespace standin
