#pragma once

#include <azurelb_cli/fwd.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb::cli {

/** The words after a command's own. */
using command_words = std::vector<std::string>;

/** One command of the program. */
struct command
{
    /** Its words, such as "team set". */
    std::string_view words;
    /** Names of the words that follow, such as "TEAM". */
    std::string_view arguments;
    std::size_t argumentCount;
    /** Flags that it takes, for the help. */
    std::string_view flags;
    std::string_view summary;
    /** Does it and prints the result. Throws command_error. */
    void (*run)(const daemon_client &client, const command_words &arguments);
};

/** All commands, in the order of the help. */
[[nodiscard]] std::span<const command> commands() noexcept;

/**
 * The command that the words begin with. Throws command_error with usage, naming the nearest
 * command, if there is none or the number of arguments is wrong.
 */
[[nodiscard]] const command &findCommand(const command_words &words);

/** The help text with all commands. */
[[nodiscard]] std::string usageText();

} // namespace azurelb::cli
