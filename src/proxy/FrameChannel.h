// Exchanges messages between two nodes over one TCP connection.
//
// Each side sends Hello first. A damaged frame or an unknown protocol version closes the channel.
//
// Messages without a body are written at once. Bodies wait in a FrameQueue and are written piece by piece as the socket
// accepts them, so that a large body delays a message by about one piece and what lies in the kernel. The kernel holds
// about `unsentBytesFor` bytes that it has not sent yet (TCP_NOTSENT_LOWAT) and one more piece; one piece waits in this
// process. docs/design/link-budget.md states why.
#pragma once

#include "admission/LinkBudget.h"
#include "eventloop/TcpStream.h"
#include "proxy/FrameQueue.h"
#include "proxy/GateCall.h"
#include "wire/Frame.h"

#include <functional>

namespace skylark {

// The number of unsent bytes that the kernel may hold on a connection to a peer: 10 ms of the link, at least one piece
// and at most 64 KiB, which is also used for a link of unknown rate (zero).
size_t unsentBytesFor(double linkBitsPerSecond);

struct FrameChannelOptions {
    // Of this instance; zero if unknown.
    double linkBitsPerSecond { 0 };
    // Gets the bytes that the channel queues; null if nobody counts them. Must outlive the channel.
    LinkBudget* link { nullptr };
};

class FrameChannel final : public StreamHandler {
public:
    struct Callbacks {
        std::function<void()> onConnected {};
        std::function<void(Message)> onMessage;
        // The owner may destroy the channel in this callback.
        std::function<void(StreamEnd)> onEnd;
    };

    // Opens a connection. Throws Error like TcpStream::connect.
    FrameChannel(EventLoop& loop, const Endpoint& peer, const ConnectOptions& connectOptions, Callbacks callbacks,
        const FrameChannelOptions& options = {});
    // Takes over an accepted connection.
    FrameChannel(EventLoop& loop, std::unique_ptr<TcpStream> stream, Callbacks callbacks,
        const FrameChannelOptions& options = {});

    // A message beyond the bounds of the codec is logged and not sent; the connection stays as it is. The functions
    // return false then.
    bool send(const Message& message);
    // Sends the head and then the body, unless it is empty, as the socket accepts it. `rank` orders the bodies.
    [[nodiscard]] bool sendWithBody(const Message& head, StreamId stream, uint32_t rank, SharedBody body);
    // Sends no more of the stream's body.
    void cancelBody(StreamId stream);
    // Bytes that the kernel has not accepted yet, including the bodies that wait.
    size_t pendingBytes() const { return m_stream->pendingBytes() + m_queue.pendingBytes(); }
    TimePoint lastReceived() const { return m_lastReceived; }

    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onDrained() override;
    void onEnd(StreamEnd end) override;

private:
    // The frame of the message; none if the codec refuses the message.
    std::optional<std::string> encodeFrame(const Message& message) const;
    // Writes the bytes and then pieces of bodies until the socket accepts no more. The owner may destroy the channel
    // meanwhile.
    void write(std::string bytes);
    void recordQueued(size_t bytes, size_t messageBytes);
    // Reports the change of pendingBytes() since the last report.
    void reportWaiting();

    EventLoop& m_loop;
    Callbacks m_callbacks;
    std::unique_ptr<TcpStream> m_stream;
    FrameQueue m_queue;
    LinkBudget* m_link;
    size_t m_reportedWaiting { 0 };
    FrameReader m_reader;
    TimePoint m_lastReceived;
    // Set to false by the destructor, so that a loop over frames detects that a callback destroyed the channel.
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };

public:
    ~FrameChannel() override;
};

HeaderList toHeaderList(const HttpHeaders& headers);
HttpHeaders toHttpHeaders(const HeaderList& headers);

// Reassembles bodies from chunks.
class BodyAssembler {
public:
    // maxBytes is the maximum size of one body.
    explicit BodyAssembler(size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }
    // Returns true when the body is complete. Throws Error for a gap or a body that is too large.
    bool add(std::string& body, const BodyChunk& chunk) const;

private:
    size_t m_maxBytes;
};

} // namespace skylark
