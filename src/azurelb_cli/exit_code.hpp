#pragma once

namespace azurelb::cli {

/** Exit codes of the program, for scripts. */
enum class exit_code : int {
    done = 0,
    /** Refused; nothing was changed and nothing ran. */
    refused = 1,
    /** The command line is wrong; nothing was sent. */
    usage = 2,
    /** No daemon could be reached; nothing was changed and nothing ran. */
    unreachable = 3,
    /** The change or the request may or may not have taken effect. */
    unknown = 4
};

} // namespace azurelb::cli
