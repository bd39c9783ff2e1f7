/// Loads of customers that share one overloaded target.
#pragma once

#include "test/admission-load.h"

namespace jackdawwall::test {

/// Customers whose usual demand follows a Zipf law of 1.2; together `work` seconds of work per second.
inline std::vector<LoadCustomer> zipfCustomers(int count, double work, double callSeconds = 0.01)
{
    double sum = 0;
    for (int index = 1; index <= count; ++index)
        sum += std::pow(index, -1.2);
    std::vector<LoadCustomer> customers;
    for (int index = 1; index <= count; ++index)
        customers.push_back({ absl::StrCat("customer-", index),
            work * std::pow(index, -1.2) / sum / callSeconds, callSeconds });
    return customers;
}

/// Customers with the same demand; together `work` seconds of work per second.
inline std::vector<LoadCustomer> equalCustomers(int count, double work, double callSeconds = 0.01)
{
    std::vector<LoadCustomer> customers;
    for (int index = 1; index <= count; ++index)
        customers.push_back({ absl::StrCat("customer-", index), work / count / callSeconds, callSeconds });
    return customers;
}

/// Sets the number of slots so that they serve `share` of the demand.
inline Load withCapacity(std::vector<LoadCustomer> customers, double share)
{
    double demand = 0;
    for (const LoadCustomer& customer : customers)
        demand += customer.callsPerSecond * customer.callSeconds;
    Load load;
    load.slots = std::max(2, static_cast<int>(std::lround(demand * share)));
    load.customers = std::move(customers);
    return load;
}

/// One of 84 customers has 7.5 times its usual demand.
inline Load hotCustomer()
{
    std::vector<LoadCustomer> customers = zipfCustomers(84, 20);
    customers[3].callsPerSecond *= 7.5;
    return withCapacity(std::move(customers), 0.7);
}

/// 400 customers with a call in about 3 s each, and one that asks for more than is left.
inline Load manySmallCustomers()
{
    std::vector<LoadCustomer> customers = equalCustomers(400, 6, 0.05);
    customers.push_back({ "large", 280, 0.05 });
    return withCapacity(std::move(customers), 0.7);
}

/// One customer's calls take 20 times as long as those of the other 30.
inline Load longCalls()
{
    std::vector<LoadCustomer> customers = equalCustomers(30, 20);
    customers.push_back({ "long", 5, 0.2 });
    return withCapacity(std::move(customers), 0.7);
}

/// As longCalls(), but all calls are of one kind, so the node expects the same time of all.
inline Load longCallsOfSameKind()
{
    Load load = longCalls();
    for (LoadCustomer& customer : load.customers)
        customer.kind = "read";
    return load;
}

/// Half of the customers have calls that take 10 times as long as those of the others.
inline Load longCallsOfHalf()
{
    std::vector<LoadCustomer> customers = equalCustomers(30, 20);
    for (std::size_t index = 0; index < 15; ++index) {
        customers[index].callSeconds *= 10;
        customers[index].callsPerSecond /= 10;
    }
    return withCapacity(std::move(customers), 0.7);
}

/// One customer offers each refused call again at once, up to 20 times.
inline Load immediateRetries()
{
    std::vector<LoadCustomer> customers = equalCustomers(30, 20);
    customers[0].callsPerSecond *= 4;
    customers[0].retries = 20;
    return withCapacity(std::move(customers), 0.7);
}

/// Five customers of a more urgent class use a third of the capacity; one of the other class is hot.
inline Load twoClasses()
{
    std::vector<LoadCustomer> customers = equalCustomers(20, 16);
    for (std::size_t index = 0; index < 5; ++index)
        customers[index].priority = Priority::Critical;
    customers[10].callsPerSecond *= 3;
    return withCapacity(std::move(customers), 0.7);
}

/// A customer of weight 3 and one of weight 1 that both ask for more than their share.
inline Load weights()
{
    std::vector<LoadCustomer> customers = equalCustomers(10, 6);
    customers[0].callsPerSecond *= 15;
    customers[0].weight = 3;
    customers[1].callsPerSecond *= 15;
    return withCapacity(std::move(customers), 0.5);
}

} // namespace jackdawwall::test
