#include "lagoonpoint/Log"
#include "lagoonpoint/Node"
#include "lagoonpoint/src/Cli/Command.h"
#include "lagoonpoint/src/Cli/util/TextFile.h"

#include <csignal>
#include <ostream>

namespace lagoonpoint {

namespace {

/// Blocks the signals that end the process, so that one thread can wait for
/// them. Must be called before any thread starts, as threads inherit the mask.
sigset_t blockTerminationSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

void waitForTermination(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace

ExitCode runVm(CommandContext &Context) {
  std::string File = Context.Options_["settings"].as<std::string>();
  Diagnostics Errors;
  Settings S = parseSettings(readTextFile(File), File, Errors);
  for (const Diagnostic &D : Errors)
    Context.Err_ << toString(D) << "\n";
  if (!Errors.empty())
    return ExitCode::Invalid;

  sigset_t Signals = blockTerminationSignals();
  startLog(S.Vm_, S.LogLevel_);
  Node N(S);
  N.start();
  Context.Out_ << "VM " << S.Vm_ << " is running; callers "
               << toString(S.Callers_) << ", operators "
               << toString(S.Operators_) << std::endl;
  waitForTermination(Signals);
  N.drain();
  N.stop();
  stopLog();
  return ExitCode::Ok;
}

} // namespace lagoonpoint
