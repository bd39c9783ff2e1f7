#include "main/command-line.h"

#include <tclap/ArgException.h>

#include <exception>
#include <iostream>

namespace jackdawwall {

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void awaitStopSignal(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

int runMain(const std::function<int()>& program)
{
    try {
        return program();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return kExitInvalid;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return kExitFailed;
    }
}

} // namespace jackdawwall
