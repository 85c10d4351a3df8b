// HTTP/1.1 server for callers. Each request gets the complete response or an error.
//
// - A request body of up to 256 KiB is buffered before the call, so that the call can be retried. A longer body is
//   streamed to the gate as it arrives.
// - A response that has not arrived completely is streamed to the caller. If it ends early, the connection is closed
//   before the declared Content-Length or the last chunk, so that the caller detects the truncation.
// - An error response has the header Skylark-Outcome (not-run or unknown) and a JSON body with outcome, step, peer and
//   message. The header is removed from the responses of backend servers.
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
    // Binds the address; throws Error on failure.
    CallerServer(CallerServerOptions options, CallDispatcher& dispatcher, Metrics& metrics, const Clock& clock);
    ~CallerServer();

    void start();
    // While not serving, requests are refused with the outcome "not-run".
    void setServing(bool isServing) { m_isServing.store(isServing); }
    // See HttpServer::drain().
    void drain();
    int inFlight() const { return m_server.inFlight(); }
    uint16_t port() const { return m_port; }

private:
    void handle(const httplib::Request& request, httplib::Response& response, const httplib::ContentReader* body);
    void serve(const CallerRequest& callerRequest, const httplib::Request& request, httplib::Response& response,
        const httplib::ContentReader* body);
    CallResult forward(ClassifiedCall& call, const httplib::ContentReader* body, bool& isBodyRead);
    void writeResponse(
        const CallerRequest& callerRequest, httplib::Response& response, const CallResponse& callResponse);
    void streamResponse(httplib::Response& response, const CallResponse& callResponse, const std::string& contentType,
        std::optional<uint64_t> contentLength, std::optional<std::string> firstPart);
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
