#include "http_message_p.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace toucanridge {
namespace {

namespace http = boost::beast::http;

/// Memory for a parsed header field beside its text.
constexpr std::size_t kFieldBytes = 96;

bool
equalsIgnoringCase(std::string_view aOne, std::string_view aOther)
{
  return boost::beast::iequals(
    boost::beast::string_view(aOne.data(), aOne.size()),
    boost::beast::string_view(aOther.data(), aOther.size()));
}

} // namespace

SharedBody
bodyOf(const HttpRequestPtr& aRequest)
{
  return { aRequest, &aRequest->body() };
}

std::size_t
heldBytes(std::size_t aHeadBytes, const HttpFields& aFields)
{
  const auto fields = std::distance(aFields.begin(), aFields.end());
  return aHeadBytes + kFieldBytes * static_cast<std::size_t>(fields);
}

bool
isHopByHop(std::string_view aName, std::string_view aConnection)
{
  constexpr std::string_view kNames[] = { "Connection",
                                          "Keep-Alive",
                                          "Proxy-Connection",
                                          "TE",
                                          "Trailer",
                                          "Transfer-Encoding",
                                          "Upgrade",
                                          "Content-Length",
                                          "Expect",
                                          "Proxy-Authenticate",
                                          "Proxy-Authorization" };
  for (const std::string_view name : kNames) {
    if (equalsIgnoringCase(name, aName)) {
      return true;
    }
  }
  if (aConnection.empty()) {
    return false;
  }
  const boost::beast::string_view tokens(aConnection.data(),
                                         aConnection.size());
  return http::token_list(tokens).exists(
    boost::beast::string_view(aName.data(), aName.size()));
}

std::string_view
pathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
percentEncode(std::string_view aText)
{
  constexpr std::string_view kUnescaped = "/-._~";
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        kUnescaped.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 15U];
    }
  }
  return encoded;
}

std::string
percentDecode(std::string_view aText)
{
  constexpr std::size_t kDigits = 2;
  std::string decoded;
  while (!aText.empty()) {
    const char* const from = aText.data() + 1;
    std::uint8_t byte = 0;
    if (aText.front() == '%' && aText.size() > kDigits &&
        std::from_chars(from, from + kDigits, byte, 16).ptr == from + kDigits) {
      decoded += static_cast<char>(byte);
      aText.remove_prefix(1 + kDigits);
    } else {
      decoded += aText.front();
      aText.remove_prefix(1);
    }
  }
  return decoded;
}

std::optional<std::string>
queryParameter(std::string_view aTarget, std::string_view aName)
{
  const auto queryStart = aTarget.find('?');
  std::string_view rest =
    queryStart == std::string_view::npos ? "" : aTarget.substr(queryStart + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos
               ? std::string()
               : percentDecode(pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

std::string_view
headerValue(const HttpFields& aFields, std::string_view aName)
{
  const auto value =
    aFields[boost::beast::string_view(aName.data(), aName.size())];
  return { value.data(), value.size() };
}

void
appendHeader(std::string& aHead,
             std::string_view aName,
             std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

HttpResponse
makeResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.body() = std::move(aBody);
  return response;
}

HttpResponse
makeJsonResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response = makeResponse(aStatus, std::move(aBody));
  response.set(http::field::content_type, "application/json");
  return response;
}

std::string
serializeHead(const HttpResponse& aResponse, bool aClose)
{
  std::string head;
  head.reserve(256);
  const auto reason = aResponse.reason();
  head.append("HTTP/1.1 ")
    .append(std::to_string(aResponse.result_int()))
    .append(" ")
    .append(reason.data(), reason.size())
    .append("\r\n");
  for (const auto& field : aResponse.base()) {
    const auto name = field.name_string();
    const auto value = field.value();
    appendHeader(
      head, { name.data(), name.size() }, { value.data(), value.size() });
  }
  appendHeader(head, "Content-Length", std::to_string(aResponse.body().size()));
  if (aClose) {
    appendHeader(head, "Connection", "close");
  }
  head.append("\r\n");
  return head;
}

} // namespace toucanridge
