// Takes callers' HTTP/1.1 requests and gives each the whole answer to its own request, or an error.
//
// A request body up to 256 KiB is read first, so that the call can be repeated; a longer one is streamed to
// the gate as it arrives. An answer that is not yet whole is streamed to the caller; if it breaks off, the
// connection is closed before the announced length, or before the last chunk, so that the caller sees it.
//
// Errors carry the header Skylark-Outcome (not-run or unknown) and a JSON body with outcome, step, peer and
// message.
#pragma once

#include "metrics/Metrics.h"
#include "node/CallDispatcher.h"
#include "node/HttpServer.h"

#include <thread>

namespace skylark {

struct CallerServerOptions {
    Endpoint listen;
    HttpServerOptions http;
};

class CallerServer {
public:
    // Binds the address; throws Error when it is taken.
    CallerServer(CallerServerOptions options, CallDispatcher& dispatcher, Metrics& metrics, const Clock& clock);
    ~CallerServer();

    void start();
    // Requests are refused with "not-run" while closed; the node opens the server when it may serve.
    void setServing(bool isServing) { m_isServing.store(isServing); }
    // See HttpServer::drain().
    void drain();
    int inFlight() const { return m_server.inFlight(); }
    uint16_t port() const { return m_port; }

private:
    void handle(const httplib::Request& request, httplib::Response& response, const httplib::ContentReader* body);
    void serve(const CallerRequest& caller, const httplib::Request& request, httplib::Response& response,
        const httplib::ContentReader* body);
    CallResult forward(ClassifiedCall& call, const httplib::ContentReader* body, bool& isBodyRead);
    void writeResponse(const CallerRequest& caller, httplib::Response& response, const CallResponse& callResponse);
    void streamResponse(httplib::Response& response, const CallResponse& callResponse, const std::string& type,
        std::optional<uint64_t> length, std::optional<std::string> first);
    void writeError(httplib::Response& response, const CallError& error);

    CallerServerOptions m_options;
    CallDispatcher& m_dispatcher;
    Metrics& m_metrics;
    const Clock& m_clock;
    HttpServer m_server;
    std::thread m_thread;
    uint16_t m_port { 0 };
    std::atomic<bool> m_isServing { false };
};

} // namespace skylark
