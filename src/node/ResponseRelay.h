// Carries one call's bodies between the peer's stream and the backend server.
//
// A small answer is kept until it is whole and sent as one message. A larger one, or one of unknown length
// that grows past the bound, is streamed; the transport's window then holds back the backend server when the
// caller reads slowly.
#pragma once

#include "node/BackendClient.h"
#include "transport/CallStream.h"

namespace skylark {

class ResponseRelay {
public:
    // The relay must not outlive the stream.
    ResponseRelay(ServerStream& stream, TimePoint deadline, std::function<LoadHint()> load);

    BackendRequest request();
    BackendResponseSink sink();
    // The backend server shed the call.
    bool isShed() const { return m_response.status == 503; }

    // The answer is whole.
    void finish();
    // The exchange broke off: refuses the call, or cuts off the body if the answer has begun.
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
