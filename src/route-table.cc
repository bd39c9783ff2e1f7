#include "jackdawwall/route-table.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include <algorithm>

namespace jackdawwall {
namespace {

std::string normalizeHost(absl::string_view host)
{
    return absl::AsciiStrToLower(host.substr(0, host.rfind(':')));
}

const std::string& emptyService()
{
    static const std::string kEmpty;
    return kEmpty;
}

} // namespace

void addRoute(RouteTable& table, Route route)
{
    std::vector<Route>& routes = table.byHost[route.host];
    const auto position = std::find_if(routes.begin(), routes.end(),
        [&](const Route& other) { return other.prefix.size() < route.prefix.size(); });
    routes.insert(position, std::move(route));
}

const Route* matchRoute(const RouteTable& table, absl::string_view host, absl::string_view path)
{
    const auto found = table.byHost.find(normalizeHost(host));
    if (found == table.byHost.end())
        return nullptr;
    for (const Route& route : found->second) {
        if (absl::StartsWith(path, route.prefix))
            return &route;
    }
    return nullptr;
}

const std::string& chooseService(SplitState& state, const Route& route)
{
    if (route.services.empty())
        return emptyService();
    if (route.services.size() == 1)
        return route.services.front().service;
    std::vector<double>& credits = state.credits[route.name];
    credits.resize(route.services.size(), 0);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < route.services.size(); ++index) {
        total += route.services[index].weight;
        credits[index] += route.services[index].weight;
        if (credits[index] > credits[best])
            best = index;
    }
    if (total <= 0)
        return emptyService();
    credits[best] -= total;
    return route.services[best].service;
}

} // namespace jackdawwall
