#include "lagoonpoint/Catalog"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace lagoonpoint;

namespace {

std::string localDeclarations() {
  std::ifstream In("deploy/local/declarations.ini");
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

Change declaration(const char *Id, std::uint64_t Base, std::string Text) {
  return {.Id_ = ChangeId(Id),
          .Kind_ = ChangeKind::Declare,
          .Base_ = Revision(Base),
          .Text_ = std::move(Text)};
}

Change keyChange(const char *Id, ChangeKind Kind, const KeyGrant &Key) {
  return {.Id_ = ChangeId(Id), .Kind_ = Kind, .Key_ = Key};
}

/// \param At when it is recorded, in seconds
Change departure(const char *Upstream, std::uint64_t StartedAtMs,
                 NoticePhase Phase, std::int64_t At) {
  RecordedDeparture D;
  D.Notice_.Id_ = UpstreamId(Upstream);
  D.Notice_.StartedAtMs_ = StartedAtMs;
  D.Notice_.Phase_ = Phase;
  D.RecordedAtMs_ = Duration::seconds(At).count();
  return {.Id_ = ChangeId(Upstream + std::to_string(At)),
          .Kind_ = ChangeKind::RecordDepartures,
          .Departures_ = {D}};
}

} // namespace

TEST_CASE("Changes of the declarations are validated and applied") {
  Catalog State;
  std::string Text = localDeclarations();
  ChangeReply First = applyChange(State, declaration("c1", 0, Text));
  REQUIRE(First.Verdict_ == ChangeVerdict::Accepted);
  REQUIRE(First.Revision_ == Revision(1));

  SECTION("a second edit of the same base is a conflict") {
    ChangeReply Second = applyChange(State, declaration("c2", 0, Text + "\n"));
    CHECK(Second.Verdict_ == ChangeVerdict::Conflict);
    CHECK(Second.Revision_ == Revision(1));
    CHECK(State.Text_ == Text);
  }
  SECTION("a resend gets the first reply, also after later changes") {
    applyChange(State, declaration("c2", 1, Text + "\n"));
    CHECK(applyChange(State, declaration("c1", 0, Text)) == First);
    CHECK(State.Revision_ == Revision(2));
    CHECK(State.Text_ == Text + "\n");
  }
  SECTION("a key granted since the base is no conflict") {
    NewKey New = generateKey(KeyId("k1"), TeamId("rangers"));
    applyChange(State, keyChange("g1", ChangeKind::GrantKey, New.Grant_));
    CHECK(applyChange(State, declaration("c2", 1, Text + "\n")).Revision_ ==
          Revision(3));
    CHECK(applyChange(State, declaration("c3", 2, Text)).Verdict_ ==
          ChangeVerdict::Conflict);
  }
  SECTION("a base revision that doesn't exist is a conflict") {
    CHECK(applyChange(State, declaration("c2", 2, Text)).Verdict_ ==
          ChangeVerdict::Conflict);
  }
  SECTION("a file with errors is invalid and changes nothing") {
    ChangeReply Bad =
        applyChange(State, declaration("c2", 1, Text + "\n[vm.x]\n"));
    CHECK(Bad.Verdict_ == ChangeVerdict::Invalid);
    CHECK(Bad.Message_.find("vm.x") != std::string::npos);
    CHECK(State.Text_ == Text);
    CHECK(State.Revision_ == Revision(1));
  }
  SECTION("draining a zone twice makes one revision") {
    Change Drain{.Id_ = ChangeId("d1"),
                 .Kind_ = ChangeKind::SetDrain,
                 .Drain_ = {DrainScope::Zone, "north-a"},
                 .Drained_ = true};
    CHECK(applyChange(State, Drain).Revision_ == Revision(2));
    CHECK(effectiveDeclarations(State).Zones_[ZoneId("north-a")].Drained_);
    Drain.Id_ = ChangeId("d2");
    CHECK(applyChange(State, Drain).Revision_ == Revision(2));
    Drain.Id_ = ChangeId("d3");
    Drain.Drained_ = false;
    applyChange(State, Drain);
    CHECK_FALSE(
        effectiveDeclarations(State).Zones_[ZoneId("north-a")].Drained_);
  }
  // Guards against an order that its sender has given up and that ends a drain
  // ordered after it.
  SECTION("an order that was received before the last one of its drain loses") {
    int Number = 0;
    auto Order = [&](bool Drained, Revision Received,
                     const char *Zone = "north-a") {
      return applyChange(State,
                         {.Id_ = ChangeId("d" + std::to_string(++Number)),
                          .Kind_ = ChangeKind::SetDrain,
                          .Base_ = Received,
                          .Drain_ = {DrainScope::Zone, Zone},
                          .Drained_ = Drained})
          .Verdict_;
    };
    auto IsDrained = [&] {
      return effectiveDeclarations(State).Zones_[ZoneId("north-a")].Drained_;
    };
    Revision Received = State.Revision_;
    REQUIRE(Order(true, Received) == ChangeVerdict::Accepted);
    CHECK(Order(false, Received) == ChangeVerdict::Conflict);
    CHECK(IsDrained());
    SECTION("also against one that changed nothing") {
      Received = State.Revision_;
      REQUIRE(Order(true, Received) == ChangeVerdict::Accepted);
      CHECK(Order(false, Received) == ChangeVerdict::Conflict);
      CHECK(IsDrained());
    }
    SECTION("but one that was received after it is carried out") {
      CHECK(Order(false, State.Revision_) == ChangeVerdict::Accepted);
      CHECK_FALSE(IsDrained());
    }
    SECTION("and other zones and changes don't matter") {
      Received = State.Revision_;
      REQUIRE(Order(true, Received, "south-a") == ChangeVerdict::Accepted);
      CHECK(Order(false, Received) == ChangeVerdict::Accepted);
    }
    SECTION("also in a snapshot of the state") {
      State = decode<Catalog>(encode(State), "test", "");
      CHECK(Order(false, Received) == ChangeVerdict::Conflict);
    }
  }
  SECTION("the number of stored replies is bounded") {
    for (std::size_t I = 0; I < Catalog::MaxReplies; ++I)
      applyChange(State, declaration(std::to_string(I).c_str(), 0, Text));
    CHECK(State.Replies_.size() == Catalog::MaxReplies);
    CHECK_FALSE(findReply(State, ChangeId("c1")));
    CHECK(applyChange(State, declaration("c1", 0, Text)).Verdict_ ==
          ChangeVerdict::Conflict);
  }
}

TEST_CASE("An edit of a large file is sent as a splice") {
  Catalog State;
  std::string Text = localDeclarations();
  applyChange(State, declaration("c1", 0, Text));
  std::string Edited = Text;
  Edited.replace(Edited.find("burst = 100"), 11, "burst = 120");
  Change Small = makeSplice(State, declaration("c2", 1, Edited));
  REQUIRE(encode(Small).size() < 100);

  SECTION("that restores the full file") {
    CHECK(applyChange(State, Small).Revision_ == Revision(2));
    CHECK(State.Text_ == Edited);
  }
  SECTION("also if it only removes, adds or repeats text") {
    for (const std::string &Next : {Text + "\n# end\n", "# head\n" + Text, Text,
                                    Text + Text.substr(0, 2)}) {
      Change C = makeSplice(
          State,
          declaration(Next.c_str(), State.DeclarationsRevision_.value(), Next));
      CHECK(applyChange(State, C).Verdict_ == ChangeVerdict::Accepted);
      CHECK(State.Text_ == Next);
    }
  }
  SECTION("that is a conflict once the text was replaced") {
    applyChange(State, declaration("c3", 1, Text + "\n"));
    CHECK(applyChange(State, Small).Verdict_ == ChangeVerdict::Conflict);
    CHECK(State.Text_ == Text + "\n");
  }
  SECTION("that is invalid if the result has errors") {
    Change Bad = makeSplice(State, declaration("c3", 1, Text + "\n[vm.x]\n"));
    CHECK(applyChange(State, Bad).Verdict_ == ChangeVerdict::Invalid);
    CHECK(State.Text_ == Text);
  }
}

TEST_CASE("Keys are granted and withdrawn") {
  Catalog State;
  NewKey New = generateKey(KeyId("k1"), TeamId("rangers"));
  applyChange(State, keyChange("g1", ChangeKind::GrantKey, New.Grant_));

  SECTION("a secret is verified without being stored") {
    KeyCredential Credential = parseKeyCredential(New.Credential_);
    CHECK(encode(State).find(Credential.Secret_) == std::string::npos);
    const KeyGrant &Stored = State.GrantedKeys_.at(KeyId("k1"));
    CHECK(secretMatches(Stored.Salt_, Stored.Hash_, Credential.Secret_));
    CHECK_FALSE(
        secretMatches(Stored.Salt_, Stored.Hash_, Credential.Secret_ + "0"));
  }
  SECTION("a withdrawn key can't be granted again") {
    applyChange(State, keyChange("w1", ChangeKind::WithdrawKey, New.Grant_));
    CHECK(State.WithdrawnKeys_.count(KeyId("k1")));
    ChangeReply Again =
        applyChange(State, keyChange("g2", ChangeKind::GrantKey, New.Grant_));
    CHECK(Again.Verdict_ == ChangeVerdict::Conflict);
  }
  SECTION("granting an existing id is a conflict") {
    NewKey Other = generateKey(KeyId("k1"), TeamId("agents"));
    CHECK(
        applyChange(State, keyChange("g2", ChangeKind::GrantKey, Other.Grant_))
            .Verdict_ == ChangeVerdict::Conflict);
    CHECK(State.GrantedKeys_.at(KeyId("k1")).Team_ == TeamId("rangers"));
  }
}

TEST_CASE("A zone's view must have the next epoch") {
  Catalog State;
  auto View = [](const char *Id, std::uint64_t E) {
    return Change{.Id_ = ChangeId(Id),
                  .Kind_ = ChangeKind::SetView,
                  .View_ = {ZoneId("a"), Epoch(E), {{VmId("e1")}}}};
  };
  CHECK(applyChange(State, View("v1", 1)).Verdict_ == ChangeVerdict::Accepted);
  CHECK(applyChange(State, View("v2", 1)).Verdict_ == ChangeVerdict::Conflict);
  CHECK(applyChange(State, View("v3", 3)).Verdict_ == ChangeVerdict::Conflict);
  CHECK(applyChange(State, View("v4", 2)).Verdict_ == ChangeVerdict::Accepted);
}

TEST_CASE("Voters and followers have equal digests at one revision") {
  Catalog Voter;
  applyChange(Voter, declaration("bad", 7, localDeclarations()));
  applyChange(Voter, declaration("c1", 0, localDeclarations()));
  auto Follower =
      decode<Catalog>(encodeForFollowers(Voter), "test.decode", "e1");
  CHECK(digestOf(Follower) == digestOf(Voter));
  CHECK(Follower.Replies_.empty());
  applyChange(Voter, declaration("c2", 1, localDeclarations() + "\n"));
  CHECK(digestOf(Follower) != digestOf(Voter));
}

TEST_CASE("The catalog keeps the departures of upstreams for some minutes") {
  Catalog State;
  auto Record = [&](const Change &C) {
    ChangeReply Reply = applyChange(State, C);
    CHECK(Reply.Verdict_ == ChangeVerdict::Accepted);
  };
  auto Knows = [&](const char *Upstream, std::uint64_t StartedAtMs,
                   NoticePhase Phase) {
    UpstreamNotice Notice;
    Notice.Id_ = UpstreamId(Upstream);
    Notice.StartedAtMs_ = StartedAtMs;
    Notice.Phase_ = Phase;
    return isRecorded(State.Departures_, Notice);
  };
  Record(departure("i1", 5, NoticePhase::Leaving, 0));
  REQUIRE(Knows("i1", 5, NoticePhase::Leaving));
  CHECK_FALSE(Knows("i1", 5, NoticePhase::Gone));
  CHECK_FALSE(Knows("i1", 6, NoticePhase::Leaving));
  CHECK_FALSE(Knows("i2", 5, NoticePhase::Leaving));

  SECTION("without a revision or a stored reply") {
    CHECK(State.Revision_ == Revision());
    CHECK(State.Replies_.empty());
    CHECK(digestOf(State) == digestOf(Catalog()));
  }
  SECTION("an earlier phase or process does not replace a later one") {
    Record(departure("i1", 5, NoticePhase::Gone, 1));
    Record(departure("i1", 5, NoticePhase::Leaving, 2));
    CHECK(Knows("i1", 5, NoticePhase::Gone));
    Record(departure("i1", 6, NoticePhase::Leaving, 3));
    Record(departure("i1", 5, NoticePhase::Gone, 4));
    CHECK(Knows("i1", 6, NoticePhase::Leaving));
    CHECK_FALSE(Knows("i1", 6, NoticePhase::Gone));
  }
  SECTION("until a much later one is recorded") {
    Record(departure("i2", 5, NoticePhase::Gone, 120));
    CHECK(Knows("i1", 5, NoticePhase::Leaving));
    Record(departure("i3", 5, NoticePhase::Gone, 121));
    CHECK_FALSE(Knows("i1", 5, NoticePhase::Leaving));
    CHECK(Knows("i2", 5, NoticePhase::Gone));
    SECTION("also by a clock that was set back") {
      Record(departure("i4", 5, NoticePhase::Gone, -10));
      CHECK_FALSE(Knows("i2", 5, NoticePhase::Gone));
      CHECK(Knows("i4", 5, NoticePhase::Gone));
    }
  }
  SECTION("also in a snapshot") {
    State = decode<Catalog>(encode(State), "test", "");
    CHECK(Knows("i1", 5, NoticePhase::Leaving));
  }
  SECTION("which an older version wrote without them") {
    std::string Bytes = encode(Catalog());
    REQUIRE(Bytes.front() == '\x9c'); // array of 12, the last one an empty map
    REQUIRE(Bytes.back() == '\x80');
    Bytes.front() = '\x9b';
    Bytes.pop_back();
    CHECK(decode<Catalog>(Bytes, "test", "").Departures_.empty());
  }
  SECTION("but no announcement of an upstream that serves") {
    CHECK(applyChange(State, departure("i2", 5, NoticePhase::Serving, 1))
              .Verdict_ == ChangeVerdict::Invalid);
    CHECK_FALSE(Knows("i2", 5, NoticePhase::Serving));
  }
}
