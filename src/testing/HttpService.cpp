#include "testing/HttpService.h"

#include "base/Error.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <mutex>
#include <sys/socket.h>

namespace skylark {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr time_t keepAliveSeconds = 60;

    bool isConnectedTo(int socket, const httplib::Request& request)
    {
        sockaddr_in peer {};
        sockaddr_in local {};
        socklen_t peerSize = sizeof(peer);
        socklen_t localSize = sizeof(local);
        return getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &peerSize) == 0 && peer.sin_family == AF_INET
            && ntohs(peer.sin_port) == request.remote_port
            && getsockname(socket, reinterpret_cast<sockaddr*>(&local), &localSize) == 0
            && ntohs(local.sin_port) == request.local_port;
    }

    // The library does not pass the socket to handlers, so the socket is looked up by its ports. Each thread of the
    // pool serves one connection at a time, so the socket of the thread's last request is tried first.
    int socketOf(const httplib::Request& request)
    {
        thread_local int lastSocket = -1;
        if (isConnectedTo(lastSocket, request))
            return lastSocket;
        lastSocket = -1;
        DIR* descriptors = opendir("/proc/self/fd");
        while (const dirent* entry = descriptors ? readdir(descriptors) : nullptr) {
            const int descriptor = std::atoi(entry->d_name);
            if (isConnectedTo(descriptor, request))
                lastSocket = descriptor;
        }
        if (descriptors)
            closedir(descriptors);
        return lastSocket;
    }

    // Serves one request and stops, so that the library's function-local statics are initialized before other threads
    // use them. ThreadSanitizer does not see their guards in the uninstrumented library and would otherwise report the
    // first use by two threads as a race.
    [[maybe_unused]] void initializeLibrary()
    {
        httplib::Server server;
        server.Get(
            "/", [](const httplib::Request&, httplib::Response& response) { response.set_content("x", "text/plain"); });
        const int port = server.bind_to_any_port("127.0.0.1");
        std::thread listener([&server] { server.listen_after_bind(); });
        while (!server.is_running())
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        httplib::Client("127.0.0.1", port).Get("/?a=b");
        server.stop();
        listener.join();
    }

} // namespace

bool hasPeerClosed(const httplib::Request& request)
{
    const int socket = socketOf(request);
    if (socket < 0)
        return true;
    char byte = 0;
    const ssize_t received = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

HttpService::HttpService(
    const HttpServiceOptions& options, const std::function<void(httplib::Server&)>& registerHandlers)
    : m_address(options.address)
{
#if defined(__SANITIZE_THREAD__)
    static std::once_flag initializeOnce;
    std::call_once(initializeOnce, initializeLibrary);
#endif
    int listener = -1;
    m_server.new_task_queue = [threads = options.threads] { return new httplib::ThreadPool(threads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(std::numeric_limits<size_t>::max());
    m_server.set_keep_alive_timeout(keepAliveSeconds);
    m_server.set_payload_max_length(options.maxBodyBytes);
    // Sets SO_REUSEADDR only. With the library's default SO_REUSEPORT, two services could share a port without an
    // error.
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
    // The library listens with a backlog of 5. A second listen() raises it.
    ::listen(listener, listenBacklog);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    // stop() has no effect until the server runs.
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
