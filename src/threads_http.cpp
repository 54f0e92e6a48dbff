#include "threads_http_p.h"

#include <pplx/threadpool.h>

namespace toucanridge {

void
initHttpThreads(std::uint32_t aThreads)
{
  crossplat::threadpool::initialize_with_threads(aThreads);
}

} // namespace toucanridge
