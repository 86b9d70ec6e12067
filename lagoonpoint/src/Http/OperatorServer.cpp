#include "lagoonpoint/src/Http/OperatorServer.h"

#include "lagoonpoint/src/Http/util/JsonService.h"

#include <sstream>

namespace lagoonpoint {

namespace {

using internal::BufferedRequest;
using internal::HttpResponse;

HttpResponse metricsResponse(OperatorPort &Port) {
  return {200,
          {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
          Port.metrics()};
}

HttpResponse healthResponse(OperatorPort &Port) {
  std::string WhyNot;
  if (Port.ready(WhyNot))
    return internal::jsonResponse(200, "{\"ready\":true}\n");
  return internal::jsonResponse(
      503, "{\"ready\":false,\"why\":" + internal::jsonString(WhyNot) + "}\n");
}

void checkKey(const Settings &S, const std::string &SentKey) {
  if (SentKey.empty())
    throw Refusal(RefusalReason::KeyMissing, Ran::No, "http.operator",
                  "the operators' key is missing");
  // If no key is configured, no key is accepted.
  if (S.OperatorKey_.empty() ||
      !internal::equalInConstantTime(SentKey, S.OperatorKey_))
    throw Refusal(RefusalReason::KeyUnknown, Ran::No, "http.operator",
                  "wrong operators' key");
}

HttpResponse portResponse(OperatorPort &Port, const BufferedRequest &Request) {
  OperatorReply Reply = Port.handle(
      {Request.Method_, Request.Path_, internal::parseObject(Request.Body_)});
  std::ostringstream Text;
  if (Reply.Body_)
    Reply.Body_->stringify(Text);
  Text << "\n";
  HttpResponse Out = internal::jsonResponse(Reply.Status_, Text.str());
  Out.Fields_.emplace_back("X-Request-Id", Request.Id_.str());
  return Out;
}

HttpResponse handle(OperatorPort &Port, const Settings &S,
                    const BufferedRequest &Request) {
  bool IsRead = Request.Method_ == "GET" || Request.Method_ == "HEAD";
  if (IsRead && Request.Path_ == "/metrics")
    return metricsResponse(Port);
  if (IsRead && Request.Path_ == "/healthz")
    return healthResponse(Port);
  if (!Request.Path_.starts_with("/v1/"))
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, "http.operator",
                  "the operators' listener serves /v1/..., /metrics and "
                  "/healthz");
  checkKey(S, Request.Key_);
  if (!Request.Query_.empty())
    throw Refusal(RefusalReason::BadRequest, Ran::No, "http.operator",
                  "parameters must be in the body, not in the URL");
  return portResponse(Port, Request);
}

} // namespace

struct OperatorServer::Impl {
  Impl(OperatorPort &Port, const Settings &S, const Clock &C,
       MetricRegistry *Metrics)
      : Service_(S.Operators_, S, C, "operators", Metrics,
                 [&Port, &S](const BufferedRequest &Request) {
                   return handle(Port, S, Request);
                 }) {}

  internal::JsonService Service_;
};

OperatorServer::OperatorServer(OperatorPort &Port, const Settings &S,
                               const Clock &C, MetricRegistry *Metrics)
    : Impl_(std::make_unique<Impl>(Port, S, C, Metrics)) {}

OperatorServer::~OperatorServer() = default;

void OperatorServer::start() { Impl_->Service_.start(); }
void OperatorServer::stop() { Impl_->Service_.stop(); }
unsigned short OperatorServer::port() const { return Impl_->Service_.port(); }

} // namespace lagoonpoint
