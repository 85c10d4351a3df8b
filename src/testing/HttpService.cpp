#include "testing/HttpService.h"

#include "base/Error.h"

#include <sys/socket.h>

namespace skylark {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr time_t keepAliveSeconds = 60;

} // namespace

HttpService::HttpService(
    const HttpServiceOptions& options, const std::function<void(httplib::Server&)>& registerHandlers)
    : m_address(options.address)
{
    int listener = -1;
    m_server.new_task_queue = [threads = options.threads] { return new httplib::ThreadPool(threads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(std::numeric_limits<size_t>::max());
    m_server.set_keep_alive_timeout(keepAliveSeconds);
    m_server.set_payload_max_length(options.maxBodyBytes);
    // SO_REUSEADDR alone: with the library's default SO_REUSEPORT, two services could share a port unseen.
    m_server.set_socket_options([&listener](int socket) {
        const int isOn = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
        listener = socket;
    });
    registerHandlers(m_server);

    if (options.address.port == 0)
        m_address.port = static_cast<uint16_t>(std::max(0, m_server.bind_to_any_port(options.address.host)));
    const bool isBound
        = options.address.port == 0 ? m_address.port != 0 : m_server.bind_to_port(options.address.host, m_address.port);
    if (!isBound) {
        throw Error({ .step = "listen",
            .peer = options.address.toString(),
            .message = "cannot listen on this address",
            .advice = "choose a free port" });
    }
    // The library listens with a backlog of 5, and a second listen() raises it.
    ::listen(listener, listenBacklog);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    // stop() has no effect before the server runs.
    while (!m_server.is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

HttpService::~HttpService() { stop(); }

void HttpService::stop()
{
    m_server.stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace skylark
