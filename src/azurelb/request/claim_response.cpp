#include <azurelb/http/problem_response.hpp>
#include <azurelb/request/claim_response.hpp>
#include <azurelb/request/claim_result.hpp>

namespace azurelb {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds retryDelay{1};

http_response storedResponse(const wire::claim &record)
{
    if (record.body_omitted())
        return problemResponse({http::status::conflict,
                                run_state::ran,
                                "answer-not-kept",
                                "the request ran; its response was too large to be stored",
                                {}});
    http_response response =
        jsonResponse(static_cast<http::status>(record.status()), record.body());
    response.set(http::field::content_type, record.content_type());
    response.set("Idempotency-Replayed", "true");
    return response;
}

} // namespace

http_response claimResponse(const claim_result &claim)
{
    switch (claim.state) {
    case claim_state::answered:
        return storedResponse(claim.record);
    case claim_state::in_flight:
        return problemResponse({http::status::conflict, run_state::unknown, "in-flight",
                                "a request with this Idempotency-Key is in flight, or its outcome "
                                "is unknown",
                                retryDelay});
    case claim_state::mismatch:
        return problemResponse({http::status::unprocessable_entity,
                                run_state::not_run,
                                "key-reused",
                                "this Idempotency-Key was used for a different request",
                                {}});
    case claim_state::claimed:
    case claim_state::unavailable:
        break;
    }
    return problemResponse({http::status::service_unavailable, run_state::not_run,
                            "claim-unavailable",
                            "the Idempotency-Key cannot be stored at the moment", retryDelay});
}

} // namespace azurelb
