// Coverage-guided fuzzing of all decoders of external input: configurations, heartbeats, messages and calls
// between nodes, callers' headers, and heads in pieces. The first byte selects the decoder. Decoded values
// are passed to the code that uses them, so that out-of-range values are detected as well.
#include "decode.h"
#include "listing.h"
#include "node/catalogue-interface.h"
#include "relay/head-scanner.h"
#include "relay/hop-wire.h"
#include "relay/peer-message.h"
#include "wire-names.h"

#include "jackdawwall/membership.h"

#include "absl/strings/str_cat.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

using namespace jackdawwall;

const absl::Time kNow = absl::FromUnixSeconds(1'800'000'000);

void fuzzConfiguration(const std::string& text)
{
    const absl::StatusOr<platform::DecodedConfiguration> decoded = platform::decodeConfiguration(text);
    if (!decoded.ok())
        return;
    const RouteTable& table = decoded->table;
    if (!decoded->peerDocument.empty()) {
        const auto received = platform::decodeConfiguration(decoded->peerDocument);
        if (!received.ok() || received->table.customerKeys != table.customerKeys)
            std::abort(); // Other nodes would not have the same customers.
    }
    SplitState split;
    for (const auto& [host, routes] : table.byHost) {
        for (const Route& route : routes) {
            static_cast<void>(matchRoute(table, host, route.prefix));
            static_cast<void>(chooseService(split, route));
        }
    }
}

void fuzzListing(const std::string& text)
{
    static_cast<void>(platform::decodeListing(text).ok());
    static_cast<void>(platform::decodeObject(text).ok());
}

void fuzzTargetMessage(const std::string& text)
{
    relay::Request request { relay::http::verb::post, absl::StrCat("/x?", platform::kHeartbeatQuery, "t1"),
        11 };
    request.body() = text;
    const relay::TargetMessage message = platform::decodeTargetMessage(request);
    TargetState state;
    recordHeartbeat(state, message.heartbeat, kNow);
    static_cast<void>(isServing(state));
}

void fuzzPeerMessage(const std::string& text)
{
    const absl::StatusOr<relay::PeerMessage> message = relay::decodePeerMessage(text);
    if (!message.ok())
        return;
    Member self;
    self.peerAddress = "127.0.0.1:1";
    MembershipState state = makeMembership(self, {}, kNow);
    mergeMembers(state, message->members, kNow);
    static_cast<void>(chooseNeighbours(state, 2));
    static_cast<void>(relay::encodePeerMessage(*message));
}

/// Parses a complete HTTP message as a server does; empty if it is malformed or incomplete.
template <bool isRequest>
std::optional<relay::http::message<isRequest, relay::http::string_body>> parseMessage(const std::string& text)
{
    relay::http::parser<isRequest, relay::http::string_body> parser;
    parser.eager(true);
    relay::beast::error_code error;
    parser.put(boost::asio::buffer(text), error);
    if (error || !parser.is_done())
        return std::nullopt;
    return parser.release();
}

/// A head that arrives in pieces has to end where a whole one ends.
void fuzzHead(const std::string& text)
{
    relay::HeadScanner whole;
    const relay::HeadScanner::Result expected = whole.scan(text);
    relay::HeadScanner inPieces;
    relay::HeadScanner::Result result = relay::HeadScanner::Result::Incomplete;
    for (std::size_t size = 1; size <= text.size() && result == relay::HeadScanner::Result::Incomplete;
         ++size)
        result = inPieces.scan(absl::string_view(text).substr(0, size));
    if (result != expected
        || (expected == relay::HeadScanner::Result::Complete && inPieces.headBytes() != whole.headBytes()))
        std::abort();
}

void fuzzCall(const std::string& text)
{
    fuzzHead(text);
    const auto request = parseMessage<true>(text);
    if (!request)
        return;
    static_cast<void>(readCallRequest(*request));
    const auto hop = relay::decodeCall(*request, {}, kNow);
    if (hop)
        static_cast<void>(relay::encodeCallHead(hop->call, hop->service, kNow));
}

void fuzzResult(const std::string& text)
{
    auto response = parseMessage<false>(text);
    if (response)
        static_cast<void>(relay::decodeResult({ relay::ExchangeStatus::Complete, *std::move(response) }));
}

void fuzzCatalogue(const std::string& text)
{
    static_cast<void>(unpackCatalogue(text));
    static_cast<void>(unpackCatalogue(packCatalogue({ "catalogue", text, 7 })));
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer requires this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::uint8_t kDecoderCount = 7;
    if (size == 0)
        return 0;
    const std::string text(reinterpret_cast<const char*>(data + 1), size - 1);
    switch (data[0] % kDecoderCount) {
    case 0:
        fuzzConfiguration(text);
        break;
    case 1:
        fuzzTargetMessage(text);
        break;
    case 2:
        fuzzPeerMessage(text);
        break;
    case 3:
        fuzzCall(text);
        break;
    case 4:
        fuzzResult(text);
        break;
    case 5:
        fuzzCatalogue(text);
        break;
    default:
        fuzzListing(text);
    }
    return 0;
}
