// Guards against closing ordinary connections while others that hold memory without a complete request
// remain.
#include "jackdawwall/connection-eviction.h"

#include "relay/head-scanner.h"
#include "table.h"

#include <string>
#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

struct LoadRow {
    const char* name;
    ConnectionLoad load;
    EvictionRank forMemory;
    EvictionRank forConnections;
};

ConnectionLoad load(std::size_t heldBytes, absl::Duration waited)
{
    ConnectionLoad result;
    result.heldBytes = heldBytes;
    result.waitingSince = kNow - waited;
    return result;
}

ConnectionLoad withPartialRequest(ConnectionLoad load)
{
    load.hasPartialRequest = true;
    return load;
}

ConnectionLoad withCompleteRequest(ConnectionLoad load)
{
    load.hasCompleteRequest = true;
    return load;
}

ConnectionLoad writing(ConnectionLoad load)
{
    load.isWriting = true;
    return load;
}

ConnectionLoad fresh(ConnectionLoad load)
{
    load.isNew = true;
    return load;
}

BOOST_AUTO_TEST_CASE(ranksConnections)
{
    using enum EvictionRank;
    const absl::Duration moment = absl::Milliseconds(10);
    const std::vector<LoadRow> table {
        { "idle, recently used", load(2000, moment), Never, Never },
        { "idle for long", load(2000, absl::Seconds(13)), Never, Idle },
        { "silent since it was opened", fresh(load(2000, moment)), Never, Incomplete },
        { "a small part of a request", withPartialRequest(load(2000, moment)), Never, Incomplete },
        { "a large part of a request", withPartialRequest(load(50000, moment)), Incomplete, Incomplete },
        { "waits for its response", withCompleteRequest(load(50000, moment)), Never, Never },
        { "waits, and sends the next request", withPartialRequest(withCompleteRequest(load(50000, moment))),
            Never, Never },
        { "reads its response", writing(load(50000, moment)), Never, Never },
        { "does not read", writing(load(50000, absl::Seconds(3))), Unread, Unread },
        { "does not read, and sends", withPartialRequest(writing(load(50000, absl::Seconds(3)))), Unread,
            Unread },
    };
    test::forEachRow(table, [](const LoadRow& row) {
        BOOST_TEST((memoryEvictionRank(row.load, kNow) == row.forMemory));
        BOOST_TEST((connectionEvictionRank(row.load, absl::Seconds(12), kNow) == row.forConnections));
    });
}

BOOST_AUTO_TEST_CASE(evictsTheOldestOfTheHighestRank)
{
    const EvictionCandidate incomplete { EvictionRank::Incomplete, kNow };
    const EvictionCandidate older { EvictionRank::Incomplete, kNow - absl::Seconds(1) };
    const EvictionCandidate unread { EvictionRank::Unread, kNow - absl::Seconds(9) };
    BOOST_TEST(isEvictedBefore(incomplete, unread));
    BOOST_TEST(isEvictedBefore(older, incomplete));
    BOOST_TEST(!isEvictedBefore(incomplete, older));
    BOOST_TEST(isEvictedBefore(unread, EvictionCandidate {}));
}

struct HeadRow {
    const char* name;
    std::string bytes;
    relay::HeadScanner::Result result;
    std::size_t headBytes;
};

// A head that arrives in pieces of any size is found at the same place.
BOOST_AUTO_TEST_CASE(findsTheEndOfAHead)
{
    using Result = relay::HeadScanner::Result;
    const std::string head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<HeadRow> table {
        { "head", head, Result::Complete, head.size() },
        { "head and body", head + "\r\n\r\n", Result::Complete, head.size() },
        { "no end", "GET / HTTP/1.1\r\nHost: a\r\n", Result::Incomplete, 0 },
        { "no end, within the last line end", "GET / HTTP/1.1\r\nHost: a\r\n\r", Result::Incomplete, 0 },
        { "only a request line", "GET / HTTP/1.1\r\n\r\n", Result::Complete, 18 },
        { "bare line feed", "GET / HTTP/1.1\nHost: a\r\n\r\n", Result::Malformed, 0 },
        { "a line feed first", "\nGET", Result::Malformed, 0 },
        { "bare line feed as the empty line", "GET / HTTP/1.1\r\n\n", Result::Malformed, 0 },
    };
    test::forEachRow(table, [](const HeadRow& row) {
        for (const std::size_t piece : { std::size_t { 1 }, std::size_t { 3 }, row.bytes.size() }) {
            relay::HeadScanner scanner;
            Result result = Result::Incomplete;
            for (std::size_t size = piece; result == Result::Incomplete; size += piece) {
                result = scanner.scan(absl::string_view(row.bytes).substr(0, size));
                if (size >= row.bytes.size())
                    break;
            }
            BOOST_TEST((result == row.result));
            if (result == Result::Complete)
                BOOST_TEST(scanner.headBytes() == row.headBytes);
        }
    });
}

} // namespace
} // namespace jackdawwall
