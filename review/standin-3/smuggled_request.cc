// A client sends a body under a transfer coding that doesn't end with chunked,
// so that nobody can tell where the body ends. The body holds the text of
// another request.

#include "lab.h"

using namespace lab;

namespace {

std::string
Configuration()
{
  return R"({"version":7,"routes":[{"name":"order","host":"log.example",)"
         R"("path_prefix":"/order/","kind":"non_idempotent","timeout_ms":3000,)"
         R"("target_latency_ms":400,"priority":2,"service":"log",)"
         R"("max_attempts":2}],"services":[{"name":"log",)"
         R"("health_path":"/health","max_conns":214,"protocol":"h1","tls":false,)"
         R"("warmup_s":0,"warmup_per_s":0.0}],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/** The head of an order up to the fields that frame its body. */
std::string
Head(const std::string& aId)
{
  return "POST /order/" + aId +
         " HTTP/1.1\r\nHost: log.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 3000\r\n";
}

std::string
WithLength(const std::string& aId, const std::string& aBody)
{
  return Head(aId) + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

}

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "smuggled_request TOP RECORD" << std::endl;
    return 2;
  }
  bool hasTrouble = std::getenv("TROUBLE") == nullptr ||
                    std::string(std::getenv("TROUBLE")) != "0";
  signal(SIGPIPE, SIG_IGN);
  record log(aWords[2]);
  deployment system(aWords[1], 3, 2);
  system.StartAll();
  if (system.Order("/api/Config.Put", Configuration()) != 200 ||
      !system.AwaitReady()) {
    log.Say("the deployment did not start");
    return 2;
  }
  std::mutex lock;
  std::multiset<std::string> ran;
  run_handler run = [&](server&, const message& aRequest) {
    std::lock_guard guard(lock);
    std::string id = aRequest.Field("x-request-id");
    ran.insert(id);
    log.Line("server runs " + id + ": " + aRequest.mFirst + ", body of " +
             std::to_string(aRequest.mBody.size()) + " bytes");
    run_result result;
    result.mBody = "done " + id;
    return result;
  };
  std::vector<std::unique_ptr<server>> servers;
  for (int number = 0; number < 3; ++number) {
    server_options options;
    options.mService = "log";
    options.mZone = system.mZones[static_cast<std::size_t>(number)];
    options.mAddress = system.mNet + std::to_string(100 + number) + ":8080";
    servers.push_back(
      std::make_unique<server>(options, system.Controls(), run, log));
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));

  int foreign = 0;
  int answered = 0;
  int number = 0;
  std::set<std::string> sent;
  for (const std::string coding : { "gzip", "identity", "chunked, identity" }) {
    std::string upload = "upload" + std::to_string(++number);
    std::string next = "next" + std::to_string(number);
    // What a user of the client wrote, which is no request of the client.
    std::string body = WithLength("hidden" + std::to_string(number), "rake");
    sent.insert({ upload, next });
    connection peer;
    if (!peer.Open(system.Fronts()[0], ms(1000))) {
      log.Say("cannot connect");
      return 2;
    }
    std::string bytes =
      hasTrouble
        ? Head(upload) + "Transfer-Encoding: " + coding + "\r\n\r\n" + body
        : WithLength(upload, body);
    for (const std::string& id : { upload, next }) {
      log.Line("client sends " + id +
               (id == upload && hasTrouble
                  ? " (Transfer-Encoding: " + coding + ")"
                  : std::string()));
      peer.Write(id == upload ? bytes : WithLength(id, "tine"));
      auto answer = peer.Read(steady::now() + ms(3500));
      if (!answer) {
        log.Line("client gets no answer for " + id);
        break;
      }
      std::string named = answer->Field("x-request-id");
      log.Line("client gets " + std::to_string(answer->Status()) + " for " +
               id + ", of request " + named + ": " +
               answer->mBody.substr(0, 60));
      bool isServed = answer->Status() == 200;
      answered += isServed ? 1 : 0;
      foreign += isServed && named != id ? 1 : 0;
      if (answer->Field("connection") == "close") {
        break;
      }
    }
  }
  std::this_thread::sleep_for(ms(500));
  std::size_t smuggled = 0;
  {
    std::lock_guard guard(lock);
    for (const std::string& id : ran) {
      smuggled += sent.contains(id) ? 0 : 1;
    }
  }
  servers.clear();
  log.Say(
    "requests run that no client sent: " + std::to_string(smuggled) +
    "; answers that belong to another request: " + std::to_string(foreign) +
    "; answers 200: " + std::to_string(answered));
  bool couldRun = hasTrouble || answered == 6;
  if (!couldRun) {
    return 2;
  }
  return smuggled > 0 ? 1 : 0;
}
