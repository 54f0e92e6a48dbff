#ifndef TOUCANRIDGE_RUN_HANDLERS_P_H
#define TOUCANRIDGE_RUN_HANDLERS_P_H

/// The loop of a thread that runs an io_context's handlers.

#include <boost/asio/io_context.hpp>

namespace toucanridge {

/// Runs handlers until the context is stopped or has no work left. A handler
/// that throws ends alone, with a log line: one message or caller must not end
/// the process, and with it all other requests.
/// @param[in] aThread name of the thread, for the log
void
runHandlers(boost::asio::io_context& aContext, const char* aThread);

} // namespace toucanridge

#endif // TOUCANRIDGE_RUN_HANDLERS_P_H
