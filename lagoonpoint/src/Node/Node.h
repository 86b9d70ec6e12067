#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <memory>

namespace lagoonpoint {

/// \class Node
/// \ingroup Node
/// \brief The process of one VM: owns and connects all modules and listeners.
class Node {
public:
  /// \param S must outlive the node
  /// \throws Error if the data folder can't be opened
  explicit Node(const Settings &S);
  ~Node();

  /// Opens the listeners and starts serving.
  /// \throws Error if an address can't be listened on
  void start();
  /// Removes this VM from lookups, waits until cached lookup responses have
  /// expired, and completes the calls in flight. Each of the two waits takes at
  /// most Settings::DrainLimit_.
  void drain();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
