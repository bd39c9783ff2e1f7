/// Limit on the bytes that a process holds for callers and other nodes, and the reservations that count
/// against it.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace jackdawwall::relay {

class ByteBudget {
public:
    /// `parent` limits the sum of this budget and others; null: none.
    explicit ByteBudget(std::size_t limit, ByteBudget* parent = nullptr)
        : limit_(limit)
        , parent_(parent)
    {
    }
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    std::size_t reserved() const { return reserved_; }
    void setLimit(std::size_t limit) { limit_ = limit; }

    /// Called when a reservation exceeds this budget. Releases bytes of others that count against it; returns
    /// false if there are none. It must not destroy the reservation that grows.
    std::function<bool()> makeRoom;

private:
    friend class ByteReservation;

    /// The budget, of this one and its parents, that has no room for so many more bytes; null if all have.
    ByteBudget* shortBudget(std::size_t bytes)
    {
        for (ByteBudget* budget = this; budget != nullptr; budget = budget->parent_) {
            if (budget->reserved_ + bytes > budget->limit_)
                return budget;
        }
        return nullptr;
    }

    void add(std::size_t bytes)
    {
        for (ByteBudget* budget = this; budget != nullptr; budget = budget->parent_)
            budget->reserved_ += bytes;
    }
    void subtract(std::size_t bytes)
    {
        for (ByteBudget* budget = this; budget != nullptr; budget = budget->parent_)
            budget->reserved_ -= bytes;
    }

    std::size_t limit_;
    ByteBudget* parent_;
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
    ~ByteReservation() { shrinkTo(0); }

    std::size_t bytes() const { return bytes_; }

    /// Grows the reservation to `bytes`; false, without any change, if that would exceed the budget and no
    /// room can be made.
    [[nodiscard]] bool growTo(std::size_t bytes)
    {
        if (budget_ == nullptr || bytes <= bytes_)
            return true;
        while (ByteBudget* const full = budget_->shortBudget(bytes - bytes_)) {
            if (!full->makeRoom || !full->makeRoom())
                return false;
        }
        budget_->add(bytes - bytes_);
        bytes_ = bytes;
        return true;
    }

    void shrinkTo(std::size_t bytes)
    {
        if (budget_ == nullptr || bytes >= bytes_)
            return;
        budget_->subtract(bytes_ - bytes);
        bytes_ = bytes;
    }

    /// Counts bytes that are held already, also if they exceed the budget.
    void setTo(std::size_t bytes)
    {
        if (budget_ == nullptr)
            return;
        if (bytes > bytes_)
            budget_->add(bytes - bytes_);
        else
            budget_->subtract(bytes_ - bytes);
        bytes_ = bytes;
    }

private:
    ByteBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace jackdawwall::relay
