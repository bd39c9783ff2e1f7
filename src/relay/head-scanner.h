/// Finds the end of a request's head in bytes that arrive in pieces. The head is parsed only when it is
/// complete: a parsed head takes many times the memory of its bytes.
#pragma once

#include "absl/strings/string_view.h"

#include <cstddef>

namespace jackdawwall::relay {

class HeadScanner {
public:
    enum class Result {
        Incomplete,
        Complete,
        Malformed, ///< A parser rejects these bytes, whatever follows.
    };

    /// `bytes` starts with the request line and contains all bytes of earlier calls.
    Result scan(absl::string_view bytes)
    {
        for (std::size_t end = bytes.find('\n', position_); end != absl::string_view::npos;
             end = bytes.find('\n', position_)) {
            position_ = end + 1;
            if (end == lineStart_ || bytes[end - 1] != '\r')
                return Result::Malformed;
            const bool isEmpty = end == lineStart_ + 1;
            lineStart_ = end + 1;
            ++lines_;
            if (lines_ == 1)
                requestLineBytes_ = end + 1;
            if (isEmpty)
                return Result::Complete;
        }
        position_ = bytes.size();
        return Result::Incomplete;
    }

    void reset() { *this = {}; }
    /// Length of a complete head.
    std::size_t headBytes() const { return lineStart_; }
    /// Bytes behind the request line, so far or up to the head's end.
    std::size_t fieldBytes(std::size_t scannedBytes) const { return scannedBytes - requestLineBytes_; }
    std::size_t lines() const { return lines_; }

private:
    std::size_t position_ = 0; ///< Bytes that were searched.
    std::size_t lineStart_ = 0;
    std::size_t lines_ = 0;
    std::size_t requestLineBytes_ = 0; ///< 0 while the line is incomplete.
};

} // namespace jackdawwall::relay
