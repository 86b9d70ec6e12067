#pragma once

#include "lagoonpoint/Http"

#include <string>

namespace lagoonpoint::fakes {

/// Accepts announcements with the key "service key".
struct FakeUpstreamPort final : UpstreamPort {
  Announcement LastAnnouncement_;
  int AnnouncementCount_ = 0;

  AnnounceReply announce(const Announcement &A,
                         const std::string &ServiceKey) override {
    if (ServiceKey != "service key")
      throw Refusal(RefusalReason::KeyUnknown, Ran::No, "fake", "wrong key");
    LastAnnouncement_ = A;
    ++AnnouncementCount_;
    return {Duration::seconds(3), Duration::seconds(1)};
  }
};

/// Echoes operators' requests.
struct FakeOperatorPort final : OperatorPort {
  bool Ready_ = true;
  bool Fails_ = false;

  OperatorReply handle(const OperatorRequest &Request) override {
    if (Fails_)
      throw Error("fake.step", "e2", "no quorum");
    Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
    Body->set("method", Request.Method_);
    Body->set("path", Request.Path_);
    if (Request.Body_)
      Body->set("body", Request.Body_);
    return {202, Body};
  }
  std::string metrics() override { return "lagoonpoint_x 1\n"; }
  bool ready(std::string &WhyNot) override {
    WhyNot = "no declarations";
    return Ready_;
  }
};

} // namespace lagoonpoint::fakes
