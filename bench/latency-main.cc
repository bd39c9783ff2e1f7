// jackdaw-latency: measures call latency in a closed loop over one keep-alive connection to each address in
// turn. The difference between a direct address and a node is the latency that the nodes add.
#include "adapter/connection-pool.h"
#include "main/command-line.h"
#include "node/call-headers.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <stdexcept>

namespace jackdawwall::bench {
namespace {

constexpr absl::Duration kDeadline = absl::Seconds(2);
constexpr std::size_t kMaxResponseBytes = 10'000;

double callOnce(ConnectionPool& pool, const std::string& address)
{
    ExchangeRequest request;
    request.url = absl::StrCat("http://", address, "/work");
    request.headers = { { kServiceHeader, "hist-desk" }, { kKindHeader, "read" } };
    const absl::Time start = absl::Now();
    request.deadline = start + kDeadline;
    const absl::StatusOr<HttpResponse> response = fetch(pool, address, request, kMaxResponseBytes);
    if (!response.ok() || response->status != 200)
        throw std::runtime_error(absl::StrCat("no complete response with status 200 from ", address));
    return absl::ToDoubleMilliseconds(absl::Now() - start);
}

void measure(ConnectionPool& pool, const std::string& address, int calls, absl::Duration gap)
{
    std::vector<double> times;
    for (int call = 0; call < calls; ++call) {
        times.push_back(callOnce(pool, address));
        absl::SleepFor(gap);
    }
    std::sort(times.begin(), times.end());
    const auto quantile = [&](double share) { return times[static_cast<std::size_t>(share * (calls - 1))]; };
    std::cout << "measure=latency address=" << address << " p50=" << quantile(0.5)
              << " p99=" << quantile(0.99) << " unit=ms calls=" << calls << "\n";
}

} // namespace
} // namespace jackdawwall::bench

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Measures the latency of sequential calls.", ' ', kProgramVersion);
        TCLAP::MultiArg<std::string> addresses("a", "address",
            "Address to measure; repeated addresses are measured in turn", true, "IP:PORT", line);
        TCLAP::ValueArg<int> calls("n", "calls", "Calls per address", false, 4000, "N", line);
        TCLAP::ValueArg<int> gap("g", "gap-us", "Pause between calls in microseconds", false, 0, "US", line);
        line.parse(argc, argv);
        ConnectionPool pool;
        for (const std::string& address : addresses.getValue())
            bench::measure(pool, address, calls.getValue(), absl::Microseconds(gap.getValue()));
        return kExitOk;
    });
}
