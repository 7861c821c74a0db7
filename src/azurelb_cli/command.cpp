#include <azurelb_cli/change_commands.hpp>
#include <azurelb_cli/command.hpp>
#include <azurelb_cli/command_error.hpp>
#include <azurelb_cli/read_commands.hpp>

#include <algorithm>
#include <numeric>
#include <sstream>

namespace azurelb::cli {

namespace {

constexpr command commandTable[]{
    {"status", "", 0, "", "shows the current state of the fleet", showStatus},
    {"pool list", "", 0, "", "lists pools and their bounds", listPools},
    {"pool set", "POOL", 1, "--minimum --maximum --unavailable --spare",
     "creates a pool or changes the given bounds", setPool},
    {"pool remove", "POOL", 1, "", "removes a pool that nothing uses", removePool},
    {"queue list", "", 0, "", "lists queues and their targets", listQueues},
    {"queue set", "QUEUE", 1, "--pool --open --idempotent",
     "creates a queue or changes the given properties", setQueue},
    {"queue remove", "QUEUE", 1, "", "removes a queue", removeQueue},
    {"target set", "QUEUE", 1, "--wait_ms --percentile",
     "sets the target for the waiting time in a queue", setTarget},
    {"team list", "", 0, "", "lists teams, shares and limits", listTeams},
    {"team set", "TEAM", 1, "--share --limit", "creates a team or changes the given properties",
     setTeam},
    {"team remove", "TEAM", 1, "", "removes a team without keys", removeTeam},
    {"key list", "", 0, "", "lists the ids of the keys; the keys are never shown", listKeys},
    {"key create", "TEAM", 1, "", "creates a key for a team and prints it; it is not shown again",
     createKey},
    {"key withdraw", "KEY-ID", 1, "", "revokes a key", withdrawKey},
    {"zone list", "", 0, "", "lists availability zones", listZones},
    {"zone out", "ZONE", 1, "--force", "takes a zone out of service", takeZoneOutOfService},
    {"zone in", "ZONE", 1, "", "returns a zone to service", returnZoneToService},
    {"preference set", "", 0, "--weigh_share --weigh_outage --weigh_buffer --weigh_moves",
     "sets the weight of each goal, 0 to 10", setPreferences},
    {"wave list", "", 0, "", "lists maintenance waves and their progress", listWaves},
    {"wave start", "WAVE", 1, "--pools", "starts a wave that maintains every VM of the pools",
     startWave},
    {"wave resume", "WAVE", 1, "", "resumes a wave that was paused automatically", resumeWave},
    {"wave stop", "WAVE", 1, "", "stops a wave; it takes no further VM out of service", stopWave},
    {"move", "VM POOL", 2, "", "drains a VM and moves it to a pool", orderMove},
    {"vm list", "", 0, "", "lists VMs, pools and states", listVms},
    {"audit", "", 0, "--most", "lists changes, newest first", showAudit},
    {"submit", "QUEUE FILE", 2, "--idempotency_key", "sends a request and prints the response",
     submitRequest},
};

/** Levenshtein distance. */
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

std::size_t wordCount(const command &each)
{
    return static_cast<std::size_t>(std::count(each.words.begin(), each.words.end(), ' ')) + 1;
}

std::string firstWords(const command_words &words, std::size_t count)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(count, words.size()); ++index)
        text += (index > 0 ? " " : "") + words[index];
    return text;
}

std::string_view nearestCommand(const command_words &words)
{
    const auto distance = [&words](const command &each) {
        return editDistance(firstWords(words, wordCount(each)), each.words);
    };
    const auto closer = [&distance](const command &left, const command &right) {
        return distance(left) < distance(right);
    };
    return std::min_element(std::begin(commandTable), std::end(commandTable), closer)->words;
}

void checkArguments(const command &found, const command_words &words)
{
    const std::size_t given = words.size() - wordCount(found);
    if (given == found.argumentCount)
        return;
    std::ostringstream message;
    message << "'" << found.words << "' takes " << found.argumentCount << " argument(s)";
    if (!found.arguments.empty())
        message << ": " << found.arguments;
    message << "; " << given << " given";
    throw command_error{exit_code::usage, message.str()};
}

} // namespace

std::span<const command> commands() noexcept
{
    return commandTable;
}

const command &findCommand(const command_words &words)
{
    if (words.empty())
        throw command_error{exit_code::usage, "no command given; see azurelb --help"};
    const auto matches = [&words](const command &each) {
        return firstWords(words, wordCount(each)) == each.words;
    };
    const auto *const found =
        std::find_if(std::begin(commandTable), std::end(commandTable), matches);
    if (found == std::end(commandTable))
        throw command_error{exit_code::usage,
                            "there is no command '" + firstWords(words, 2) + "'; did you mean '"
                                + std::string{nearestCommand(words)} + "'? See azurelb --help"};
    checkArguments(*found, words);
    return *found;
}

std::string usageText()
{
    std::ostringstream text;
    text << "azurelb COMMAND: configures a fleet and shows its state.\n\n";
    for (const command &each : commandTable) {
        text << "  azurelb " << each.words;
        if (!each.arguments.empty())
            text << ' ' << each.arguments;
        if (!each.flags.empty())
            text << " [" << each.flags << ']';
        text << "\n      " << each.summary << '\n';
    }
    text << "\nEvery command takes --server and --json. The operator's token is read from "
            "AZURELB_TOKEN,\na team's key for submit in AZURELB_KEY. Exit codes: 0 done, 1 "
            "refused, 2 wrong command\nline, 3 no daemon answers, 4 outcome unknown.\n";
    return text.str();
}

} // namespace azurelb::cli
