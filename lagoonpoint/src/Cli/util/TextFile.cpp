#include "lagoonpoint/src/Cli/util/TextFile.h"

#include "lagoonpoint/Core"

#include <Poco/Exception.h>
#include <Poco/FileStream.h>
#include <Poco/StreamCopier.h>

namespace lagoonpoint {

std::string readTextFile(const std::string &Name) {
  try {
    Poco::FileInputStream In(Name);
    std::string Text;
    Poco::StreamCopier::copyToString(In, Text);
    return Text;
  } catch (const Poco::Exception &E) {
    throw Error("file.read", Name, E.displayText());
  }
}

} // namespace lagoonpoint
