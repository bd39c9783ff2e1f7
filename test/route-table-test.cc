// Route table: longest prefix, hosts, weighted split.
#include "jackdawwall/route-table.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace jackdawwall;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = { { "service-" + name, 1 } };
    return result;
}

RouteTable table()
{
    RouteTable result;
    addRoute(result, route("short", "a.example", "/x/"));
    addRoute(result, route("long", "a.example", "/x/y/"));
    addRoute(result, route("other", "b.example", "/x/"));
    return result;
}

struct MatchCase {
    const char* host;
    const char* path;
    const char* name; ///< Empty: no route matches.
};

std::ostream& operator<<(std::ostream& out, const MatchCase& match)
{
    return out << match.host << match.path;
}

const MatchCase kMatches[] = {
    { "a.example", "/x/1", "short" },
    { "a.example", "/x/y/1", "long" },
    { "a.example", "/x/y", "short" },
    { "A.Example:8080", "/x/y/?q=1", "long" },
    { "b.example", "/x/y/1", "other" },
    { "a.example", "/x", "" },
    { "a.example", "/", "" },
    { "c.example", "/x/1", "" },
    { "", "/x/1", "" },
};

struct WeightCase {
    std::vector<double> weights;
    int requests;
    std::vector<int> expected;
};

std::ostream& operator<<(std::ostream& out, const WeightCase& weights)
{
    return out << weights.weights.size() << " services, " << weights.requests;
}

const WeightCase kWeights[] = {
    { { 90, 10 }, 10, { 9, 1 } },
    { { 1, 1, 2 }, 8, { 2, 2, 4 } },
    { { 0, 5 }, 7, { 0, 7 } },
    { { 33, 67 }, 100, { 33, 67 } },
};

} // namespace

BOOST_DATA_TEST_CASE(longestPrefixOfTheHostMatches, boost::unit_test::data::make(kMatches), match)
{
    const RouteTable routes = table();
    const Route* found = matchRoute(routes, match.host, match.path);
    BOOST_TEST((found == nullptr ? "" : found->name) == match.name);
}

BOOST_DATA_TEST_CASE(requestsAreSplitByWeight, boost::unit_test::data::make(kWeights), weights)
{
    Route split = route("r", "a.example", "/");
    split.services.clear();
    for (std::size_t index = 0; index < weights.weights.size(); ++index)
        split.services.push_back({ std::to_string(index), weights.weights[index] });
    SplitState state;
    std::map<std::string, int> counts;
    for (int request = 0; request < weights.requests; ++request)
        ++counts[chooseService(state, split)];
    for (std::size_t index = 0; index < weights.expected.size(); ++index)
        BOOST_TEST(counts[std::to_string(index)] == weights.expected[index]);
}

BOOST_AUTO_TEST_CASE(routeWithoutWeightsHasNoService)
{
    Route split = route("r", "a.example", "/");
    split.services = { { "x", 0 }, { "y", 0 } };
    SplitState state;
    BOOST_TEST(chooseService(state, split).empty());
    split.services.clear();
    BOOST_TEST(chooseService(state, split).empty());
}
