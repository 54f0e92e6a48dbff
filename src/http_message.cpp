#include "http_message_p.h"

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace toucanridge {
namespace {

namespace http = boost::beast::http;

bool
equalsIgnoringCase(std::string_view aOne, std::string_view aOther)
{
  return boost::beast::iequals(
    boost::beast::string_view(aOne.data(), aOne.size()),
    boost::beast::string_view(aOther.data(), aOther.size()));
}

} // namespace

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
