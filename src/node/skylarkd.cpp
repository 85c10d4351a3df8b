// skylarkd: the process beside each backend server instance. See node/Node.h.
#include "daemon/Daemon.h"
#include "node/Node.h"

#include <csignal>

namespace {

bool isSignalPending(const sigset_t& signals)
{
    const timespec noWait {};
    return sigtimedwait(&signals, nullptr, &noWait) > 0;
}

int runNode(const std::string& settingsFile)
{
    const skylark::NodeSettings settings = skylark::nodeSettingsFromFile(settingsFile);
    const sigset_t signals = skylark::blockStopSignals();
    skylark::configureLogs(
        { .level = settings.logLevel, .format = settings.logFormat, .instance = settings.instance.value() });
    const skylark::SystemClock clock;
    skylark::Node node(settings, clock);
    node.start();
    int signal = 0;
    sigwait(&signals, &signal);
    const bool isClean = node.shutdown([&] { return isSignalPending(signals); });
    return isClean ? skylark::exitSuccess : skylark::exitFailure;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    return skylark::runDaemon({ .name = "skylarkd",
                                  .description = "Proxy and configuration node beside one backend server instance",
                                  .defaultSettings = [] { return skylark::nodeSettingsToJson({}).dump(2); },
                                  .run = runNode },
        argumentCount, arguments);
}
