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

std::string textOf(const Findings &Errors) {
  std::string Message;
  for (const Finding &F : Errors)
    Message += (Message.empty() ? "" : "\n") + toString(F);
  return Message;
}

std::string invalidDeclarations(const std::string &Text) {
  Findings Errors;
  parseDeclarations(Text, DeclarationsName, Errors);
  return textOf(Errors);
}

/// \returns the change with its text made whole.
/// \pre the splice is of the text in force
Change unspliced(const Catalog &State, const Change &C) {
  const Splice &Kept = C.Splice_;
  const std::string &Text = State.Text_;
  LAGOONPOINT_ASSERT(Kept.Head_ <= Text.size() &&
                         Kept.Tail_ <= Text.size() - Kept.Head_,
                     "catalog.splice");
  Change Whole = C;
  Whole.Splice_ = Splice();
  Whole.Text_ = Text.substr(0, Kept.Head_) + C.Text_ +
                Text.substr(Text.size() - Kept.Tail_);
  return Whole;
}

/// Keys, drains and views leave the text as it is, so a base is outdated only
/// by a later declaration.
ChangeReply declare(Catalog &State, const Change &C) {
  if (C.Splice_.Used_ && C.Splice_.Of_ == State.DeclaredAt_)
    return declare(State, unspliced(State, C));
  // The text that a splice was made of was replaced in between.
  if (C.Splice_.Used_)
    return conflict(State, "the file was replaced at revision " +
                               std::to_string(State.DeclaredAt_.value()));
  if (C.Base_ < State.DeclaredAt_)
    return conflict(State, "the file was edited from revision " +
                               std::to_string(C.Base_.value()) +
                               ", but it was replaced at revision " +
                               std::to_string(State.DeclaredAt_.value()));
  if (C.Base_ > State.Revision_)
    return conflict(State, "revision " + std::to_string(C.Base_.value()) +
                               " doesn't exist; revision " +
                               std::to_string(State.Revision_.value()) +
                               " is in force");
  Findings Errors;
  auto Parsed = std::make_shared<Declarations>(
      parseDeclarations(C.Text_, DeclarationsName, Errors));
  if (!Errors.empty())
    return {ChangeVerdict::Invalid, State.Revision_, textOf(Errors)};
  State.Parsed_ = std::move(Parsed);
  State.Text_ = C.Text_;
  ChangeReply Reply = accept(State);
  State.DeclaredAt_ = Reply.Revision_;
  return Reply;
}

ChangeReply grantKey(Catalog &State, const Change &C) {
  if (State.Withdrawn_.count(C.Key_.Id_))
    return conflict(State, "key " + C.Key_.Id_.str() + " was withdrawn");
  if (State.Granted_.count(C.Key_.Id_))
    return conflict(State, "key " + C.Key_.Id_.str() + " exists");
  State.Granted_[C.Key_.Id_] = C.Key_;
  return accept(State);
}

ChangeReply withdrawKey(Catalog &State, const Change &C) {
  if (!State.Withdrawn_.insert(C.Key_.Id_).second)
    return {ChangeVerdict::Accepted, State.Revision_, "already withdrawn"};
  return accept(State);
}

ChangeReply setDrain(Catalog &State, const Change &C) {
  bool Present = State.Drains_.count(C.Drain_) > 0;
  if (Present == C.Drained_)
    return {ChangeVerdict::Accepted, State.Revision_, "already so"};
  if (C.Drained_)
    State.Drains_.insert(C.Drain_);
  else
    State.Drains_.erase(C.Drain_);
  return accept(State);
}

ChangeReply setView(Catalog &State, const Change &C) {
  Epoch Current = State.Views_[C.View_.Zone_].Epoch_;
  if (C.View_.Epoch_ != Current.next())
    return conflict(State, "the zone's view is at epoch " +
                               std::to_string(Current.value()));
  State.Views_[C.View_.Zone_] = C.View_;
  return accept(State);
}

/// Versions that are held already or were overtaken change nothing.
ChangeReply patchItems(Catalog &State, const Change &C) {
  std::string Fault = patchFault(State.Items_, C.Items_);
  if (!Fault.empty())
    return {ChangeVerdict::Invalid, State.Revision_, Fault};
  if (!mergeItems(State.Items_, C.Items_, State.Revision_.next()))
    return {ChangeVerdict::Accepted, State.Revision_, "nothing newer"};
  return accept(State);
}

ChangeReply judge(Catalog &State, const Change &C) {
  std::string Fault = C.Kind_ == ChangeKind::Declare ? "" : invalidity(C);
  if (!Fault.empty())
    return {ChangeVerdict::Invalid, State.Revision_, Fault};
  switch (C.Kind_) {
  case ChangeKind::Declare:
    return declare(State, C);
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
  }
  return {ChangeVerdict::Invalid, State.Revision_, "unknown kind of change"};
}

void keepReply(Catalog &State, const ChangeId &Id, const ChangeReply &Reply) {
  State.Replies_[Id] = Reply;
  State.ReplyOrder_.push_back(Id);
  if (State.ReplyOrder_.size() <= Catalog::MaxReplies)
    return;
  State.Replies_.erase(State.ReplyOrder_.front());
  State.ReplyOrder_.pop_front();
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

std::string invalidity(const Change &C) {
  if (C.Id_.empty())
    return "the change has no id";
  if (C.Kind_ == ChangeKind::Declare)
    return invalidDeclarations(C.Text_);
  bool OnKey =
      C.Kind_ == ChangeKind::GrantKey || C.Kind_ == ChangeKind::WithdrawKey;
  if (OnKey && C.Key_.Id_.empty())
    return "the key has no id";
  if (C.Kind_ == ChangeKind::GrantKey &&
      (C.Key_.Team_.empty() || C.Key_.Salt_.empty() ||
       C.Key_.Hash_.size() != HashHexLength))
    return "the key has no team, salt or hash";
  if (C.Kind_ == ChangeKind::SetDrain && C.Drain_.Id_.empty())
    return "the drain names nothing";
  if (C.Kind_ == ChangeKind::PatchItems)
    return itemFault(C.Items_);
  if (C.Kind_ == ChangeKind::SetView &&
      (C.View_.Zone_.empty() || C.View_.Members_.empty()))
    return "the view has no zone or no members";
  return "";
}

std::optional<ChangeReply> keptReply(const Catalog &State, const ChangeId &Id) {
  auto It = State.Replies_.find(Id);
  if (It == State.Replies_.end())
    return std::nullopt;
  return It->second;
}

Change spliced(const Catalog &State, Change Whole) {
  if (Whole.Kind_ != ChangeKind::Declare || Whole.Splice_.Used_)
    return Whole;
  const std::string &Old = State.Text_;
  const std::string &New = Whole.Text_;
  std::size_t Shorter = std::min(Old.size(), New.size());
  std::size_t Head = 0;
  while (Head < Shorter && Old[Head] == New[Head])
    ++Head;
  std::size_t Tail = 0;
  while (Tail < Shorter - Head &&
         Old[Old.size() - 1 - Tail] == New[New.size() - 1 - Tail])
    ++Tail;
  Whole.Splice_ = {true, State.DeclaredAt_, Head, Tail};
  Whole.Text_ = New.substr(Head, New.size() - Head - Tail);
  return Whole;
}

ChangeReply applyChange(Catalog &State, const Change &C) {
  if (auto Kept = keptReply(State, C.Id_))
    return *Kept;
  Revision Before = State.Revision_;
  ChangeReply Reply = judge(State, C);
  LAGOONPOINT_ASSERT(State.Revision_ >= Before, "catalog.apply");
  keepReply(State, C.Id_, Reply);
  return Reply;
}

Declarations effectiveDeclarations(const Catalog &State) {
  Findings Errors;
  Declarations D =
      State.Parsed_ ? *State.Parsed_
                    : parseDeclarations(State.Text_, DeclarationsName, Errors);
  for (const auto &[Id, Grant] : State.Granted_)
    D.Keys_[Id] = {Id, Grant.Team_, Grant.Salt_, Grant.Hash_};
  for (const Drain &Dr : State.Drains_)
    applyDrain(D, Dr);
  return D;
}

std::string encodeForFollowers(const Catalog &State) {
  Catalog Copy = State;
  Copy.Replies_.clear();
  Copy.ReplyOrder_.clear();
  return encode(Copy);
}

std::string digestOf(const Catalog &State) {
  return sha256Hex(encodeForFollowers(State));
}

} // namespace lagoonpoint
