/// Limit on the bytes that a process buffers for callers and other nodes, and the reservations that count
/// against it.
#pragma once

#include <cstddef>
#include <utility>

namespace jackdawwall::relay {

class ByteBudget {
public:
    explicit ByteBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    std::size_t reserved() const { return reserved_; }
    void setLimit(std::size_t limit) { limit_ = limit; }

private:
    friend class ByteReservation;

    std::size_t limit_;
    std::size_t reserved_ = 0;
};

/// Bytes reserved from a budget; the destructor releases them.
class ByteReservation {
public:
    ByteReservation() = default;
    explicit ByteReservation(ByteBudget& budget)
        : budget_(&budget)
    {
    }
    ByteReservation(ByteReservation&& other) noexcept
        : budget_(other.budget_)
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    ByteReservation& operator=(ByteReservation&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    ByteReservation(const ByteReservation&) = delete;
    ByteReservation& operator=(const ByteReservation&) = delete;
    ~ByteReservation()
    {
        if (budget_ != nullptr)
            budget_->reserved_ -= bytes_;
    }

    std::size_t bytes() const { return bytes_; }

    /// Grows the reservation to `bytes`; false, without any change, if that would exceed the budget.
    [[nodiscard]] bool growTo(std::size_t bytes)
    {
        if (budget_ == nullptr || bytes <= bytes_)
            return true;
        if (budget_->reserved_ + (bytes - bytes_) > budget_->limit_)
            return false;
        budget_->reserved_ += bytes - bytes_;
        bytes_ = bytes;
        return true;
    }

private:
    ByteBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace jackdawwall::relay
