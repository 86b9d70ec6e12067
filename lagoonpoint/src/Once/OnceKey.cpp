#include "lagoonpoint/src/Once/OnceKey.h"

#include <charconv>
#include <string_view>

namespace lagoonpoint {

namespace {

constexpr char Separator = '~';

/// Removes the text up to the next separator from the front and returns it.
/// Returns nothing if that text is empty or there is no separator.
std::optional<std::string_view> takeField(std::string_view &Text) {
  std::size_t End = Text.find(Separator);
  if (End == 0 || End == std::string_view::npos)
    return std::nullopt;
  std::string_view Field = Text.substr(0, End);
  Text.remove_prefix(End + 1);
  return Field;
}

template <class Value> std::optional<Value> takeNumber(std::string_view &Text) {
  std::optional<std::string_view> Field = takeField(Text);
  if (!Field)
    return std::nullopt;
  Value Out = 0;
  const char *End = Field->data() + Field->size();
  auto [Stop, Fault] = std::from_chars(Field->data(), End, Out);
  // Numbers with leading zeros are rejected, so that each key has a single
  // spelling.
  bool Canonical = Field->size() == 1 || Field->front() != '0';
  if (Fault != std::errc() || Stop != End || Out < 0 || !Canonical)
    return std::nullopt;
  return Out;
}

} // namespace

std::string oncePrefix(const ZoneId &Zone, Epoch E, std::int64_t IssuedMillis) {
  return Zone.str() + Separator + std::to_string(E.value()) + Separator +
         std::to_string(IssuedMillis) + Separator;
}

std::optional<OnceKey> parseOnceKey(const std::string &Text) {
  if (Text.size() > MaxOnceKeyBytes)
    return std::nullopt;
  std::string_view Rest = Text;
  std::optional<std::string_view> Zone = takeField(Rest);
  if (!Zone)
    return std::nullopt;
  auto E = takeNumber<std::uint64_t>(Rest);
  if (!E)
    return std::nullopt;
  auto Issued = takeNumber<std::int64_t>(Rest);
  if (!Issued || Rest.empty())
    return std::nullopt;
  return OnceKey{ZoneId(std::string(*Zone)), Epoch(*E), *Issued,
                 std::string(Rest)};
}

} // namespace lagoonpoint
