#include "base/Error.h"

namespace skylark {

namespace {

    std::string joinDetails(const ErrorDetails& details)
    {
        std::string text = details.step + ": " + details.message;
        if (!details.peer.empty())
            text += " (peer " + details.peer + ")";
        if (!details.advice.empty())
            text += "; " + details.advice;
        return text;
    }

} // namespace

Error::Error(ErrorDetails details)
    : std::runtime_error(joinDetails(details))
    , m_details(std::move(details))
{
}

} // namespace skylark
