#include "testing/TcpRelay.h"

#include <future>

namespace skylark {

class TcpRelay::Connection {
public:
    Connection(EventLoop& loop, std::unique_ptr<TcpStream> client, const Endpoint& target)
        : m_clientSide(*this)
        , m_targetSide(*this)
    {
        m_clientSide.stream = std::move(client);
        m_clientSide.stream->setHandler(m_clientSide);
        m_targetSide.stream = TcpStream::connect(loop, target, m_targetSide, {});
    }

    void silence() { m_isSilent = true; }

private:
    struct Side final : StreamHandler {
        explicit Side(Connection& ownerConnection)
            : connection(ownerConnection)
        {
        }
        // A stream drops what is written before it is connected, so the client's data is read from then on.
        void onConnected() override { connection.m_clientSide.stream->startReading(); }
        void onData(std::string_view bytes) override { connection.forward(*this, bytes); }
        void onEnd(StreamEnd) override { connection.end(); }

        Connection& connection;
        std::unique_ptr<TcpStream> stream;
    };

    void forward(const Side& from, std::string_view bytes)
    {
        Side& to = &from == &m_clientSide ? m_targetSide : m_clientSide;
        if (!m_isSilent && to.stream)
            to.stream->write(std::string(bytes));
    }
    void end()
    {
        if (m_isSilent)
            return;
        m_clientSide.stream.reset();
        m_targetSide.stream.reset();
    }

    bool m_isSilent { false };
    Side m_clientSide;
    Side m_targetSide;
};

TcpRelay::TcpRelay(const Endpoint& address, Endpoint target)
    : m_loop(m_clock)
    , m_target(std::move(target))
    , m_listener(std::make_unique<TcpListener>(m_loop, address,
          [this](std::unique_ptr<TcpStream> stream) {
              ++m_acceptedCount;
              m_connections.push_back(std::make_unique<Connection>(m_loop, std::move(stream), m_target));
          }))
    , m_address { address.host, m_listener->port() }
    , m_thread([this] { m_loop.run(); })
{
}

TcpRelay::~TcpRelay()
{
    m_loop.post([this] {
        m_connections.clear();
        m_listener.reset();
        m_loop.stop();
    });
    m_thread.join();
}

void TcpRelay::silenceConnections()
{
    std::promise<void> done;
    m_loop.post([this, &done] {
        for (const auto& connection : m_connections)
            connection->silence();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace skylark
