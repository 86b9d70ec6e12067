#include "lagoonpoint/src/Core/util/TrySend.h"

#include <cerrno>
#include <sys/socket.h>

namespace lagoonpoint::internal {

int trySend(int Socket, std::string_view Bytes) {
  for (;;) {
    auto Count = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count >= 0)
      return static_cast<int>(Count);
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      return 0;
    if (errno != EINTR)
      return -1;
  }
}

} // namespace lagoonpoint::internal
