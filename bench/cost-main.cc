// jackdaw-cost: processor time of the decision code per call, and of the membership code at fleet sizes up to
// 9,000. Runs in memory without I/O.
#include "jackdawwall/call-flow.h"
#include "main/command-line.h"
#include "relay/peer-message.h"

#include "absl/strings/str_cat.h"

#include <tclap/CmdLine.h>

#include <sys/resource.h>

#include <array>
#include <iostream>

namespace jackdawwall::bench {
namespace {

constexpr int kCalls = 200'000;
constexpr int kRounds = 20;
constexpr std::array<int, 4> kFleetSizes { 1000, 3000, 6000, 9000 };

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double residentMegabytes()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_maxrss) / 1024;
}

Member makeMember(int index)
{
    Member member;
    member.peerAddress
        = absl::StrCat("10.", index / 65536, ".", index / 256 % 256, ".", index % 256, ":7002");
    member.incarnation = 1;
    member.service = absl::StrCat("service-", index % 260);
    member.dataCentre = absl::StrCat("centre-", index % 27);
    member.operatorAddress = absl::StrCat(member.peerAddress, "2");
    return member;
}

/// Runs the decisions of both sides of one call: the caller's node and the target's node.
void processCall(NodeDecisions& decisions, const Catalogue& catalogue, const CallRequest& request, CallId id,
    absl::Time now)
{
    OutboundCall call = *openCall(decisions, catalogue, request, now);
    if (checkBeforeSending(decisions, call, now) != Reason::None)
        return;
    const std::optional<CallAttempt> attempt = startAttempt(decisions, call, now);
    const absl::Duration hedge = hedgeAfter(decisions, call);
    offerCall(decisions.admission, makeOfferedCall(call.context, id, 0), now);
    const CallToken token = openInbound(decisions, call.context);
    const absl::Time end = now + std::min(hedge, absl::Milliseconds(5));
    AttemptReport report;
    report.hasResponse = true;
    report.feedback = feedbackFor(decisions, call.context, token);
    const absl::Duration downstreamTime = closeInbound(decisions, token, end);
    finishCall(decisions.admission, id, RunResult::Completed, downstreamTime, end);
    recordReport(decisions, call, *attempt, report, end);
    closeCall(decisions, call, report.result, end);
}

void measureCall()
{
    const absl::Time start = absl::FromUnixSeconds(1'800'000'000);
    NodeDecisions decisions = makeNodeDecisions(makeMember(0), 1, start);
    for (int index = 1; index < 260 * 16; ++index)
        mergeMembers(decisions.membership, { makeMember(index) }, start);
    Catalogue catalogue;
    WorkEntry work;
    work.name = "read";
    work.service = "service-7";
    catalogue.works["read"] = work;
    CallRequest request;
    request.kind = "read";
    const double before = processorSeconds();
    for (int call = 0; call < kCalls; ++call) {
        const absl::Time now = start + call * absl::Milliseconds(1);
        request.caller = absl::StrCat("caller-", call % 50);
        processCall(decisions, catalogue, request, static_cast<CallId>(call), now);
        if (call % 10 == 0)
            advanceTime(decisions.admission, now);
    }
    std::cout << "measure=decision-cost value=" << (processorSeconds() - before) / kCalls * 1e6
              << " unit=us/call target=5\n";
}

/// Encoded size of one member in a message between nodes.
std::size_t recordBytes(const Member& member)
{
    relay::PeerMessage message;
    const std::size_t empty = relay::encodePeerMessage(message).size();
    message.members.push_back(member);
    return relay::encodePeerMessage(message).size() - empty;
}

/// Measures a heartbeat round: prepares a message to each neighbour and processes as many incoming ones.
void measureMembership(int size)
{
    const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
    MembershipState state = makeMembership(makeMember(0), {}, now);
    for (int index = 1; index < size; ++index)
        mergeMembers(state, { makeMember(index) }, now);
    std::size_t neighbours = 0;
    const double before = processorSeconds();
    for (int round = 0; round < kRounds; ++round) {
        advanceMembership(state, now);
        const std::vector<Member> chosen = chooseNeighbours(state, 2);
        neighbours = chosen.size();
        for (const Member& member : chosen) {
            std::uint64_t upTo = 0;
            updatesFor(state, member.peerAddress, 200, upTo);
            recordHeartbeat(state, member.peerAddress, upTo, now);
            // One digest to evaluate the reply, and one to respond to the message of another node.
            memberDigest(state);
            memberDigest(state);
        }
    }
    const double seconds = (processorSeconds() - before) / kRounds;
    std::cout << "measure=membership members=" << size << " neighbours=" << neighbours
              << " round-ms=" << seconds * 1e3 << " core-percent=" << 100 * seconds / 0.5
              << " record-bytes=" << recordBytes(makeMember(size)) << " resident-mb=" << residentMegabytes()
              << "\n";
}

} // namespace
} // namespace jackdawwall::bench

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line(
            "Measures the processor time of the decision and membership code.", ' ', kProgramVersion);
        line.parse(argc, argv);
        for (const int size : bench::kFleetSizes)
            bench::measureMembership(size);
        bench::measureCall();
        return kExitOk;
    });
}
