#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Cli/Command.h"

#include <Poco/JSON/Object.h>

#include <string>

namespace lagoonpoint {

/// \class UnreachableError
/// \ingroup Cli
/// \brief The operators' listener could not be reached or did not respond.
class UnreachableError : public Error {
public:
  using Error::Error;
};

/// HTTP status and JSON body of a response to an operator's request.
struct OperatorResponse {
  int Status_ = 0;
  Poco::JSON::Object::Ptr Body_;

  bool ok() const { return Status_ >= 200 && Status_ < 300; }
};

/// \class OperatorClient
/// \ingroup Cli
/// \brief Sends requests to the operators' listener of one VM.
class OperatorClient {
public:
  /// Takes address and key from the options or, if they are missing, from the
  /// environment variables LAGOONPOINT_OPERATORS and LAGOONPOINT_OPERATOR_KEY.
  /// \throws Error if neither is given
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
/// \param Step step of the error
/// \throws Error if the text has another form
Address parseAddress(const std::string &Text, const std::string &Step);

/// Prints why a request was refused.
/// \returns the exit code for the HTTP status
ExitCode reportFailure(CommandContext &Context,
                       const OperatorResponse &Response);

/// \returns the id given with --change-id, else a new one.
std::string changeIdOf(const CommandContext &Context);

/// \returns a field of an object as text, empty if the field is missing.
std::string fieldText(const Poco::JSON::Object::Ptr &Object,
                      const std::string &Field);

} // namespace lagoonpoint
