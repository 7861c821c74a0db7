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
    {"status", "", 0, "", "what the fleet does now", showStatus},
    {"pool list", "", 0, "", "pools and their bounds", listPools},
    {"pool set", "POOL", 1, "--minimum --maximum --unavailable --spare",
     "creates a pool or changes the bounds given", setPool},
    {"pool remove", "POOL", 1, "", "removes a pool that nothing uses", removePool},
    {"queue list", "", 0, "", "classes of work and their targets", listQueues},
    {"queue set", "QUEUE", 1, "--pool --open --idempotent",
     "creates a queue or changes what is given", setQueue},
    {"queue remove", "QUEUE", 1, "", "removes a queue", removeQueue},
    {"target set", "QUEUE", 1, "--wait_ms --percentile", "states the wait that a queue may cost",
     setTarget},
    {"team list", "", 0, "", "teams, shares and limits", listTeams},
    {"team set", "TEAM", 1, "--share --limit", "creates a team or changes what is given", setTeam},
    {"team remove", "TEAM", 1, "", "removes a team without keys", removeTeam},
    {"key list", "", 0, "", "ids of the keys, never the keys", listKeys},
    {"key create", "TEAM", 1, "", "gives a team a new key and prints it, this once", createKey},
    {"key withdraw", "KEY-ID", 1, "", "makes a key stop working", withdrawKey},
    {"zone list", "", 0, "", "availability zones", listZones},
    {"zone out", "ZONE", 1, "--force", "takes a zone out of service", takeZoneOutOfService},
    {"zone in", "ZONE", 1, "", "brings a zone back", returnZoneToService},
    {"preference set", "", 0, "--weigh_share --weigh_outage --weigh_buffer --weigh_moves",
     "states what weighs most, each 0 to 10", setPreferences},
    {"wave list", "", 0, "", "maintenance waves and their progress", listWaves},
    {"wave start", "WAVE", 1, "--pools", "maintains every VM of the pools", startWave},
    {"wave resume", "WAVE", 1, "", "lets a wave go on that has paused itself", resumeWave},
    {"wave stop", "WAVE", 1, "", "starts no further VM of a wave", stopWave},
    {"move", "VM POOL", 2, "", "moves a VM, drained first", orderMove},
    {"vm list", "", 0, "", "VMs, pools and states", listVms},
    {"audit", "", 0, "--most", "changes, newest first", showAudit},
    {"submit", "QUEUE FILE", 2, "--idempotency_key", "sends a request and prints its answer",
     submitRequest},
};

/** Levenshtein's distance. */
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
    message << "'" << found.words << "' takes " << found.argumentCount << " word(s)";
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
    text << "azurelb COMMAND: states what a fleet shall do and shows what it does.\n\n";
    for (const command &each : commandTable) {
        text << "  azurelb " << each.words;
        if (!each.arguments.empty())
            text << ' ' << each.arguments;
        if (!each.flags.empty())
            text << " [" << each.flags << ']';
        text << "\n      " << each.summary << '\n';
    }
    text << "\nEvery command takes --server and --json. The operator's token comes in "
            "AZURELB_TOKEN,\na team's key for submit in AZURELB_KEY. Exit codes: 0 done, 1 "
            "refused, 2 wrong command\nline, 3 no daemon answers, 4 outcome unknown.\n";
    return text.str();
}

} // namespace azurelb::cli
