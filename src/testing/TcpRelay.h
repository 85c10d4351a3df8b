// A TCP relay on loopback, for tests of connections that the path between two processes forgets.
//
// It forwards each connection to the target on a thread of its own. After silenceConnections() the open connections
// deliver nothing and report no end, while new ones work, as when a firewall loses its table.
#pragma once

#include "eventloop/TcpStream.h"

#include <atomic>
#include <thread>

namespace skylark {

class TcpRelay {
public:
    // Port 0 selects a free port. Throws Error if the address cannot be bound.
    TcpRelay(const Endpoint& address, Endpoint target);
    ~TcpRelay();

    Endpoint address() const { return m_address; }
    // Takes effect before it returns.
    void silenceConnections();
    // Connections accepted since the relay was created.
    size_t acceptedCount() const { return m_acceptedCount; }

private:
    class Connection;

    SystemClock m_clock;
    EventLoop m_loop;
    const Endpoint m_target;
    // Used only on the loop's thread. Connections that have ended are kept until the relay is destroyed.
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::atomic<size_t> m_acceptedCount { 0 };
    std::unique_ptr<TcpListener> m_listener;
    const Endpoint m_address;
    std::thread m_thread;
};

} // namespace skylark
