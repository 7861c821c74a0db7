#pragma once

#include <azurelb_cli/fwd.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb::cli {

/** Words of the command line without flags: a command's words or its arguments. */
using command_words = std::vector<std::string>;

/** One command of the program. */
struct command
{
    /** Words that select the command, such as "team set". */
    std::string_view words;
    /** Names of the arguments for the help text, such as "TEAM". */
    std::string_view arguments;
    std::size_t argumentCount;
    /** Flags that the command reads, for the help text. */
    std::string_view flags;
    std::string_view summary;
    /** Runs the command and prints the result. Throws command_error. */
    void (*run)(const daemon_client &client, const command_words &arguments);
};

/** All commands, in the order of the help text. */
[[nodiscard]] std::span<const command> commands() noexcept;

/**
 * The command that the words begin with. Throws command_error with exit_code::usage if there is
 * none, with the most similar command in the message, or if the number of arguments is wrong.
 */
[[nodiscard]] const command &findCommand(const command_words &words);

/** The help text for --help. */
[[nodiscard]] std::string usageText();

} // namespace azurelb::cli
