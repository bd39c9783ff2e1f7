// Guards against timers and connections of a destroyed node that are still handled.
#include "relay-fixture.h"

#include <malloc.h>

#include <thread>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

BOOST_AUTO_TEST_CASE(queuedHandlersOfADestroyedNodeDoNothing)
{
    mallopt(M_PERTURB, 0xa5); // Overwrites memory that is freed, so that its use ends the test.
    asio::io_context loop;
    MemoryStore store(loop);
    TestNode node(loop, store, "n1", "books", kUnusedAddress);
    asio::steady_timer destroys(loop, std::chrono::milliseconds(1));
    destroys.async_wait([&](beast::error_code) { node.node.reset(); });
    node.start();
    Tcp::socket client(loop);
    client.connect(parseEndpoint(node.settings.callerAddress));
    // All timers of the node have expired, and a connection waits, when the first handler runs.
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    runUntil(loop, [&] { return !node.node; });
    char byte = 0;
    bool isClosed = false;
    client.async_read_some(
        asio::buffer(&byte, 1), [&](beast::error_code error, std::size_t) { isClosed = error.failed(); });
    runUntil(loop, [&] { return isClosed; });
}
