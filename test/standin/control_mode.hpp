#pragma once

#include "mode.hpp"

#include <vector>

namespace azurelb::standin {

/**
 * Control of all listening addresses from a port of its own, which no fault closes. A path such
 * as "fault" goes to the first address, "fault/2" to the third, "fault/all" to each of them.
 */
class control_mode final : public mode
{
public:
    explicit control_mode(std::vector<mode *> controlled)
        : m_controlled{std::move(controlled)}
    { }

    void answer(const request &req, answer_handler done) override;

    [[nodiscard]] response control(std::string_view path, const request &req) override;

private:
    std::vector<mode *> m_controlled;
};

} // namespace azurelb::standin
