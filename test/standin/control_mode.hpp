#pragma once

#include "mode.hpp"

#include <vector>

namespace azurelb::standin {

/**
 * Controls all listening addresses from a separate port that faults do not affect. The path
 * "fault" addresses the first one, "fault/2" the third and "fault/all" all of them.
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
