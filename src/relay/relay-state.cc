#include "relay/relay-state.h"

namespace jackdawwall::relay {
namespace {

/// Cost of an answer from another data centre, as extra latency. Its bytes are priced, so a far target is
/// used only when the near one is clearly busier.
constexpr absl::Duration kRemoteCost = absl::Milliseconds(150);

/// Long work keeps a quarter of the slots at least: the queue's order already puts urgent short work first.
constexpr double kMostReserve = 0.75;
constexpr double kReserveDeviations = 1;

Member selfMember(const RelaySettings& settings)
{
    Member self;
    self.peerAddress = settings.peerAddress;
    self.isServing = false; // Until the target says that it is ready.
    self.service = settings.service;
    self.dataCentre = settings.dataCentre;
    return self;
}

GateOptions gateOptions(const RelaySettings& settings)
{
    GateOptions options;
    options.targetAddress = settings.targetAddress;
    options.names = settings.names;
    options.admission.mostReserve = kMostReserve;
    options.admission.reserveDeviations = kReserveDeviations;
    options.budget.ratio = settings.repeatRatio;
    options.budget.extra = settings.repeatExtra;
    options.budget.window = settings.repeatWindow;
    return options;
}

} // namespace

RelayState::RelayState(asio::io_context& ioLoop, RelaySettings given)
    : loop(ioLoop)
    , settings(std::move(given))
    , pool(ioLoop)
    , gate(pool, requestLog, gateOptions(settings))
    , membership(makeMembership(selfMember(settings), {}, steadyNow()))
    , generator(stableHash(settings.process) ^ static_cast<std::uint64_t>(absl::ToUnixNanos(steadyNow())))
{
    routing.options.remoteCost = kRemoteCost;
}

void membersChanged(RelayState& state)
{
    state.candidates.clear();
    state.gate.setTargetCount(routableMembers(state.membership, state.settings.service).size());
}

const std::vector<Candidate>& candidatesFor(RelayState& state, const std::string& service)
{
    const auto [found, isNew] = state.candidates.try_emplace(service);
    if (!isNew)
        return found->second;
    std::vector<Candidate> members;
    for (const Member& member : routableMembers(state.membership, service))
        members.push_back({ member.peerAddress, member.dataCentre == state.settings.dataCentre });
    found->second = chooseSubset(members, state.membership.self, state.routing.options.subsetSize);
    return found->second;
}

} // namespace jackdawwall::relay
