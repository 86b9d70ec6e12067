#include "lagoonpoint/src/Core/Error.h"

#include <utility>

namespace lagoonpoint {

namespace {

std::string format(const std::string &Step, const std::string &Peer,
                   const std::string &Message) {
  std::string Text = Step;
  if (!Peer.empty())
    Text += " [" + Peer + "]";
  return Text + ": " + Message;
}

} // namespace

Error::Error(std::string Step, std::string Peer, const std::string &Message)
    : std::runtime_error(format(Step, Peer, Message)), Step_(std::move(Step)),
      Peer_(std::move(Peer)), Message_(Message) {}

} // namespace lagoonpoint
