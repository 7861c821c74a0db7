#pragma once

#include <azurelb_cli/exit_code.hpp>

#include <stdexcept>
#include <string>

namespace azurelb::cli {

/** Failure of a command: a message for the user and the exit code of the program. */
class command_error : public std::runtime_error
{
public:
    command_error(exit_code code, const std::string &message)
        : std::runtime_error{message}
        , m_code{code}
    { }

    [[nodiscard]] exit_code code() const noexcept { return m_code; }

private:
    exit_code m_code;
};

} // namespace azurelb::cli
