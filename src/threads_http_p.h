#ifndef TOUCANRIDGE_THREADS_HTTP_P_H
#define TOUCANRIDGE_THREADS_HTTP_P_H

#include <cstdint>

namespace toucanridge {

/// Sets the size of cpprestsdk's thread pool; call it once, before any client
/// or listener exists.
void
initHttpThreads(std::uint32_t aThreads);

} // namespace toucanridge

#endif // TOUCANRIDGE_THREADS_HTTP_P_H
