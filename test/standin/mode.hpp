#pragma once

#include "fault.pb.h"
#include "http_types.hpp"

#include <functional>
#include <string_view>

namespace azurelb::standin {

/** What one listening address plays: answers requests and keeps the faults and counters. */
class mode
{
public:
    using observer = std::function<void()>;
    using answer_handler = std::function<void(response)>;

    mode() = default;
    mode(const mode &) = delete;
    mode &operator=(const mode &) = delete;
    virtual ~mode() = default;

    /** Runs one request, which stays valid until the answer is given, and answers it. */
    virtual void answer(const request &req, answer_handler done) = 0;

    /** Answers a request for that path under /_standin/; no fault touches it. */
    [[nodiscard]] virtual response control(std::string_view path, const request &req);

    /** Sets what is called after the faults have been set anew. */
    void observe(observer changed) { m_changed = std::move(changed); }

    [[nodiscard]] wire::standin::fault &fault() noexcept { return m_fault; }
    [[nodiscard]] wire::standin::status &status() noexcept { return m_status; }

    /** The latest answer to another request, for answers that are crossed. */
    [[nodiscard]] response &previous() noexcept { return m_previous; }

private:
    [[nodiscard]] response setFault(const request &req);

    /** Called after the faults have been set anew, before the observer. */
    virtual void faultChanged() { }

    wire::standin::fault m_fault;
    wire::standin::status m_status;
    observer m_changed;
    response m_previous;
};

/** Prefix of the paths that control a stand-in. */
inline constexpr std::string_view controlPrefix{"/_standin/"};

} // namespace azurelb::standin
