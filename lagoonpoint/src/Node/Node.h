#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <memory>

namespace lagoonpoint {

/// \class Node
/// \ingroup Node
/// \brief One VM's process: all modules and adapters, wired together.
class Node {
public:
  /// \param S must outlive the node
  /// \throws Error if the data folder can't be opened
  explicit Node(const Settings &S);
  ~Node();

  /// Opens the listeners and begins to serve.
  /// \throws Error if an address can't be listened on
  void start();
  /// Withdraws from look-ups, waits until callers' cached answers have run
  /// out, and finishes what is in flight; at most DrainLimit_.
  void drain();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
