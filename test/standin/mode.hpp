#pragma once

#include "fault.pb.h"
#include "http_types.hpp"

#include <functional>
#include <string_view>

namespace azurelb::standin {

/** Simulated service behind one address; answers requests and holds the faults and counters. */
class mode
{
public:
    using observer = std::function<void()>;
    using answer_handler = std::function<void(response)>;

    mode() = default;
    mode(const mode &) = delete;
    mode &operator=(const mode &) = delete;
    virtual ~mode() = default;

    /** Processes one request. The request stays valid until done is called with the answer. */
    virtual void answer(const request &req, answer_handler done) = 0;

    /** Answers a control request; path is relative to /_standin/. Faults do not affect it. */
    [[nodiscard]] virtual response control(std::string_view path, const request &req);

    /** Sets the callback that is called after the faults have been replaced. */
    void observe(observer changed) { m_changed = std::move(changed); }

    [[nodiscard]] wire::standin::fault &fault() noexcept { return m_fault; }
    [[nodiscard]] wire::standin::status &status() noexcept { return m_status; }

    /** Answer to the previous request; the fault "crossed" sends it instead of the current one. */
    [[nodiscard]] response &previous() noexcept { return m_previous; }

private:
    [[nodiscard]] response setFault(const request &req);

    /** Called after the faults have been replaced, before the observer. */
    virtual void faultChanged() { }

    wire::standin::fault m_fault;
    wire::standin::status m_status;
    observer m_changed;
    response m_previous;
};

/** Prefix of the control paths. */
inline constexpr std::string_view controlPrefix{"/_standin/"};

} // namespace azurelb::standin
