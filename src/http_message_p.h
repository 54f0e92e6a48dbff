#ifndef TOUCANRIDGE_HTTP_MESSAGE_P_H
#define TOUCANRIDGE_HTTP_MESSAGE_P_H

/// HTTP/1.1 messages, their headers and targets, and the rules for forwarding.

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace toucanridge {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;
using HttpFields = boost::beast::http::fields;
/// A request that is kept as long as anything made from it needs its body.
using HttpRequestPtr = std::shared_ptr<const HttpRequest>;
using SharedBody = std::shared_ptr<const std::string>;

/// @returns the body of a request, which keeps the request; not a copy
SharedBody
bodyOf(const HttpRequestPtr& aRequest);

/// @param[in] aHeadBytes length of a message's head
/// @returns the memory that the parsed head takes, in bytes
std::size_t
heldBytes(std::size_t aHeadBytes, const HttpFields& aFields);

/// @param[in] aConnection value of the message's `Connection` header
/// @returns true for a header that applies to one connection only and must not
///          be forwarded, which includes the headers that aConnection lists
bool
isHopByHop(std::string_view aName, std::string_view aConnection);

/// @returns the part of a request target before the query
std::string_view
pathOf(std::string_view aTarget);

/// @returns text for a query with all characters percent-encoded but slashes
///          and unreserved ones
std::string
percentEncode(std::string_view aText);

/// @returns text with its percent-encodings decoded; malformed ones are kept
std::string
percentDecode(std::string_view aText);

/// @returns a decoded parameter of a request target's query, nothing when it
///          is absent
std::optional<std::string>
queryParameter(std::string_view aTarget, std::string_view aName);

/// @returns a header's value, empty when it is absent
std::string_view
headerValue(const HttpFields& aFields, std::string_view aName);

/// Appends "Name: value\r\n".
void
appendHeader(std::string& aHead,
             std::string_view aName,
             std::string_view aValue);

/// @returns a response without headers
HttpResponse
makeResponse(unsigned aStatus, std::string aBody);

/// @returns a response with a JSON body
HttpResponse
makeJsonResponse(unsigned aStatus, std::string aBody);

/// @param[in] aClose true when the connection is closed after the response
/// @returns status line and headers, with Content-Length and, when aClose is
///          set, `Connection: close`
std::string
serializeHead(const HttpResponse& aResponse, bool aClose);

} // namespace toucanridge

#endif // TOUCANRIDGE_HTTP_MESSAGE_P_H
