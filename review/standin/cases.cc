// Plays one case of the review:
//   cases CASE REPOSITORY RECORD WORKFOLDER TROUBLE
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <optional>
#include <random>

#include "platform.h"

namespace review {
namespace {

constexpr int kStorePort = 8169, kFrontPort = 8161, kReadyPort = 8167,
              kControlPort = 8166, kAppPort = 8165, kFramesPort = 7720;
constexpr int kMachines = 3;
const char kHost[] = "jobs.example";

const char kConfig[] =
    R"({"version":3,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/",)"
    R"("service":"svc","priority":0,"max_attempts":3,"stretch":1.5,)"
    R"("slo_ms":600,"timeout_ms":3000}],"services":[{"name":"svc",)"
    R"("health_path":"/health","max_conns":64,"rejects_overload":false}],)"
    R"("limits":{"max_body_bytes":262144}})";

// Thrown if the case couldn't run.
struct CannotRun {
  std::string why;
};

struct Site {
  net::io_context io{1};
  Record record;
  Fleet fleet{record};
  Programs programs;
  std::string net;
  bool trouble = true;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Executor>> executors;

  Site(const std::string& root, const std::string& record_path,
       const std::string& work, bool with_trouble)
      : record(record_path), programs(root, work), trouble(with_trouble) {}

  std::string Ip(int n) const { return net + std::to_string(n); }

  // Picks loopback addresses of its own, so all of their ports are free.
  void Build() {
    std::mt19937 random(static_cast<unsigned>(getpid()));
    net = "127." + std::to_string(20 + random() % 200) + "." +
          std::to_string(1 + random() % 250) + ".";
    store = std::make_unique<Store>(io, Ip(9), kStorePort);
    store->Put("op/config", kConfig);
    for (int i = 1; i <= kMachines; ++i) {
      executors.push_back(
          std::make_unique<Executor>(io, fleet, "side-" + std::to_string(i),
                                     Ip(20 + i), kAppPort, kControlPort));
    }
  }

  void StartPrograms() {
    const auto address = [&](int n, int port) {
      return Ip(n) + ":" + std::to_string(port);
    };
    std::map<std::string, std::string> values{
        {"platform.address", address(9, kStorePort)},
        {"internal_ports.0", std::to_string(kFramesPort)}};
    values["node"] = "front-1";
    values["ip"] = Ip(10);
    values["listen.front"] = address(10, kFrontPort);
    values["listen.ready"] = address(10, kReadyPort);
    if (programs.Start("entry", "front-1", values) == 0) {
      throw CannotRun{"the entry doesn't start"};
    }
    for (int i = 1; i <= kMachines; ++i) {
      StartAgent("side-" + std::to_string(i));
    }
  }

  void StartAgent(const std::string& name) {
    const int n = 20 + (name.back() - '0');
    const auto address = [&](int machine, int port) {
      return Ip(machine) + ":" + std::to_string(port);
    };
    const std::map<std::string, std::string> values{
        {"platform.address", address(9, kStorePort)},
        {"internal_ports.0", std::to_string(kFramesPort)},
        {"bounds.stop_grace_ms", "400"},
        {"node", name},
        {"ip", Ip(n)},
        {"listen.control", address(n, kControlPort)},
        {"app", address(n, kAppPort)}};
    if (programs.Start("agent", name, values) == 0) {
      throw CannotRun{"an agent doesn't start"};
    }
  }

  // An executor with running tasks on another machine than the holder's.
  Executor& BesideHolder() {
    const std::string holder = store->Holder();
    for (auto& executor : executors) {
      const bool beside = !holder.empty() && executor->name() != holder;
      if (beside && !executor->running().empty()) return *executor;
    }
    throw CannotRun{"no executor beside the holder runs a task"};
  }

  net::awaitable<Answer> Client(std::string method, std::string path,
                                std::string body = "") {
    const Answer answer = co_await Call(Ip(10), kFrontPort, method, path, kHost,
                                        body, 3000, "3000");
    record.Line(
        "client: " + method + " " + path + " -> " +
        (answer.status == 0 ? "no answer" : std::to_string(answer.status)) +
        " " + answer.body);
    co_return answer;
  }

  // Hands a job in, again after a refusal, as a client does.
  net::awaitable<void> Submit(std::string id, int count, int work_ms,
                              int cpu = 20000, std::string more = "") {
    json::object step{{"count", count},
                      {"cpu", cpu},
                      {"mem_mb", cpu / 20},
                      {"estimate_ms", work_ms}};
    if (!more.empty()) step["checkpoints"] = true;
    const std::string body = json::serialize(
        json::object{{"spec", "work=" + std::to_string(work_ms) + more},
                     {"steps", json::array{step}}});
    for (int i = 0; i < 30; ++i) {
      const Answer answer = co_await Client("POST", "/q/" + id, body);
      if (answer.status / 100 == 2) co_return;
      co_await Sleep(500);
    }
    throw CannotRun{"no job was accepted"};
  }

  net::awaitable<void> Until(std::string what, std::int64_t limit_ms,
                             std::function<bool()> holds) {
    const std::int64_t limit = NowMs() + limit_ms;
    while (!holds()) {
      if (NowMs() > limit) throw CannotRun{"not seen in time: " + what};
      co_await Sleep(10);
    }
  }

  net::awaitable<void> Warm() {
    for (auto& executor : executors) {
      executor->StartLife("i-" + executor->name());
    }
    StartPrograms();
    co_await Submit("00000000000000aa", 6, 300);
    co_await Until("the first job is done", 20'000,
                   [&] { return fleet.started().size() >= 6 && Idle(); });
    co_await Sleep(1000);
  }

  bool Idle() const {
    for (const auto& executor : executors) {
      if (!executor->running().empty()) return false;
    }
    return true;
  }
};

// An executor drains and leaves. With trouble its machine's agent is frozen for
// 2 s when it does, so it gets no acknowledgement and "ends anyway, some
// seconds later".
Task LeaveUnanswered(Site& site) {
  co_await site.Warm();
  co_await site.Submit("00000000000000b1", 6, 60'000);
  co_await site.Until("all tasks run", 10'000,
                      [&] { return site.fleet.started().size() >= 12; });
  Executor& leaver = site.BesideHolder();
  leaver.StartDraining();
  co_await site.Until("draining is acknowledged", 10'000,
                      [&] { return leaver.acknowledged_draining(); });
  co_await Sleep(3500);  // drain_ms, and a little longer
  leaver.StopBeating();
  const std::int64_t left_at = NowMs();
  const auto leave = [&]() -> net::awaitable<int> {
    site.record.Line(leaver.name() + ": sends POST " + leaver.LeavePath());
    const Answer answer =
        co_await Call(leaver.ip(), kControlPort, "POST", leaver.LeavePath(),
                      leaver.ip(), leaver.SelfBody(), 1000);
    site.record.Line(leaver.name() + ": that call has " +
                     (answer.status == 0 ? "no answer within a second"
                                         : std::to_string(answer.status)));
    co_return answer.status;
  };
  if (site.trouble) {
    site.record.Line(leaver.name() + ": its agent freezes");
    site.programs.Signal(leaver.name(), SIGSTOP);
    co_await leave();
    while (NowMs() < left_at + 2000) co_await Sleep(10);
    site.record.Line(leaver.name() + ": its agent wakes");
    site.programs.Signal(leaver.name(), SIGCONT);
    while (NowMs() < left_at + 4000) co_await Sleep(10);
    leaver.End("it had no acknowledgement");
  } else {
    if (co_await leave() != 200) throw CannotRun{"leaving isn't acknowledged"};
    leaver.End("its leaving was acknowledged");
  }
  co_await Sleep(3000);
}

// The holder's agent is stopped as planned. Meanwhile an executor that drains
// on another machine has done its last tasks, lists their ends, and leaves.
Task LeaveAtStop(Site& site) {
  co_await site.Warm();
  co_await site.Submit("00000000000000b3", 6, 60'000);
  co_await site.Until("all tasks run", 10'000,
                      [&] { return site.fleet.started().size() >= 12; });
  Executor* const leaver = &site.BesideHolder();
  leaver->StartDraining();
  co_await site.Until("draining is acknowledged", 10'000,
                      [&] { return leaver->acknowledged_draining(); });
  co_await Sleep(3500);  // drain_ms, and a little longer
  std::string holder;
  if (site.trouble) {
    holder = site.store->Holder();
    site.record.Line(holder + ": SIGTERM to its agent, which holds the cell");
    site.programs.Signal(holder, SIGTERM);
    co_await site.Until("the cell is handed over", 2000,
                        [&] { return site.store->Holder() != holder; });
    site.record.Line("store: the holder's key is gone");
  }
  leaver->FinishWork();
  co_await site.Until("the ends are listed", 2000,
                      [&] { return leaver->listed() == leaver->unnoted(); });
  co_await Sleep(40);
  const Answer answer =
      co_await Call(leaver->ip(), kControlPort, "POST", leaver->LeavePath(),
                    leaver->ip(), leaver->SelfBody(), 1000);
  site.record.Line(leaver->name() + ": " + leaver->LeavePath() + " -> " +
                   std::to_string(answer.status));
  leaver->End("its leaving was acknowledged");
  co_await Sleep(1500);
  if (site.trouble) {
    site.record.Line(holder + ": its agent starts again");
    site.StartAgent(holder);
  }
  co_await Sleep(6000);
}

// An executor crashes and starts again under the same id. Before its first
// heartbeat it is given a task, and its answers are lost from then on.
Task RebornLease(Site& site) {
  co_await site.Warm();
  const std::string holder = site.store->Holder();
  Executor& reborn =
      *site.executors[holder == site.executors[0]->name() ? 1 : 0];
  reborn.End("it crashes");
  co_await Sleep(500);
  const std::int64_t born = NowMs();
  reborn.StartLife(reborn.id(), 700);
  co_await Sleep(400);
  if (site.trouble) reborn.SetMute(true);
  co_await Sleep(100);
  co_await site.Submit("00000000000000f1", 6, 30'000);
  while (NowMs() < born + 6900) co_await Sleep(10);
  if (site.trouble) reborn.SetMute(false);
  co_await Sleep(6000);
}

// A Deregister call of an executor's earlier life arrives late, after the next
// life has registered under the same id.
Task LeaveLate(Site& site) {
  co_await site.Warm();
  Executor& machine = *site.executors[0];
  machine.StartDraining();
  co_await site.Until("draining is acknowledged", 10'000,
                      [&] { return machine.acknowledged_draining(); });
  co_await Sleep(3500);
  const std::string path = machine.LeavePath();
  const std::string body = machine.SelfBody();
  machine.StopBeating();
  const auto deliver = [&]() -> net::awaitable<void> {
    const Answer answer = co_await Call(machine.ip(), kControlPort, "POST",
                                        path, machine.ip(), body, 1000);
    site.record.Line("side-1: " + path + " of the earlier life, " + body +
                     " -> " + std::to_string(answer.status));
  };
  if (!site.trouble) co_await deliver();
  co_await Sleep(site.trouble ? 2000 : 10);
  machine.End("it leaves");
  co_await Sleep(2500);  // reuse_after_s and a little longer
  machine.StartLife(machine.id());
  co_await Sleep(2500);
  co_await site.Submit("00000000000000b2", 6, 20'000);
  co_await site.Until("tasks run on side-1 again", 15'000,
                      [&] { return !machine.running().empty(); });
  co_await site.Until("all tasks run", 10'000,
                      [&] { return site.fleet.started().size() >= 12; });
  co_await Sleep(1500);
  if (site.trouble) co_await deliver();
  co_await Sleep(5000);
}

// Two jobs whose ids differ: with trouble by the case of their letters only.
Task CapitalId(Site& site) {
  co_await site.Warm();
  const std::string first = "5c0e7a21d94b36f8";
  const std::string second =
      site.trouble ? "5C0E7A21D94B36F8" : "5c0e7a21d94b36f9";
  co_await site.Submit(first, 1, 500);
  co_await Sleep(1500);
  co_await site.Submit(second, 3, 700);
  co_await Sleep(4000);
  std::size_t started = 0;
  for (const std::string& task : site.fleet.started()) {
    if (task.substr(0, 16) == second) ++started;
  }
  site.record.Line(std::to_string(started) + " of 3 tasks of " + second +
                   " have started");
  const Answer answer = co_await site.Client("GET", "/q/" + second);
  const bool completed = answer.body.find("completed") != std::string::npos;
  if (started < 3 && completed) {
    site.fleet.Broken("MIXED: the accepted job " + second +
                      " is shown as completed, and none of its tasks has run");
  }
}

// An id of zeros.
Task ZeroId(Site& site) {
  co_await site.Warm();
  const std::string id = site.trouble ? "0000000000000000" : "0000000000000001";
  co_await site.Submit(id, 2, 500);
  co_await site.Until("its tasks start", 10'000,
                      [&] { return site.fleet.started().size() >= 8; });
  bool shown = false;
  for (int i = 0; i < 10; ++i) {
    const Answer answer = co_await site.Client("GET", "/q/" + id);
    shown = answer.body.find("\"state\"") != std::string::npos;
    co_await Sleep(500);
  }
  if (!shown) {
    site.fleet.Broken("MIXED: the state of the accepted job " + id +
                      " can't be read");
  }
}

// A job of many tasks that save checkpoints; beside it, small jobs are
// cancelled.
Task ManyTasks(Site& site) {
  site.store->on_too_large = [&](const std::string& key, std::size_t bytes) {
    site.record.Line("store: 400 to a write of " + key + ", " +
                     std::to_string(bytes) + " bytes");
  };
  co_await site.Warm();
  const std::vector<std::string> small{"00000000000000c1", "00000000000000c2",
                                       "00000000000000c3", "00000000000000c4"};
  for (const std::string& id : small) co_await site.Submit(id, 1, 100'000, 100);
  const std::string big = "00000000000000d1";
  const int count = site.trouble ? 20'000 : 2'000;
  site.fleet.quiet_job = big;
  co_await site.Submit(big, count, 100'000, 5, " first=30000 checkpoint=2000");
  const std::size_t all = 6 + small.size() + static_cast<std::size_t>(count);
  co_await site.Until("all tasks run", 28'000,
                      [&] { return site.fleet.started().size() >= all; });
  site.record.Line("all " + std::to_string(count) + " tasks of " + big +
                   " have started");
  co_await site.Until("the first of them is done", 40'000, [&] {
    std::size_t ended = 0;
    for (const auto& executor : site.executors) ended += executor->unnoted();
    return ended > 0;
  });
  co_await Sleep(1500);
  co_await site.Client("GET", "/q/" + big);
  // ack_ms is 5,000; clients ask again after no answer, 503 or 504.
  constexpr std::int64_t kAckMs = 5000;
  const std::int64_t limit = NowMs() + 12'000;
  std::set<std::string> open(small.begin(), small.end());
  std::map<std::string, std::int64_t> asked_at;
  while (!open.empty() && NowMs() < limit) {
    const std::set<std::string> asked = open;
    for (const std::string& id : asked) {
      asked_at.emplace(id, NowMs());
      const Answer answer = co_await site.Client("DELETE", "/q/" + id);
      if (answer.status / 100 == 2 || answer.status == 410) open.erase(id);
    }
    co_await Sleep(300);
  }
  const Answer post = co_await site.Client(
      "POST", "/q/00000000000000e1",
      R"({"spec":"work=100","steps":[{"count":1,"cpu":100,"mem_mb":10}]})");
  for (const auto& [id, at] : asked_at) {
    if (NowMs() - at <= kAckMs) open.erase(id);
  }
  std::size_t unnoted = 0;
  for (const auto& executor : site.executors) unnoted += executor->unnoted();
  site.record.Line(std::to_string(open.size()) +
                   " of 4 cancels have no 2xx or "
                   "410; " +
                   std::to_string(unnoted) +
                   " listed ends aren't taken note of");
  if (open.size() >= 3) {
    site.fleet.Broken("Acks: " + std::to_string(open.size()) +
                      " of 4 cancels of accepted jobs have no 2xx or 410 " +
                      "later than ack_ms after they were sent; a new job: " +
                      std::to_string(post.status));
  }
}

int Main(int argc, char** argv) {
  if (argc != 6) return 2;
  const std::map<std::string, Task (*)(Site&)> cases{
      {"leave-unanswered", LeaveUnanswered},
      {"leave-late", LeaveLate},
      {"reborn-lease", RebornLease},
      {"leave-at-stop", LeaveAtStop},
      {"capital-id", CapitalId},
      {"zero-id", ZeroId},
      {"many-tasks", ManyTasks}};
  const auto found = cases.find(argv[1]);
  if (found == cases.end()) return 2;
  Site site(argv[2], argv[3], argv[4], std::string(argv[5]) != "0");
  int status = 2;
  try {
    site.Build();
    std::exception_ptr failure;
    net::co_spawn(
        site.io, [&]() -> Task { return found->second(site); },
        [&](std::exception_ptr error) {
          failure = error;
          site.io.stop();
        });
    net::steady_timer limit(site.io, std::chrono::seconds(110));
    limit.async_wait([&](const boost::system::error_code& error) {
      if (!error) site.io.stop();
    });
    site.io.run();
    if (failure) std::rethrow_exception(failure);
    if (!site.programs.AllRun()) {
      site.fleet.Broken("Fault: a program has ended by itself");
    }
    status = site.fleet.broken().empty() ? 0 : 1;
  } catch (const CannotRun& error) {
    site.record.Line("couldn't run: " + error.why);
  } catch (const std::exception& error) {
    site.record.Line(std::string("couldn't run: ") + error.what());
  }
  site.record.Line(status == 0   ? "the rule held"
                   : status == 1 ? "the rule was broken"
                                 : "the case couldn't run");
  return status;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const int status = review::Main(argc, argv);
  return status;
}
