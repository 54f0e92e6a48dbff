#ifndef TOUCANRIDGE_RESPONSE_CHECK_P_H
#define TOUCANRIDGE_RESPONSE_CHECK_P_H

/// Checks of an HTTP/1.1 response that the parser leaves out.

#include <string_view>

#include "http_message_p.h"

namespace toucanridge {

/// @param[in] aText status line and header lines as received
/// @param[in] aHead the same, parsed
/// @returns why no HTTP/1.1 server may send this head, null when it may
const char*
findHeadFault(std::string_view aText, const HttpResponse::header_type& aHead);

} // namespace toucanridge

#endif // TOUCANRIDGE_RESPONSE_CHECK_P_H
