/// What may be logged of a request that a listener rejects.
#pragma once

#include "relay/message.h"

#include "absl/strings/string_view.h"

#include <string>

namespace jackdawwall::relay {

/// Method and path of a rejected request, escaped and shortened. They are taken from the parsed head, or from
/// the unparsed bytes if the request line itself was not parsed. Headers and query are left out, because they
/// may hold a customer's key. Bytes that don't start with a known method may be any part of a request; of
/// these, only the leading unprintable ones are returned, such as those of a TLS handshake.
std::string loggableStart(const http::request_header<>* head, absl::string_view unparsed);

} // namespace jackdawwall::relay
