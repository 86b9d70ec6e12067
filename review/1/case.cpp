// A header value is an encoded word of RFC 2047. The edge machine checks the
// bytes that were sent, but forwards the decoded text, whose line breaks end
// the head of the forwarded request.

#include "../standins.h"

using namespace review;

namespace {

constexpr const char *Items =
    R"({"upsert":{"routes":{"columns":["name","host","pathPrefix","routeType",)"
    R"("timeout","targetLatency","priority","service","maxAttempts",)"
    R"("allowAnonymous","version"],"rows":[)"
    R"(["lookup","review.example","/lookup/","safe","1200ms","500ms",2,"register",2,false,1],)"
    R"(["transfer","review.example","/transfer/","unsafe","1500ms","600ms",1,"register",2,false,1]]},)"
    R"("tenants":{"columns":["name","apiKeys","version"],"rows":[)"
    R"(["alpha",["key-of-alpha-4cq8"],1],["beta",["key-of-beta-77xw"],1]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections","protocol","tls","version"],)"
    R"("rows":[["register","/health",330,"h1",false,1]]},)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeout":"3000ms","idleTimeout":"15000ms","version":1}}})";

/// \returns the text as an encoded word, which has only printable ASCII bytes.
std::string encodedWord(const std::string &Text) {
  std::string Out = "=?utf-8?Q?";
  for (char C : Text) {
    char Escaped[8];
    std::snprintf(Escaped, sizeof(Escaped), "=%02X",
                  static_cast<unsigned char>(C));
    Out += Escaped;
  }
  return Out + "?=";
}

int run(Record &Out) {
  Deployment &D =
      Deployment::create({{"a", "north"}, {"b", "north"}, {"c", "north"}}, Out);
  for (const char *Name : {"a", "b", "c"})
    D.addMachines(Name, true, 1);
  D.addMachines("a", false, 1);
  D.startAll();
  Runs &Seen = *new Runs(Out);
  new Instance(D, Seen, "i-1", "register", "a");
  if (!D.order("config.patch", "", Items, 0, 20'000) || !D.waitReady(10'000))
    return CouldNotRun;
  Machine &Edge = *D.edges().front();
  Request Warm{.Path_ = "/lookup/1",
               .Attempt_ = "warm",
               .Key_ = "key-of-alpha-4cq8",
               .Fields_ = "",
               .Body_ = ""};
  if (!waitServed(Edge, Warm, 15'000, Out))
    return CouldNotRun;
  std::size_t Before = Seen.all().size();

  // The only request of the client, with the key of tenant alpha.
  std::string Smuggled = "seen\r\n"
                         "Lagoonpoint-Attempt-Id: attempt-1\r\n"
                         "Lagoonpoint-Tenant: beta\r\n"
                         "\r\n"
                         "POST /transfer/9 HTTP/1.1\r\n"
                         "Host: review.example\r\n"
                         "Lagoonpoint-Attempt-Id: never-sent-1\r\n"
                         "Lagoonpoint-Tenant: beta\r\n"
                         "Content-Length: 0\r\n"
                         "\r\n";
  Request Only = Warm;
  Only.Attempt_ = "attempt-1";
  Only.Fields_ =
      "X-Note: " + (withTrouble() ? encodedWord(Smuggled) : "seen") + "\r\n";
  Out.line("client: sends with the key of alpha\n" + Only.head());
  auto Answer = call(Edge.Ip_, FrontendPort, Only.head(), 3500);
  Out.line("client: " + (Answer ? std::to_string(Answer->status()) +
                                      ", body \"" + Answer->Body_ + "\""
                                : std::string("no answer")));
  sleepMs(1000);

  int Result = Held;
  std::vector<Run> All = Seen.all();
  for (std::size_t Index = Before; Index < All.size(); ++Index) {
    const Message &R = All[Index].Request_;
    std::string Attempt = R.field("Lagoonpoint-Attempt-Id");
    if (Attempt != "attempt-1") {
      Out.line("UNASKED: no client sent attempt " + Attempt);
      Result = Broken;
    }
    if (R.field("Lagoonpoint-Tenant") != "alpha") {
      Out.line("UNASKED: attempt " + Attempt + " runs for tenant \"" +
               R.field("Lagoonpoint-Tenant") + "\", the key is alpha's");
      Result = Broken;
    }
  }
  bool Served = Answer && Answer->status() == 200;
  return Result == Held && !withTrouble() && !Served ? CouldNotRun : Result;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
