#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Cli/Command.h"

#include <Poco/JSON/Object.h>

#include <string>

namespace lagoonpoint {

/// \class UnreachableError
/// \ingroup Cli
/// \brief The operators' listener could not be reached or didn't answer.
class UnreachableError : public Error {
public:
  using Error::Error;
};

/// Status and JSON body of an operator's request.
struct OperatorResponse {
  int Status_ = 0;
  Poco::JSON::Object::Ptr Body_;

  bool ok() const { return Status_ >= 200 && Status_ < 300; }
};

/// \class OperatorClient
/// \ingroup Cli
/// \brief Calls one VM's operators' listener.
class OperatorClient {
public:
  /// Takes address and key from the options, else from the environment
  /// variables LAGOONPOINT_OPERATORS and LAGOONPOINT_OPERATOR_KEY.
  /// \throws Error if neither gives them
  explicit OperatorClient(const CommandContext &Context);

  /// \throws UnreachableError
  OperatorResponse get(const std::string &Path) const;
  /// \throws UnreachableError
  OperatorResponse post(const std::string &Path,
                        const Poco::JSON::Object &Body) const;

private:
  OperatorResponse sendRequest(const std::string &Method,
                               const std::string &Path,
                               const std::string &Body) const;

  Address Address_;
  std::string Key_;
};

/// Parses "HOST:PORT".
/// \throws Error if it isn't one
Address parseAddress(const std::string &Text, const std::string &Step);

/// Prints what a refused request was answered, and chooses the exit code.
ExitCode reportFailure(CommandContext &Context,
                       const OperatorResponse &Response);

/// \returns the id given with --change-id, else a new one.
std::string changeIdOf(const CommandContext &Context);

/// \returns a field of an object as text, empty if it isn't there.
std::string fieldText(const Poco::JSON::Object::Ptr &Object,
                      const std::string &Field);

} // namespace lagoonpoint
