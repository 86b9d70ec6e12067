#include "lagoonpoint/src/Catalog/Catalog.h"

#include "lagoonpoint/src/Catalog/KeySecret.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr const char *DeclarationsName = "declarations";

ChangeReply accept(Catalog &State) {
  State.Revision_ = State.Revision_.next();
  return {ChangeVerdict::Accepted, State.Revision_, ""};
}

ChangeReply conflict(const Catalog &State, std::string Message) {
  return {ChangeVerdict::Conflict, State.Revision_, std::move(Message)};
}

std::string joinDiagnostics(const Diagnostics &Errors) {
  std::string Message;
  for (const Diagnostic &D : Errors)
    Message += (Message.empty() ? "" : "\n") + toString(D);
  return Message;
}

std::string checkDeclarations(const std::string &Text) {
  Diagnostics Errors;
  parseDeclarations(Text, DeclarationsName, Errors);
  return joinDiagnostics(Errors);
}

/// \returns the change with its full text.
/// \pre the splice is based on the text in force
Change expandSplice(const Catalog &State, const Change &C) {
  const Splice &Kept = C.Splice_;
  const std::string &Text = State.Text_;
  LAGOONPOINT_ASSERT(Kept.PrefixBytes_ <= Text.size() &&
                         Kept.SuffixBytes_ <= Text.size() - Kept.PrefixBytes_,
                     "catalog.splice");
  Change Full = C;
  Full.Splice_ = Splice();
  Full.Text_ = Text.substr(0, Kept.PrefixBytes_) + C.Text_ +
               Text.substr(Text.size() - Kept.SuffixBytes_);
  return Full;
}

/// Keys, drains and views don't change the text, so only a later declaration
/// makes a base revision outdated.
ChangeReply applyDeclaration(Catalog &State, const Change &C) {
  if (C.Splice_.Present_ &&
      C.Splice_.BaseRevision_ == State.DeclarationsRevision_)
    return applyDeclaration(State, expandSplice(State, C));
  // The text that the splice is based on has been replaced.
  if (C.Splice_.Present_)
    return conflict(State,
                    "the file was replaced at revision " +
                        std::to_string(State.DeclarationsRevision_.value()));
  if (C.Base_ < State.DeclarationsRevision_)
    return conflict(State,
                    "the file was edited from revision " +
                        std::to_string(C.Base_.value()) +
                        ", but it was replaced at revision " +
                        std::to_string(State.DeclarationsRevision_.value()));
  if (C.Base_ > State.Revision_)
    return conflict(State, "revision " + std::to_string(C.Base_.value()) +
                               " doesn't exist; revision " +
                               std::to_string(State.Revision_.value()) +
                               " is in force");
  Diagnostics Errors;
  auto Parsed = std::make_shared<Declarations>(
      parseDeclarations(C.Text_, DeclarationsName, Errors));
  if (!Errors.empty())
    return {ChangeVerdict::Invalid, State.Revision_, joinDiagnostics(Errors)};
  State.ParsedText_ = std::move(Parsed);
  State.Text_ = C.Text_;
  ChangeReply Reply = accept(State);
  State.DeclarationsRevision_ = Reply.Revision_;
  return Reply;
}

ChangeReply grantKey(Catalog &State, const Change &C) {
  if (State.WithdrawnKeys_.count(C.Key_.Id_))
    return conflict(State, "key " + C.Key_.Id_.str() + " was withdrawn");
  if (State.GrantedKeys_.count(C.Key_.Id_))
    return conflict(State, "key " + C.Key_.Id_.str() + " exists");
  State.GrantedKeys_[C.Key_.Id_] = C.Key_;
  return accept(State);
}

ChangeReply withdrawKey(Catalog &State, const Change &C) {
  if (!State.WithdrawnKeys_.insert(C.Key_.Id_).second)
    return {ChangeVerdict::Accepted, State.Revision_, "already withdrawn"};
  return accept(State);
}

/// An order that was received before the last accepted order of the same drain
/// is refused, however late it arrives. A conditional order makes a revision
/// also if it changes nothing, so that earlier orders lose against it.
ChangeReply setDrain(Catalog &State, const Change &C) {
  bool Conditional = C.Base_ > Revision();
  auto Last = State.DrainRevisions_.find(C.Drain_);
  if (Conditional && Last != State.DrainRevisions_.end() &&
      C.Base_ < Last->second)
    return conflict(State, "a later order was accepted at revision " +
                               std::to_string(Last->second.value()));
  bool Present = State.Drains_.count(C.Drain_) > 0;
  if (Present == C.Drained_ && !Conditional)
    return {ChangeVerdict::Accepted, State.Revision_, "already so"};
  if (C.Drained_)
    State.Drains_.insert(C.Drain_);
  else
    State.Drains_.erase(C.Drain_);
  ChangeReply Reply = accept(State);
  State.DrainRevisions_[C.Drain_] = Reply.Revision_;
  return Reply;
}

ChangeReply setView(Catalog &State, const Change &C) {
  Epoch Current = State.Views_[C.View_.Zone_].Epoch_;
  if (C.View_.Epoch_ != Current.next())
    return conflict(State, "the zone's view is at epoch " +
                               std::to_string(Current.value()));
  State.Views_[C.View_.Zone_] = C.View_;
  return accept(State);
}

/// Versions that are already stored, or older, change nothing.
ChangeReply patchItems(Catalog &State, const Change &C) {
  std::string Fault = validateLoggedPatch(State.Items_, C.Items_);
  if (!Fault.empty())
    return {ChangeVerdict::Invalid, State.Revision_, Fault};
  if (!mergeItems(State.Items_, C.Items_, State.Revision_.next()))
    return {ChangeVerdict::Accepted, State.Revision_, "nothing newer"};
  return accept(State);
}

ChangeReply recordDepartures(Catalog &State, const Change &C) {
  for (const RecordedDeparture &Departure : C.Departures_)
    recordDeparture(State.Departures_, Departure);
  return {ChangeVerdict::Accepted, State.Revision_, ""};
}

ChangeReply applyByKind(Catalog &State, const Change &C) {
  std::string Fault = C.Kind_ == ChangeKind::Declare ? "" : validateChange(C);
  if (!Fault.empty())
    return {ChangeVerdict::Invalid, State.Revision_, Fault};
  switch (C.Kind_) {
  case ChangeKind::Declare:
    return applyDeclaration(State, C);
  case ChangeKind::GrantKey:
    return grantKey(State, C);
  case ChangeKind::WithdrawKey:
    return withdrawKey(State, C);
  case ChangeKind::SetDrain:
    return setDrain(State, C);
  case ChangeKind::SetView:
    return setView(State, C);
  case ChangeKind::PatchItems:
    return patchItems(State, C);
  case ChangeKind::RecordDepartures:
    return recordDepartures(State, C);
  }
  return {ChangeVerdict::Invalid, State.Revision_, "unknown kind of change"};
}

void storeReply(Catalog &State, const ChangeId &Id, const ChangeReply &Reply) {
  State.Replies_[Id] = Reply;
  State.ReplyOrder_.push_back(Id);
  if (State.ReplyOrder_.size() <= Catalog::MaxReplies)
    return;
  State.Replies_.erase(State.ReplyOrder_.front());
  State.ReplyOrder_.pop_front();
}

std::string
validateDepartures(const std::vector<RecordedDeparture> &Departures) {
  for (const RecordedDeparture &D : Departures)
    if (D.Notice_.Id_.empty() || D.Notice_.Phase_ == NoticePhase::Serving)
      return "upstream \"" + D.Notice_.Id_.str() + "\" is not departing";
  return "";
}

void applyDrain(Declarations &D, const Drain &Dr) {
  if (Dr.Scope_ == DrainScope::Region) {
    auto It = D.Regions_.find(RegionId(Dr.Id_));
    if (It != D.Regions_.end())
      It->second.Drained_ = true;
  } else if (Dr.Scope_ == DrainScope::Zone) {
    auto It = D.Zones_.find(ZoneId(Dr.Id_));
    if (It != D.Zones_.end())
      It->second.Drained_ = true;
  } else {
    auto It = D.Vms_.find(VmId(Dr.Id_));
    if (It != D.Vms_.end())
      It->second.Drained_ = true;
  }
}

} // namespace

const char *toString(ChangeVerdict Verdict) {
  switch (Verdict) {
  case ChangeVerdict::Accepted:
    return "accepted";
  case ChangeVerdict::Conflict:
    return "conflict";
  case ChangeVerdict::Invalid:
    return "invalid";
  }
  return "invalid";
}

std::string validateChange(const Change &C) {
  if (C.Id_.empty())
    return "the change has no id";
  if (C.Kind_ == ChangeKind::Declare)
    return checkDeclarations(C.Text_);
  bool ConcernsKey =
      C.Kind_ == ChangeKind::GrantKey || C.Kind_ == ChangeKind::WithdrawKey;
  if (ConcernsKey && C.Key_.Id_.empty())
    return "the key has no id";
  if (C.Kind_ == ChangeKind::GrantKey &&
      (C.Key_.Team_.empty() || C.Key_.Salt_.empty() ||
       C.Key_.Hash_.size() != HashHexLength))
    return "the key has no team, salt or hash";
  if (C.Kind_ == ChangeKind::SetDrain && C.Drain_.Id_.empty())
    return "the drain names nothing";
  if (C.Kind_ == ChangeKind::PatchItems)
    return validateItems(C.Items_);
  if (C.Kind_ == ChangeKind::RecordDepartures)
    return validateDepartures(C.Departures_);
  if (C.Kind_ == ChangeKind::SetView &&
      (C.View_.Zone_.empty() || C.View_.Members_.empty()))
    return "the view has no zone or no members";
  return "";
}

std::optional<ChangeReply> findReply(const Catalog &State, const ChangeId &Id) {
  auto It = State.Replies_.find(Id);
  if (It == State.Replies_.end())
    return std::nullopt;
  return It->second;
}

Change makeSplice(const Catalog &State, Change Full) {
  if (Full.Kind_ != ChangeKind::Declare || Full.Splice_.Present_)
    return Full;
  const std::string &Old = State.Text_;
  const std::string &New = Full.Text_;
  std::size_t Shorter = std::min(Old.size(), New.size());
  std::size_t Prefix = 0;
  while (Prefix < Shorter && Old[Prefix] == New[Prefix])
    ++Prefix;
  std::size_t Suffix = 0;
  while (Suffix < Shorter - Prefix &&
         Old[Old.size() - 1 - Suffix] == New[New.size() - 1 - Suffix])
    ++Suffix;
  Full.Splice_ = {true, State.DeclarationsRevision_, Prefix, Suffix};
  Full.Text_ = New.substr(Prefix, New.size() - Prefix - Suffix);
  return Full;
}

ChangeReply applyChange(Catalog &State, const Change &C) {
  if (auto Stored = findReply(State, C.Id_))
    return *Stored;
  Revision Before = State.Revision_;
  ChangeReply Reply = applyByKind(State, C);
  LAGOONPOINT_ASSERT(State.Revision_ >= Before, "catalog.apply");
  if (C.Kind_ != ChangeKind::RecordDepartures)
    storeReply(State, C.Id_, Reply);
  return Reply;
}

Declarations effectiveDeclarations(const Catalog &State) {
  Diagnostics Errors;
  Declarations D =
      State.ParsedText_
          ? *State.ParsedText_
          : parseDeclarations(State.Text_, DeclarationsName, Errors);
  for (const auto &[Id, Grant] : State.GrantedKeys_)
    D.Keys_[Id] = {Id, Grant.Team_, Grant.Salt_, Grant.Hash_};
  for (const Drain &Dr : State.Drains_)
    applyDrain(D, Dr);
  return D;
}

std::string encodeForFollowers(const Catalog &State) {
  Catalog Copy = State;
  Copy.Replies_.clear();
  Copy.ReplyOrder_.clear();
  Copy.Departures_.clear();
  return encode(Copy);
}

std::string digestOf(const Catalog &State) {
  return sha256Hex(encodeForFollowers(State));
}

} // namespace lagoonpoint
