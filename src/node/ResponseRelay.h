// Forwards the request and response bodies of one call between the peer's stream and the backend server.
//
// A response of up to maxBufferedBytes is buffered and sent as one message. A larger one, including one of unknown
// length that grows beyond the limit, is streamed; the flow-control window of the transport then slows the backend
// server down to the rate at which the caller reads.
#pragma once

#include "node/BackendClient.h"
#include "transport/CallStream.h"

namespace skylark {

class ResponseRelay {
public:
    // The stream must outlive the relay.
    ResponseRelay(ServerStream& stream, TimePoint deadline, std::function<LoadHint()> load);

    BackendRequest request();
    BackendResponseSink sink();
    // True if the backend server shed the call.
    bool isShed() const { return m_response.status == 503; }

    // Ends a complete response: sends the buffered response, or the end of a streamed body.
    void finish();
    // Handles an exchange that ended early: refuses the call, or truncates the body if the response has started.
    void fail(const std::string& step, const std::string& message);

private:
    bool receiveHead(int status, HeaderList headers, std::optional<uint64_t> length);
    bool receiveBody(std::string data);

    static constexpr size_t maxBufferedBytes = size_t { 64 } * 1024;

    ServerStream& m_stream;
    TimePoint m_deadline;
    std::function<LoadHint()> m_load;
    AnswerStart m_response;
    std::string m_buffer;
    bool m_isStreaming { false };
};

} // namespace skylark
