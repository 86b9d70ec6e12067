#include "lagoonpoint/src/Http/util/PathCheck.h"

#include <Poco/String.h>

#include <algorithm>
#include <string>

namespace lagoonpoint::internal {

namespace {

int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  char Lower = static_cast<char>(C | 0x20);
  if (Lower >= 'a' && Lower <= 'f')
    return Lower - 'a' + 10;
  return -1;
}

bool isUnreserved(int Byte) {
  if ((Byte >= '0' && Byte <= '9') || Byte == '-' || Byte == '.' ||
      Byte == '_' || Byte == '~')
    return true;
  int Lower = Byte | 0x20;
  return Byte < 0x80 && Lower >= 'a' && Lower <= 'z';
}

// An escaped separator would split a segment only at the upstream.
bool mustNotBeEscaped(int Byte) {
  return isUnreserved(Byte) || Byte < 0x20 || Byte == '/' || Byte == '\\' ||
         Byte == 0x7f;
}

const char *findEscapeFault(std::string_view Path) {
  for (std::size_t At = 0; At < Path.size(); ++At) {
    if (Path[At] != '%')
      continue;
    if (At + 2 >= Path.size())
      return "truncated escape in the path";
    int High = hexValue(Path[At + 1]);
    int Low = hexValue(Path[At + 2]);
    if (High < 0 || Low < 0)
      return "malformed escape in the path";
    if (mustNotBeEscaped(High * 16 + Low))
      return "unnecessary escape in the path";
    At += 2;
  }
  return nullptr;
}

const char *findSegmentFault(std::string_view Path) {
  Path.remove_prefix(1);
  while (!Path.empty()) {
    std::size_t End = std::min(Path.find('/'), Path.size());
    std::string_view Segment = Path.substr(0, End);
    if (Segment.empty())
      return "empty segment in the path";
    std::string_view Bare = Segment.substr(0, Segment.find(';'));
    if (Bare.empty() || Bare == "." || Bare == "..")
      return "dot segment in the path";
    Path.remove_prefix(std::min(End + 1, Path.size()));
  }
  return nullptr;
}

bool isTargetByte(char C) {
  return C > 0x20 && C < 0x7f && C != '#' && C != '\\' && C != '"' &&
         C != '<' && C != '>';
}

std::string_view queryOf(std::string_view Target) {
  std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return {};
  return Target.substr(Mark + 1);
}

} // namespace

const char *findTargetFault(std::string_view Target) {
  if (Target.empty() || Target.front() != '/')
    return "request target must begin with a slash";
  if (!std::all_of(Target.begin(), Target.end(), isTargetByte))
    return "character not allowed in the request target";
  std::string_view Path = Target.substr(0, Target.find('?'));
  if (const char *Fault = findEscapeFault(Path))
    return Fault;
  return findSegmentFault(Path);
}

bool queryHoldsKey(std::string_view Target) {
  std::string_view Query = queryOf(Target);
  while (!Query.empty()) {
    std::size_t End = std::min(Query.find('&'), Query.size());
    std::string_view Pair = Query.substr(0, End);
    std::string Name(Pair.substr(0, Pair.find('=')));
    for (const char *Known :
         {"x-api-key", "api_key", "apikey", "api-key", "access_token",
          "authorization", "operator_key", "service_key"})
      if (Poco::icompare(Name, Known) == 0)
        return true;
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return false;
}

} // namespace lagoonpoint::internal
