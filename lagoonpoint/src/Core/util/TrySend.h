#pragma once

#include <string_view>

namespace lagoonpoint::internal {

/// Writes to a non-blocking socket. POCO's sendBytes() reports a full send
/// buffer as an I/O error, which can't be told from a lost connection.
/// \returns bytes taken, 0 if none fit now, -1 if the connection is lost
int trySend(int Socket, std::string_view Bytes);

} // namespace lagoonpoint::internal
