#pragma once

#include "lagoonpoint/src/Config/ConfigKeyInfo.h"
#include "lagoonpoint/src/Config/util/IniText.h"
#include "lagoonpoint/src/Config/util/Values.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

/// Stands for the default value of a key that has no default.
inline constexpr const char *Required = "required";

/// How the text of one key is parsed into a member of \p T.
template <class T> struct KeySpec {
  ConfigKeyInfo Info_; ///< Section_ is empty
  /// Parses the text and stores the value.
  /// \returns an error message, or an empty string
  std::function<std::string(T &, const std::string &)> Parse_;
};

/// A section and its keys.
template <class T> struct SectionSpec {
  std::string Pattern_; ///< such as "region.ID"
  std::vector<KeySpec<T>> Keys_;
};

/// Name and parser of a kind of value.
template <class V> struct UnitSpec {
  const char *Name_;
  std::optional<V> (*Parse_)(const std::string &);
};

inline const UnitSpec<Duration> DurationUnit{"duration", parseDuration};
inline const UnitSpec<Rate> RateUnit{"rate", parseRate};
inline const UnitSpec<Bandwidth> BandwidthUnit{"bandwidth", parseBandwidth};
inline const UnitSpec<Price> PriceUnit{"price", parsePrice};
inline const UnitSpec<double> ShareUnit{"share", parseShare};
inline const UnitSpec<std::size_t> CountUnit{"count", parseCount};
inline const UnitSpec<std::size_t> BytesUnit{"bytes", parseBytes};
inline const UnitSpec<bool> BoolUnit{"bool", parseBool};
inline const UnitSpec<Address> AddressUnit{"address", parseSocketAddress};

inline std::string malformed(const std::string &Text, const char *Unit) {
  return "'" + Text + "' is not a valid " + Unit;
}

/// A key that accepts any well-formed value.
template <class T, class V>
KeySpec<T> plainKey(const char *Key, const char *Default,
                    const UnitSpec<V> &Unit, V T::*Member) {
  return {{"", Key, Unit.Name_, "", Default},
          [Unit, Member](T &Target, const std::string &Text) -> std::string {
            std::optional<V> Value = Unit.Parse_(Text);
            if (!Value)
              return malformed(Text, Unit.Name_);
            Target.*Member = *Value;
            return "";
          }};
}

/// A key whose value must lie between two inclusive bounds, which are written
/// in the notation of the file.
template <class T, class V, class M>
KeySpec<T> rangedKey(const char *Key, const char *Default,
                     const UnitSpec<V> &Unit, M T::*Member, const char *Low,
                     const char *High) {
  std::string Range = std::string(Low) + " to " + High;
  V Min = *Unit.Parse_(Low);
  V Max = *Unit.Parse_(High);
  return {{"", Key, Unit.Name_, Range, Default},
          [=](T &Target, const std::string &Text) -> std::string {
            std::optional<V> Value = Unit.Parse_(Text);
            if (!Value)
              return malformed(Text, Unit.Name_);
            if (*Value < Min || *Value > Max)
              return "'" + Text + "' is out of the range " + Range;
            Target.*Member = static_cast<M>(*Value);
            return "";
          }};
}

/// A key whose value is an id.
template <class T, class I>
KeySpec<T> idKey(const char *Key, const char *Default, I T::*Member) {
  return {{"", Key, "id", "", Default},
          [Member](T &Target, const std::string &Text) -> std::string {
            if (!isId(Text))
              return malformed(Text, "id");
            Target.*Member = I(Text);
            return "";
          }};
}

/// A key whose value is a list of distinct ids.
template <class T, class I>
KeySpec<T> idListKey(const char *Key, const char *Default,
                     std::vector<I> T::*Member) {
  return {{"", Key, "list of ids", "", Default},
          [Member](T &Target, const std::string &Text) -> std::string {
            std::optional<std::vector<std::string>> Words = parseList(Text);
            if (!Words)
              return malformed(Text, "list of ids");
            std::vector<I> Ids;
            for (const std::string &Word : *Words) {
              if (!isId(Word))
                return malformed(Word, "id");
              for (const I &Earlier : Ids)
                if (Earlier.str() == Word)
                  return "'" + Word + "' is listed twice";
              Ids.push_back(I(Word));
            }
            Target.*Member = std::move(Ids);
            return "";
          }};
}

/// A key whose value is one of the given words.
template <class T, class V>
KeySpec<T> choiceKey(const char *Key, const char *Default, V T::*Member,
                     std::vector<std::pair<std::string, V>> Choices) {
  std::string Range;
  for (const auto &[Word, Value] : Choices)
    Range += (Range.empty() ? "" : ", ") + Word;
  return {{"", Key, "word", Range, Default},
          [=](T &Target, const std::string &Text) -> std::string {
            for (const auto &[Word, Value] : Choices)
              if (Word == Text) {
                Target.*Member = Value;
                return "";
              }
            return "'" + Text + "' is not one of " + Range;
          }};
}

/// A key whose value is a text.
/// \param Check returns an error message, or an empty string for a valid text
template <class T>
KeySpec<T> textKey(const char *Key, const char *Default, std::string T::*Member,
                   const char *Range,
                   std::string (*Check)(const std::string &)) {
  return {{"", Key, "text", Range, Default},
          [=](T &Target, const std::string &Text) -> std::string {
            std::string Message = Check(Text);
            if (Message.empty())
              Target.*Member = Text;
            return Message;
          }};
}

/// Parses one section into a struct and applies the defaults of missing keys.
template <class T>
void parseSection(const SectionSpec<T> &Spec, const IniSection &Section,
                  T &Target, DiagnosticReporter &Report) {
  for (const IniEntry &Entry : Section.Entries_) {
    bool Known = false;
    for (const KeySpec<T> &Key : Spec.Keys_)
      Known = Known || Key.Info_.Key_ == Entry.Key_;
    if (!Known)
      Report.add(Section.Name_, Entry.Key_, "unknown key");
  }
  for (const KeySpec<T> &Key : Spec.Keys_) {
    const IniEntry *Entry = Section.find(Key.Info_.Key_);
    const std::string &Default = Key.Info_.Default_;
    if (!Entry && Default == Required) {
      Report.add(Section.Name_, Key.Info_.Key_, "required key is missing");
      continue;
    }
    std::string Message = Key.Parse_(
        Target,
        Entry ? Entry->Value_ : (Default == "none" ? std::string() : Default));
    if (Entry && !Message.empty())
      Report.add(Section.Name_, Key.Info_.Key_, Message);
  }
}

/// Appends the keys of a section to a list of keys.
template <class T>
void appendKeys(const SectionSpec<T> &Spec, std::vector<ConfigKeyInfo> &Out) {
  for (const KeySpec<T> &Key : Spec.Keys_) {
    Out.push_back(Key.Info_);
    Out.back().Section_ = Spec.Pattern_;
  }
}

/// \returns the dot-separated parts of a section name.
std::vector<std::string> splitName(const std::string &Name);

/// Checks the ids of a section such as `[link.FROM.TO]` and reports errors.
/// \returns the ids, or nothing if there is an error
std::optional<std::vector<std::string>> sectionIds(const IniSection &Section,
                                                   std::size_t Count,
                                                   DiagnosticReporter &Report);

} // namespace lagoonpoint::internal
