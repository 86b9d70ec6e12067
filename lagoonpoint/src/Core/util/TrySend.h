#pragma once

#include <string_view>

namespace lagoonpoint::internal {

/// Writes to a non-blocking socket. Used instead of POCO's sendBytes(), which
/// reports a full send buffer as an I/O error that is indistinguishable from a
/// lost connection.
/// \returns the bytes written, 0 if the send buffer is full, -1 if the
/// connection is lost
int trySend(int Socket, std::string_view Bytes);

} // namespace lagoonpoint::internal
