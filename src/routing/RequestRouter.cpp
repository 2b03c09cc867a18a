#include "routing/RequestRouterImpl.h"

namespace lacewing::routing {

template class BasicRequestRouter<RequestQueue, LeastBusy>;

} // namespace lacewing::routing
