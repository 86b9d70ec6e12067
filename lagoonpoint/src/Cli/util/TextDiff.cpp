#include "lagoonpoint/src/Cli/util/TextDiff.h"

#include <sstream>
#include <vector>

namespace lagoonpoint {

namespace {

using Lines = std::vector<std::string>;

/// Maximum number of line pairs to compare. For longer texts, all lines between
/// the common prefix and suffix are shown as removed and added.
constexpr std::size_t MaxCells = 16'000'000;

std::string replaceAllLines(const Lines &A, const Lines &B) {
  std::string Out;
  for (const std::string &Line : A)
    Out += "-" + Line + "\n";
  for (const std::string &Line : B)
    Out += "+" + Line + "\n";
  return Out;
}

Lines splitLines(const std::string &Text) {
  Lines Out;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Out.push_back(Line);
  return Out;
}

/// Removes the lines that both have in common at their end.
void removeCommonSuffix(Lines &A, Lines &B) {
  while (!A.empty() && !B.empty() && A.back() == B.back()) {
    A.pop_back();
    B.pop_back();
  }
}

std::size_t commonPrefixLength(const Lines &A, const Lines &B) {
  std::size_t N = 0;
  while (N < A.size() && N < B.size() && A[N] == B[N])
    ++N;
  return N;
}

/// \returns at [I][J] the length of the longest common subsequence of the lines
/// of A from I on and those of B from J on.
std::vector<std::vector<std::size_t>> suffixLcsLengths(const Lines &A,
                                                       const Lines &B) {
  std::vector<std::vector<std::size_t>> Length(
      A.size() + 1, std::vector<std::size_t>(B.size() + 1, 0));
  for (std::size_t I = A.size(); I-- > 0;)
    for (std::size_t J = B.size(); J-- > 0;)
      Length[I][J] = A[I] == B[J]
                         ? Length[I + 1][J + 1] + 1
                         : std::max(Length[I + 1][J], Length[I][J + 1]);
  return Length;
}

} // namespace

std::string diffLines(const std::string &Old, const std::string &New) {
  Lines A = splitLines(Old);
  Lines B = splitLines(New);
  removeCommonSuffix(A, B);
  std::size_t Prefix = commonPrefixLength(A, B);
  A.erase(A.begin(), A.begin() + static_cast<std::ptrdiff_t>(Prefix));
  B.erase(B.begin(), B.begin() + static_cast<std::ptrdiff_t>(Prefix));
  if (A.size() * B.size() > MaxCells)
    return replaceAllLines(A, B);
  auto Length = suffixLcsLengths(A, B);
  std::string Out;
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < A.size() || J < B.size()) {
    if (I < A.size() && J < B.size() && A[I] == B[J]) {
      ++I;
      ++J;
    } else if (J == B.size() ||
               (I < A.size() && Length[I + 1][J] >= Length[I][J + 1])) {
      Out += "-" + A[I++] + "\n";
    } else {
      Out += "+" + B[J++] + "\n";
    }
  }
  return Out;
}

} // namespace lagoonpoint
