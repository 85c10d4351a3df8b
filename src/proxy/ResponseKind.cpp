#include "proxy/ResponseKind.h"

namespace skylark {

namespace {

    constexpr int statusRequestTimeout = 408;
    constexpr int statusMisdirected = 421;
    constexpr int statusTooManyRequests = 429;
    constexpr int statusUnavailable = 503;

    bool meansNotRunToCallers(int status)
    {
        return status == statusRequestTimeout || status == statusMisdirected || status == statusTooManyRequests
            || status == statusUnavailable;
    }

} // namespace

bool statesNotExecuted(const HttpResponse& response, const HttpConventions& httpConventions)
{
    return response.status == statusMisdirected || findHeader(response.headers, httpConventions.notExecuted);
}

ResponseKind classifyResponse(const HttpResponse& response, const HttpConventions& httpConventions)
{
    if (statesNotExecuted(response, httpConventions))
        return ResponseKind::NotExecuted;
    if (meansNotRunToCallers(response.status))
        return ResponseKind::AmbiguousRefusal;
    if (!isSuccessStatus(response.status))
        return ResponseKind::Failure;
    return findHeader(response.headers, httpConventions.proof) ? ResponseKind::Success : ResponseKind::UnprovenSuccess;
}

} // namespace skylark
