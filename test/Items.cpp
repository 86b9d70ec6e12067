#include "lagoonpoint/Items"
#include "lagoonpoint/Catalog"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

VersionedItem<RouteItem> route(std::uint64_t Version, const char *Prefix,
                               const char *Service) {
  VersionedItem<RouteItem> Result;
  Result.Version_ = ItemVersion(Version);
  Result.Value_.Host_ = "tags.example";
  Result.Value_.Prefix_ = Prefix;
  Result.Value_.Split_ = {{ServiceId(Service), 1}};
  Result.Value_.Timeout_ = Duration::millis(1200);
  Result.Value_.LatencyObjective_ = Duration::millis(500);
  Result.SourceText_ = std::string(Prefix) + " to " + Service;
  return Result;
}

VersionedItem<ServiceItem> service(std::uint64_t Version) {
  VersionedItem<ServiceItem> Result;
  Result.Version_ = ItemVersion(Version);
  Result.Value_.HealthPath_ = "/health";
  return Result;
}

VersionedItem<TeamItem> team(std::uint64_t Version,
                             std::vector<std::string> Keys) {
  VersionedItem<TeamItem> Result;
  Result.Version_ = ItemVersion(Version);
  Result.Value_.Keys_ = std::move(Keys);
  return Result;
}

template <class Item> VersionedItem<Item> removal(std::uint64_t Version) {
  VersionedItem<Item> Result;
  Result.Version_ = ItemVersion(Version);
  Result.Removed_ = true;
  return Result;
}

ItemSet baseItems() {
  ItemSet Out;
  Out.Services_["register"] = service(1);
  Out.Services_["ledger"] = service(1);
  Out.Routes_["lookup"] = route(3, "/lookup/", "register");
  Out.Teams_["rangers"] = team(2, {"k1", "k2"});
  return Out;
}

ItemSet onlyRoute(const char *Name, const VersionedItem<RouteItem> &R) {
  ItemSet Out;
  Out.Routes_[Name] = R;
  return Out;
}

Change patch(const char *Id, ItemSet Items) {
  Change C;
  C.Id_ = ChangeId(Id);
  C.Kind_ = ChangeKind::PatchItems;
  C.Items_ = std::move(Items);
  return C;
}

} // namespace

TEST_CASE("Items are merged by version") {
  ItemSet Current;
  REQUIRE(mergeItems(Current, baseItems(), Revision(1)));

  SECTION("the higher version is kept, whatever the order") {
    ItemSet Newer = onlyRoute("lookup", route(9, "/lookup/", "ledger"));
    ItemSet Older = onlyRoute("lookup", route(4, "/old/", "register"));
    ItemSet Other = Current;
    CHECK(mergeItems(Current, Newer, Revision(2)));
    CHECK_FALSE(mergeItems(Current, Older, Revision(3)));
    mergeItems(Other, Older, Revision(2));
    mergeItems(Other, Newer, Revision(3));
    CHECK(Current.Routes_["lookup"].SourceText_ == "/lookup/ to ledger");
    CHECK(Other.Routes_["lookup"].SourceText_ == "/lookup/ to ledger");
  }
  SECTION("a removal is kept, so that an older version can't come back") {
    ItemSet Removed = onlyRoute("lookup", removal<RouteItem>(5));
    CHECK(mergeItems(Current, Removed, Revision(2)));
    CHECK(findItem(Current.Routes_, "lookup") == nullptr);
    CHECK_FALSE(mergeItems(Current,
                           onlyRoute("lookup", route(4, "/lookup/", "ledger")),
                           Revision(3)));
    CHECK(findItem(Current.Routes_, "lookup") == nullptr);
  }
  SECTION("other content under the current version changes nothing") {
    CHECK_FALSE(mergeItems(Current,
                           onlyRoute("lookup", route(3, "/lookup/", "ledger")),
                           Revision(2)));
    CHECK(Current.Routes_["lookup"].SourceText_ == "/lookup/ to register");
  }
  SECTION("merging the changes since a revision gives equal items") {
    ItemSet Behind = Current;
    mergeItems(Current, onlyRoute("lookup", removal<RouteItem>(5)),
               Revision(2));
    mergeItems(Current, onlyRoute("more", route(1, "/more/", "ledger")),
               Revision(3));
    ItemSet Changes = itemsChangedAfter(Current, Revision(1));
    CHECK(Changes.Routes_.size() == 2);
    CHECK(Changes.Teams_.empty());
    mergeItemsFromPeer(Behind, Changes);
    mergeItemsFromPeer(Behind, Changes);
    CHECK(encode(Behind) == encode(Current));
  }
  SECTION("a resent patch is recognized by its versions") {
    CHECK(containsItems(Current, baseItems()));
    CHECK_FALSE(containsItems(
        Current, onlyRoute("lookup", route(4, "/lookup/", "ledger"))));
    CHECK_FALSE(
        containsItems(Current, onlyRoute("new", route(1, "/n/", "ledger"))));
  }
}

TEST_CASE("The error for an invalid patch names the item") {
  ItemSet Current = baseItems();
  Current.Services_["gone"] = removal<ServiceItem>(4);
  auto R = route(9, "/lookup/", "register");

  SECTION("an unknown service") {
    R.Value_.Split_ = {{ServiceId("nowhere"), 1}};
    CHECK_THAT(validatePatch(Current, onlyRoute("lookup", R)),
               Catch::Contains("route \"lookup\"") &&
                   Catch::Contains("nowhere"));
  }
  SECTION("a removed service") {
    R.Value_.Split_ = {{ServiceId("gone"), 1}};
    CHECK_FALSE(validatePatch(Current, onlyRoute("lookup", R)).empty());
  }
  SECTION("but not for a service that the same patch adds") {
    R.Value_.Split_ = {{ServiceId("fresh"), 1}};
    ItemSet Patch = onlyRoute("lookup", R);
    Patch.Services_["fresh"] = service(1);
    CHECK(validatePatch(Current, Patch).empty());
  }
  SECTION("a weight below 0") {
    R.Value_.Split_ = {{ServiceId("register"), 2}, {ServiceId("ledger"), -1}};
    CHECK_FALSE(validatePatch(Current, onlyRoute("lookup", R)).empty());
  }
  SECTION("a timeout of 0") {
    R.Value_.Timeout_ = Duration();
    CHECK_FALSE(validatePatch(Current, onlyRoute("lookup", R)).empty());
  }
  SECTION("an objective a minute above the timeout") {
    R.Value_.LatencyObjective_ = R.Value_.Timeout_ + Duration::seconds(60);
    CHECK_FALSE(validatePatch(Current, onlyRoute("lookup", R)).empty());
    R.Value_.LatencyObjective_ =
        R.Value_.LatencyObjective_ - Duration::millis(1);
    CHECK(validatePatch(Current, onlyRoute("lookup", R)).empty());
  }
  SECTION("a key that two teams would share") {
    ItemSet Patch;
    Patch.Teams_["agents"] = team(1, {"k2"});
    CHECK_THAT(validatePatch(Current, Patch), Catch::Contains("shares a key"));
    SECTION("unless the same patch removes it from the other team") {
      Patch.Teams_["rangers"] = team(3, {"k1"});
      CHECK(validatePatch(Current, Patch).empty());
    }
    SECTION("also if the patch's version of the other team is too old") {
      Patch.Teams_["rangers"] = team(1, {"k1"});
      CHECK_FALSE(validatePatch(Current, Patch).empty());
    }
  }
}

// Guards against a check that looks at the items of a patch and not at those
// that it leaves: a service could be removed while a route named it.
TEST_CASE("A patch is checked by the items that it leaves in force") {
  ItemSet Current = baseItems();
  auto RemoveService = [](const char *Name, std::uint64_t Version) {
    ItemSet Out;
    Out.Services_[Name] = removal<ServiceItem>(Version);
    return Out;
  };
  auto MoveLookup = [](std::uint64_t Version, const char *Service) {
    return onlyRoute("lookup", route(Version, "/lookup/", Service));
  };
  SECTION("a service that a route names can't be removed") {
    CHECK_THAT(validatePatch(Current, RemoveService("register", 2)),
               Catch::Contains("service \"register\"") &&
                   Catch::Contains("route \"lookup\""));
    SECTION("also if it is one of several") {
      Current.Routes_["lookup"].Value_.Split_ = {{ServiceId("ledger"), 9},
                                                 {ServiceId("register"), 0}};
      CHECK_FALSE(validatePatch(Current, RemoveService("register", 2)).empty());
    }
    SECTION("and other services can") {
      CHECK(validatePatch(Current, RemoveService("ledger", 2)).empty());
    }
    SECTION("unless the same patch removes the route or moves it") {
      ItemSet Patch = RemoveService("register", 4);
      Patch.Routes_["lookup"] = removal<RouteItem>(4);
      CHECK(validatePatch(Current, Patch).empty());
      Patch.Routes_["lookup"] = route(4, "/lookup/", "ledger");
      CHECK(validatePatch(Current, Patch).empty());
      SECTION("with a version that is too old") {
        Patch.Routes_["lookup"].Version_ = ItemVersion(3);
        CHECK_FALSE(validatePatch(Current, Patch).empty());
      }
    }
    SECTION("and an outdated removal changes nothing") {
      CHECK(validatePatch(Current, RemoveService("register", 1)).empty());
    }
  }
  SECTION("a call that later ones have overtaken is valid when it is resent") {
    ItemSet First = MoveLookup(4, "register");
    mergeItems(Current, MoveLookup(5, "ledger"), Revision(2));
    mergeItems(Current, RemoveService("register", 6), Revision(3));
    CHECK(validatePatch(Current, First).empty());
    CHECK(newerItems(Current, First).empty());
    SECTION("also with an item that is still newer") {
      First.Routes_["more"] = route(4, "/more/", "ledger");
      CHECK(validatePatch(Current, First).empty());
      ItemSet Newer = newerItems(Current, First);
      CHECK(Newer.Routes_.size() == 1);
      CHECK(Newer.Routes_.count("more") == 1);
    }
    SECTION("but not if it names a service that never existed") {
      CHECK_FALSE(validatePatch(Current, MoveLookup(4, "nowhere")).empty());
    }
  }
  SECTION("items that an earlier version accepted can be repaired") {
    mergeItems(Current, RemoveService("register", 6), Revision(2));
    ItemSet Other;
    Other.Teams_["agents"] = team(1, {"k3"});
    CHECK(validatePatch(Current, Other).empty());
    CHECK(validatePatch(Current, MoveLookup(7, "ledger")).empty());
    ItemSet Again;
    Again.Services_["register"] = service(7);
    CHECK(validatePatch(Current, Again).empty());
    CHECK_FALSE(validatePatch(Current, MoveLookup(7, "register")).empty());
  }
  SECTION("an entry of the log is applied as by earlier versions") {
    CHECK(validateLoggedPatch(Current, RemoveService("register", 2)).empty());
    CHECK_FALSE(validateLoggedPatch(Current, MoveLookup(2, "nowhere")).empty());
  }
}

TEST_CASE("The catalog applies patches of items") {
  Catalog State;
  REQUIRE(applyChange(State, patch("p1", baseItems())).Verdict_ ==
          ChangeVerdict::Accepted);
  REQUIRE(State.Revision_ == Revision(1));

  SECTION("no item of an invalid patch is applied") {
    ItemSet Bad = onlyRoute("new", route(1, "/new/", "register"));
    Bad.Routes_["bad"] = route(1, "/bad/", "nowhere");
    CHECK(applyChange(State, patch("p2", Bad)).Verdict_ ==
          ChangeVerdict::Invalid);
    CHECK(findItem(State.Items_.Routes_, "new") == nullptr);
    CHECK(State.Revision_ == Revision(1));
  }
  SECTION("an outdated patch is accepted and changes nothing") {
    ItemSet Older = onlyRoute("lookup", route(2, "/old/", "register"));
    CHECK(applyChange(State, patch("p2", Older)).Verdict_ ==
          ChangeVerdict::Accepted);
    CHECK(State.Revision_ == Revision(1));
    CHECK(State.Items_.Routes_["lookup"].Value_.Prefix_ == "/lookup/");
  }
  SECTION("a snapshot contains the items") {
    Catalog Read = decode<Catalog>(encode(State), "test", "");
    CHECK(encode(Read.Items_) == encode(State.Items_));
  }
}

TEST_CASE("A route table finds routes by prefix and teams by key") {
  ItemSet Items = baseItems();
  Items.Routes_["deep"] = route(1, "/lookup/deep/", "ledger");
  Items.Routes_["gone"] = removal<RouteItem>(2);
  RouteTable Table(Items);

  CHECK(Table.find("tags.example", "/lookup/7")->Name_ == "lookup");
  CHECK(Table.find("tags.example", "/lookup/deep/7")->Name_ == "deep");
  CHECK(Table.find("tags.example", "/lookup") == nullptr);
  CHECK(Table.find("other.example", "/lookup/7") == nullptr);
  CHECK(Table.teamOf("k2") == TeamId("rangers"));
  CHECK(Table.teamOf("k3").empty());
  SECTION("routes that aren't open need a key") {
    CHECK(Table.requiresKeys());
    SECTION("also once the last team was removed") {
      Items.Teams_["rangers"] = removal<TeamItem>(9);
      CHECK(RouteTable(Items).requiresKeys());
      CHECK(RouteTable(Items).teamOf("k2").empty());
    }
    SECTION("unless there was never a team") {
      Items.Teams_.clear();
      CHECK_FALSE(RouteTable(Items).requiresKeys());
    }
  }
}
