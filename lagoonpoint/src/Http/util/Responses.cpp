#include "lagoonpoint/src/Http/util/Responses.h"

#include "lagoonpoint/src/Http/util/Fields.h"

#include <Poco/JSONString.h>

#include <cstdio>

namespace lagoonpoint::internal {

namespace {

// Rounds up to whole seconds, the unit of Retry-After.
std::int64_t ceilSeconds(Duration D) { return (D.count() + 999) / 1000; }

std::string retryAfterText(Duration Wait, const Dialect &D) {
  if (!D.FractionalRetryAfter_)
    return std::to_string(ceilSeconds(Wait));
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f", Wait.inSeconds());
  return Text;
}

std::string refusalBody(const Refusal &R, const RequestId &Request) {
  std::string Body = "{\"reason\":\"";
  Body += toString(R.reason());
  Body += "\",\"ran\":\"";
  Body += toString(R.ran());
  Body += "\",\"message\":" + jsonString(R.message());
  Body += ",\"retry_after_ms\":" + std::to_string(R.retryAfter().count());
  Body += ",\"request_id\":" + jsonString(Request.str()) + "}\n";
  return Body;
}

} // namespace

RequestId makeRequestId() {
  thread_local Random Generator((std::uint64_t(std::random_device()()) << 32) |
                                std::random_device()());
  char Text[33];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(Generator()),
                static_cast<unsigned long long>(Generator()));
  return RequestId(Text);
}

std::string jsonString(const std::string &Text) { return Poco::toJSON(Text); }

HttpResponse refusalResponse(const Refusal &R, const RequestId &Request,
                             const Dialect &D) {
  HttpResponse Out = jsonResponse(statusOf(R, D), refusalBody(R, Request));
  Out.Fields_.emplace_back(D.RequestId_, Request.str());
  if (R.ran() == Ran::No)
    Out.Fields_.emplace_back(D.NotRun_, "1");
  if (R.retryAfter() > Duration())
    Out.Fields_.emplace_back("Retry-After", retryAfterText(R.retryAfter(), D));
  return Out;
}

HttpResponse jsonResponse(int Status, std::string Body) {
  return {Status,
          {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}},
          std::move(Body)};
}

std::string formatHead(int Status, const HeaderFields &F, bool KeepAlive) {
  using Poco::Net::HTTPResponse;
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += HTTPResponse::getReasonForStatus(
      static_cast<HTTPResponse::HTTPStatus>(Status));
  Text += "\r\n";
  for (const auto &[Name, Value] : F)
    appendField(Text, Name, Value);
  if (!KeepAlive)
    Text += "Connection: close\r\n";
  return Text;
}

bool writeResponse(BufferedSocket &Out, const HttpResponse &A,
                   ResponseOptions Options, const Deadline &Limit) {
  std::string Text = formatHead(A.Status_, A.Fields_, Options.KeepAlive_);
  Text += "Content-Length: " + std::to_string(A.Body_.size()) + "\r\n\r\n";
  if (!Options.IsHeadRequest_)
    Text += A.Body_;
  std::int64_t Written = 0;
  return Out.write(Text, Limit, Written) == IoStatus::Ready;
}

} // namespace lagoonpoint::internal
