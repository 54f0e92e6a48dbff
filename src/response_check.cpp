#include "response_check_p.h"

#include <boost/beast/core/string.hpp>

namespace toucanridge {
namespace {

namespace http = boost::beast::http;

/// The classes of status codes are 1xx to 5xx (RFC 9110, section 15).
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kNoContent = 204;
constexpr unsigned kHttp11 = 11;

/// @returns true when a line begins with a blank. The parser takes such a line
///          as the rest of the value before it (RFC 9112, section 5.2), so a
///          length or a coding in it would be lost.
bool
hasFoldedLine(std::string_view aText)
{
  return aText.find("\r\n ") != std::string_view::npos ||
         aText.find("\r\n\t") != std::string_view::npos;
}

/// @returns true for a transfer coding that this host doesn't decode: the body
///          would be passed on encoded, or with the framing of its chunks
bool
hasUnknownCoding(const HttpResponse::header_type& aHead)
{
  const auto coding = aHead.find(http::field::transfer_encoding);
  return coding != aHead.end() &&
         (aHead.version() < kHttp11 ||
          !boost::beast::iequals(coding->value(), "chunked"));
}

/// @returns true when the head announces a body although the status allows
///          none, so that the body's bytes would follow the response
bool
announcesForbiddenBody(const HttpResponse::header_type& aHead)
{
  const unsigned status = aHead.result_int();
  if (status / 100 != 1 && status != kNoContent) {
    return false;
  }
  const auto length = aHead.find(http::field::content_length);
  return aHead.find(http::field::transfer_encoding) != aHead.end() ||
         (length != aHead.end() && length->value() != "0");
}

} // namespace

const char*
findHeadFault(std::string_view aText, const HttpResponse::header_type& aHead)
{
  const unsigned status = aHead.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return "status out of range";
  }
  if (hasFoldedLine(aText)) {
    return "header line that begins with a blank";
  }
  // No request asks for another protocol: Upgrade is never passed on.
  if (status == kSwitchingProtocols) {
    return "switch to another protocol";
  }
  if (hasUnknownCoding(aHead)) {
    return "unknown transfer coding";
  }
  if (announcesForbiddenBody(aHead)) {
    return "body where the status allows none";
  }
  return nullptr;
}

} // namespace toucanridge
