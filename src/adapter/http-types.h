/// HTTP types shared by the client and the server.
#pragma once

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

#include <string>
#include <vector>

namespace jackdawwall {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// Value of the first header with this name, ignoring case; empty when absent.
inline absl::string_view findHeader(const std::vector<HttpHeader>& headers, absl::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (absl::EqualsIgnoreCase(header.name, name))
            return header.value;
    }
    return {};
}

} // namespace jackdawwall
