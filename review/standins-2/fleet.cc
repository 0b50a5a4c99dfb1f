#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>
#include <thread>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group <<= 8;
      if (i + k < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[i + k]);
      }
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool padding = i + k > bytes.size();
      text += padding ? '=' : kAlphabet[(group >> (18 - 6 * k)) & 63];
    }
  }
  return text;
}

Response Json(int status, const json::object& body) {
  return {status, json::serialize(body), false};
}

std::optional<json::object> Parse(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) return std::nullopt;
  return value.as_object();
}

std::int64_t Number(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

std::string Text(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

int WorkMs(const std::string& spec) {
  const std::size_t at = spec.find("ms=");
  return at == std::string::npos ? 1000 : std::atoi(spec.c_str() + at + 3);
}

}  // namespace

void Pause(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

double Now() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

void Record::Write(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%10.1f ms  ", Now());
  const std::lock_guard lock(mutex_);
  file_ << time << line << std::endl;
}

// The store.

Store::Store(const std::string& ip, Record& record) : record_(record) {
  server_ = std::make_unique<Server>(
      ip, kStorePort, [this](const Request& r) { return Handle(r); });
  std::thread([this] {
    while (true) {
      Pause(10);
      ExpireLeases();
    }
  }).detach();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, ToBase64(value), 0);
  changed_.notify_all();
}

std::string Store::Value(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value_;
}

void Store::SetHook(Hook hook) {
  const std::lock_guard lock(mutex_);
  hook_ = std::move(hook);
}

Response Store::Handle(const Request& request) {
  Hook hook;
  {
    const std::lock_guard lock(mutex_);
    hook = hook_;
  }
  // The site's time of an answer.
  Pause(4);
  if (hook) {
    if (auto response = hook(request)) return *response;
  }
  return Apply(request);
}

Response Store::Apply(const Request& request) {
  const std::string path = request.Path();
  if (path == "/-/kv-key") {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(request.Query("key"));
    if (found == items_.end()) return Json(404, {{"at_revision", revision_}});
    json::object item = ToJson(found->first, found->second);
    item["at_revision"] = revision_;
    return Json(200, item);
  }
  if (path == "/-/kv-range") return Range(request);
  if (path == "/-/kv-watch") return Watch(request);
  if (path == "/-/kv-txn") return Transact(request);
  return ChangeLease(request);
}

json::object Store::ToJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", item.value_},
          {"revision", item.revision_},
          {"created", item.created_},
          {"lease", item.lease_}};
}

Response Store::Range(const Request& request) {
  constexpr std::size_t kPage = 500;
  const std::lock_guard lock(mutex_);
  const std::string prefix = request.Query("prefix");
  const std::string after = request.Query("after");
  json::array items;
  bool more = false;
  for (auto item = items_.lower_bound(prefix);
       item != items_.end() && item->first.rfind(prefix, 0) == 0; ++item) {
    if (!after.empty() && item->first <= after) continue;
    if (items.size() == kPage) {
      more = true;
      break;
    }
    items.push_back(ToJson(item->first, item->second));
  }
  return Json(
      200, {{"items", items}, {"has_more", more}, {"at_revision", revision_}});
}

Response Store::Watch(const Request& request) {
  const std::string prefix = request.Query("prefix");
  const std::int64_t after = std::atoll(request.Query("after").c_str());
  const int wait_ms = std::atoi(request.Query("wait_ms").c_str());
  const auto until = Clock::now() + std::chrono::milliseconds(wait_ms);
  std::unique_lock lock(mutex_);
  while (true) {
    json::array events;
    for (const Event& event : events_) {
      if (event.revision_ <= after || event.key_.rfind(prefix, 0) != 0) {
        continue;
      }
      if (event.item_) {
        events.push_back(ToJson(event.key_, *event.item_));
      } else {
        events.push_back({{"key", event.key_},
                          {"revision", event.revision_},
                          {"deleted", true}});
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      return Json(200, {{"events", events}, {"at_revision", revision_}});
    }
    changed_.wait_until(lock, until);
  }
}

void Store::Write(const std::string& key, const std::string& value,
                  std::int64_t lease) {
  Item& item = items_[key];
  if (item.created_ == 0) item.created_ = revision_;
  item.value_ = value;
  item.revision_ = revision_;
  item.lease_ = lease;
  events_.push_back({key, revision_, item});
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) > 0) events_.push_back({key, revision_, std::nullopt});
}

Response Store::Transact(const Request& request) {
  const auto body = Parse(request.body_);
  if (!body) return Json(400, {});
  const std::lock_guard lock(mutex_);
  const auto list = [&](std::string_view key) {
    const json::value* value = body->if_contains(key);
    return value == nullptr ? json::array() : value->as_array();
  };
  const json::array writes = list("writes");
  const json::array removals = list("remove");
  const json::array expected = list("expect");
  if (writes.size() + removals.size() + expected.size() > 33) {
    return Json(400, {});
  }
  json::array conflicts;
  bool holds = true;
  for (const json::value& row : expected) {
    const std::string key = Text(row.as_object(), "key");
    const auto found = items_.find(key);
    const std::int64_t revision =
        found == items_.end() ? 0 : found->second.revision_;
    if (found != items_.end()) conflicts.push_back(ToJson(key, found->second));
    if (revision != Number(row.as_object(), "revision")) holds = false;
  }
  if (!holds) return Json(412, {{"items", conflicts}});
  for (const json::value& write : writes) {
    const std::int64_t lease = Number(write.as_object(), "lease");
    if (lease != 0 && leases_.count(lease) == 0) return Json(404, {});
  }
  ++revision_;
  for (const json::value& write : writes) {
    const json::object& row = write.as_object();
    Write(Text(row, "key"), Text(row, "value"), Number(row, "lease"));
  }
  for (const json::value& key : removals) {
    Remove(std::string(key.as_string()));
  }
  changed_.notify_all();
  return Json(200, {{"revision", revision_}});
}

Response Store::ChangeLease(const Request& request) {
  const std::string path = request.Path();
  const auto number = [&](std::string_view prefix) {
    return std::atoll(path.substr(prefix.size()).c_str());
  };
  const std::lock_guard lock(mutex_);
  if (path == "/-/kv-lease") {
    const auto body = Parse(request.body_);
    const std::int64_t ttl_ms = body ? Number(*body, "ttl_ms") : 0;
    if (ttl_ms < 1000) return Json(400, {});
    leases_[++last_lease_] = {Clock::now() + std::chrono::milliseconds(ttl_ms),
                              ttl_ms};
    return Json(200, {{"lease", last_lease_}, {"ttl_ms", ttl_ms}});
  }
  if (path.rfind("/-/kv-keep/", 0) == 0) {
    const auto found = leases_.find(number("/-/kv-keep/"));
    if (found == leases_.end()) return Json(404, {});
    found->second.ends_ =
        Clock::now() + std::chrono::milliseconds(found->second.ttl_ms_);
    return Json(200, {});
  }
  if (path.rfind("/-/kv-lease-end/", 0) == 0) {
    EndLease(number("/-/kv-lease-end/"));
    return Json(200, {});
  }
  return Json(404, {});
}

void Store::EndLease(std::int64_t lease) {
  if (leases_.erase(lease) == 0) return;
  ++revision_;
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease_ == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const std::lock_guard lock(mutex_);
  std::vector<std::int64_t> expired;
  for (const auto& [number, lease] : leases_) {
    if (Clock::now() >= lease.ends_) expired.push_back(number);
  }
  for (const std::int64_t number : expired) EndLease(number);
}

// The runs.

std::size_t Spans::Begin(const Span& span) {
  const std::lock_guard lock(mutex_);
  spans_.push_back(span);
  return spans_.size() - 1;
}

void Spans::End(std::size_t span, const std::string& how) {
  const std::lock_guard lock(mutex_);
  spans_[span].to_ = Now();
  spans_[span].how_ = how;
}

void Spans::Note(std::size_t span) {
  const std::lock_guard lock(mutex_);
  spans_[span].noted_ = true;
}

std::vector<Span> Spans::All() {
  const std::lock_guard lock(mutex_);
  return spans_;
}

std::vector<std::pair<Span, Span>> Overlaps(const std::vector<Span>& spans) {
  std::vector<std::pair<Span, Span>> pairs;
  const auto end = [](const Span& span) {
    return span.to_ < 0 ? Now() : span.to_;
  };
  for (std::size_t i = 0; i < spans.size(); ++i) {
    for (std::size_t k = i + 1; k < spans.size(); ++k) {
      if (spans[i].task_ != spans[k].task_) continue;
      const bool apart =
          end(spans[i]) <= spans[k].from_ || end(spans[k]) <= spans[i].from_;
      if (!apart) pairs.emplace_back(spans[i], spans[k]);
    }
  }
  return pairs;
}

// The executors.

Executor::Executor(Settings settings, Spans& spans, Record& record)
    : settings_(std::move(settings)), spans_(spans), record_(record) {
  born_ = Clock::now();
  born_ms_ = UnixMs();
  server_ = std::make_unique<Server>(
      settings_.ip_, kAppPort, [this](const Request& r) { return Handle(r); });
  std::thread([this] {
    while (!ended_) {
      Pause(5);
      Advance();
    }
  }).detach();
  std::thread([this] { Beat(); }).detach();
}

Executor::~Executor() { End("program ends"); }

std::int64_t Executor::ClockMs() const {
  return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                    Clock::now() - born_)
                    .count();
}

void Executor::SetHook(Hook hook) {
  const std::lock_guard lock(mutex_);
  hook_ = std::move(hook);
}

Response Executor::Handle(const Request& request) {
  Hook hook;
  {
    const std::lock_guard lock(mutex_);
    hook = hook_;
  }
  if (hook) {
    if (auto response = hook(request)) return *response;
  }
  return Apply(request);
}

Response Executor::Apply(const Request& request) {
  Response dropped;
  dropped.drop_ = true;
  if (ended_) return dropped;
  const auto expected = request.headers_.find("expected-instance");
  const auto body = Parse(request.body_);
  std::unique_lock lock(mutex_);
  if (expected != request.headers_.end() && expected->second != settings_.id_) {
    return {421, json::serialize(Answer()), false};
  }
  if (!body) return {400, json::serialize(Answer()), false};
  const std::string path = request.Path();
  if (path == "/-/run-start") return Start(*body);
  if (path == "/-/run-stop") return Stop(*body);
  if (path == "/-/hold") return Hold(*body, lock);
  if (path == "/-/pace") {
    if (IsFenced(*body)) return Refuse("fence");
    return {200, json::serialize(Answer()), false};
  }
  return {400, json::serialize(Answer()), false};
}

json::object Executor::Answer() const {
  return {{"clock_ms", ClockMs()}, {"born", born_ms_}};
}

Response Executor::Refuse(const std::string& reason) const {
  json::object answer = Answer();
  answer["reason"] = reason;
  return {409, json::serialize(answer), false};
}

bool Executor::IsFenced(const json::object& body) {
  const std::int64_t fence = Number(body, "fencing_token");
  if (fence < fence_) return true;
  fence_ = fence;
  return false;
}

void Executor::Extend(const json::object& body) {
  const std::int64_t until =
      std::min(Number(body, "until_ms"), ClockMs() + kHoldMaxMs);
  lease_end_ms_ = std::max(lease_end_ms_, until);
}

Response Executor::Start(const json::object& body) {
  const std::string task = Text(body, "task");
  const std::int64_t run = Number(body, "run");
  const auto log = [&](const std::string& answer) {
    record_.Write("executor " + settings_.id_ + ": run-start " + task +
                  " run " + std::to_string(run) + " -> " + answer);
  };
  if (IsFenced(body)) {
    log("409 fence");
    return Refuse("fence");
  }
  const auto held = running_.find(task);
  if (held != running_.end() && held->second.run_ == run) {
    Extend(body);
    log("200, is there");
    return {200, json::serialize(Answer()), false};
  }
  const auto ended = highest_ended_.find(task);
  if (held != running_.end() ||
      (ended != highest_ended_.end() && run <= ended->second)) {
    Extend(body);
    log("409 old");
    return Refuse("old");
  }
  if (Number(body, "until_ms") <= ClockMs()) {
    log("409 late");
    return Refuse("late");
  }
  Extend(body);
  const std::size_t span =
      spans_.Begin({task, run, settings_.id_, Now(), -1, "", false, born_ms_,
                    settings_.labels_.empty() ? "" : settings_.labels_[0]});
  running_[task] = {run,   span, Clock::now(), WorkMs(Text(body, "spec")),
                    false, {}};
  log("200");
  return {200, json::serialize(Answer()), false};
}

Response Executor::Stop(const json::object& body) {
  const std::string task = Text(body, "task");
  const std::int64_t run = Number(body, "run");
  if (IsFenced(body)) return Refuse("fence");
  record_.Write("executor " + settings_.id_ + ": run-stop " + task + " run " +
                std::to_string(run));
  std::int64_t& highest = highest_ended_[task];
  highest = std::max(highest, run);
  const auto held = running_.find(task);
  if (held != running_.end() && held->second.run_ <= run &&
      !held->second.stopping_) {
    held->second.stopping_ = true;
    held->second.stops_at_ =
        Clock::now() + std::chrono::milliseconds(kStopGraceMs / 2);
  }
  return {200, json::serialize(Answer()), false};
}

Response Executor::Hold(const json::object& body,
                        std::unique_lock<std::mutex>& lock) {
  if (IsFenced(body)) return Refuse("fence");
  if (body.contains("until_ms")) Extend(body);
  const std::int64_t seen = Number(body, "last_seen");
  while (!finished_.empty() && finished_.front().number_ <= seen) {
    const Finished& end = finished_.front();
    if (end.lapses_ == lapses_) spans_.Note(end.span_);
    finished_.pop_front();
  }
  const auto until =
      Clock::now() + std::chrono::milliseconds(
                         std::min<std::int64_t>(Number(body, "wait_ms"), 2000));
  while (finished_.empty() && Clock::now() < until && !ended_) {
    changed_.wait_until(lock, until);
  }
  json::array running;
  for (const auto& [task, run] : running_) {
    const auto worked = std::chrono::duration_cast<std::chrono::milliseconds>(
                            Clock::now() - run.started_)
                            .count();
    const std::int64_t percent =
        std::min<std::int64_t>(100, worked * 100 / std::max(run.work_ms_, 1));
    running.push_back(json::array{task, run.run_, "", percent, 0});
  }
  json::array finished;
  for (const Finished& end : finished_) {
    if (finished.size() == 500) break;
    finished.push_back(
        json::array{end.number_, end.task_, end.run_, end.how_, ""});
  }
  json::object answer = Answer();
  answer["running"] = running;
  answer["finished"] = finished;
  return {200, json::serialize(answer), false};
}

// The mutex is held.
void Executor::Finish(const std::string& task, const std::string& how) {
  const auto held = running_.find(task);
  if (held == running_.end()) return;
  const Run run = held->second;
  running_.erase(held);
  spans_.End(run.span_, how);
  std::int64_t& highest = highest_ended_[task];
  highest = std::max(highest, run.run_);
  finished_.push_back(
      {++last_finished_, task, run.run_, how, run.span_, lapses_});
  record_.Write("executor " + settings_.id_ + ": end " + task + " run " +
                std::to_string(run.run_) + " " + how);
  changed_.notify_all();
}

void Executor::Advance() {
  const std::lock_guard lock(mutex_);
  if (ended_) return;
  const auto now = Clock::now();
  const bool lapsed = ClockMs() >= lease_end_ms_;
  if (lapsed && !lapsed_) ++lapses_;
  lapsed_ = lapsed;
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, run] : running_) {
    if (lapsed) {
      ends.emplace_back(task, "lapsed");
    } else if (run.stopping_) {
      if (now >= run.stops_at_) ends.emplace_back(task, "stopped");
    } else if (now >= run.started_ + std::chrono::milliseconds(run.work_ms_)) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) Finish(task, how);
}

bool Executor::SendBeat(bool draining) {
  json::array labels;
  for (const std::string& label : settings_.labels_) {
    labels.push_back(json::string(label));
  }
  json::object body{
      {"service", "listings"},
      {"address", settings_.ip_ + ":" + std::to_string(kAppPort)},
      {"zone", settings_.zone_},
      {"version", "v1"},
      {"slots", 8},
      {"state", draining ? "draining" : "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", settings_.cpu_}, {"mem_mb", settings_.memory_mb_}, {"gpu", 0}}},
      {"labels", labels},
      {"clock_ms", ClockMs()},
      {"born", born_ms_},
      {"seq", ++sequence_}};
  if (draining) body["drain_remaining_ms"] = kDrainMs;
  const auto answer = Send({settings_.ip_, kControlPort},
                           {"POST",
                            "/-/Instances.Heartbeat/" + settings_.id_,
                            {},
                            json::serialize(body)},
                           1000);
  return answer && answer->status_ / 100 == 2;
}

void Executor::Beat() {
  while (!ended_) {
    if (!draining_) SendBeat(false);
    for (int i = 0; i < kHeartbeatMs / 50 && !ended_; ++i) Pause(50);
  }
}

void Executor::Leave(int longer_ms, int unheard_ms,
                     const std::function<void()>& before_leaving) {
  draining_ = true;
  record_.Write("executor " + settings_.id_ + ": says that it drains");
  while (!SendBeat(true)) Pause(200);
  record_.Write("executor " + settings_.id_ + ": draining is acknowledged");
  Pause(kDrainMs + longer_ms);
  before_leaving();
  record_.Write("executor " + settings_.id_ + ": says that it leaves, runs " +
                std::to_string(Running().size()) + " tasks");
  const auto answer = Send({settings_.ip_, kControlPort},
                           {"POST",
                            "/-/Instances.Deregister/" + settings_.id_,
                            {},
                            json::serialize(json::object{{"born", born_ms_}})},
                           1000);
  if (answer && answer->status_ / 100 == 2) {
    record_.Write("executor " + settings_.id_ + ": leaving is acknowledged");
  } else {
    record_.Write("executor " + settings_.id_ +
                  ": leaving is not acknowledged within a second");
    Pause(unheard_ms);
  }
  End("executor left");
}

void Executor::End(const std::string& how) {
  std::unique_lock lock(mutex_);
  if (ended_.exchange(true)) return;
  for (const auto& [task, run] : running_) {
    spans_.End(run.span_, how);
    record_.Write("executor " + settings_.id_ + ": " + task + " run " +
                  std::to_string(run.run_) + " ends with the executor");
  }
  running_.clear();
  changed_.notify_all();
  lock.unlock();
  server_->Close();
  record_.Write("executor " + settings_.id_ + ": is gone (" + how + ")");
}

std::vector<std::string> Executor::Running() {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : running_) tasks.push_back(task);
  return tasks;
}

// The processes.

Process::Process(std::string role, std::string settings_path,
                 std::string log_path)
    : role_(std::move(role)),
      settings_path_(std::move(settings_path)),
      log_path_(std::move(log_path)) {}

Process::~Process() { Kill(); }

void Process::Start() {
  const std::string variable = "QUETZALLINE_BOOT=" + settings_path_;
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) return;
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The process ends with this program, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  putenv(const_cast<char*>(variable.c_str()));
  // As the deploy file starts it.
  execl("target/src/quetzalline", "target/src/quetzalline", role_.c_str(),
        nullptr);
  _exit(127);
}

void Process::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool Process::Ended() {
  if (pid_ <= 0) return true;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

void Process::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  kill(pid_, SIGCONT);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

// The deployment.

Fleet::Fleet(int entries, int agents, std::string folder, Record& record)
    : entry_count_(entries),
      agent_count_(agents),
      folder_(std::move(folder)),
      record_(record) {
  std::random_device random;
  do {
    net_ = "127." + std::to_string(64 + random() % 128) + "." +
           std::to_string(random() % 256) + ".";
  } while (!IsNetFree());
}

Fleet::~Fleet() {
  for (auto& process : entries_) process->Kill();
  for (auto& process : agents_) process->Kill();
}

std::string Fleet::Ip(int machine) const {
  return net_ + std::to_string(machine);
}

bool Fleet::IsNetFree() const {
  bool free = IsFree({Ip(1), kStorePort});
  for (int i = 0; i < entry_count_; ++i) {
    for (const int port : {kFrontPort, kReadyPort, kFramesPort, kMetricsPort}) {
      free = free && IsFree({EntryIp(i), port});
    }
  }
  for (int i = 0; i < agent_count_; ++i) {
    for (const int port : {kAppPort, kControlPort, kFramesPort, kMetricsPort}) {
      free = free && IsFree({AgentIp(i), port});
    }
  }
  return free;
}

void Fleet::WriteConfiguration(std::int64_t version) {
  const json::object route{{"name", "r-lots"},   {"host", "lots.example"},
                           {"prefix", "/lots/"}, {"kind", "unsafe"},
                           {"timeout_ms", 3000}, {"slo_ms", 1000},
                           {"priority", 0},      {"service", "listings"},
                           {"max_attempts", 3},  {"stretch", 2.0}};
  const json::object service{{"name", "listings"},
                             {"health_path", "/health"},
                             {"max_conns", 64},
                             {"protocol", "h1"},
                             {"rejects_overload", false}};
  const json::object configuration{
      {"version", version},
      {"routes", json::array{route}},
      {"services", json::array{service}},
      {"limits", json::object{{"max_body_bytes", 262144}}}};
  store_->Put("op/config", json::serialize(configuration));
}

Executor::Settings Fleet::ExecutorSettings(int agent) const {
  Executor::Settings settings;
  settings.id_ = "i-" + std::to_string(agent);
  settings.ip_ = AgentIp(agent);
  settings.labels_ = {"a", "r1-1"};
  return settings;
}

void Fleet::ReplaceExecutor(int agent, Executor::Settings settings) {
  executors_[agent]->End("replaced");
  ended_executors_.push_back(std::move(executors_[agent]));
  executors_[agent] =
      std::make_unique<Executor>(std::move(settings), spans_, record_);
}

bool Fleet::Start() {
  const auto address = [](const std::string& ip, int port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"\n";
  };
  // The templates of the deploy file, filled in.
  const auto common = [&](const std::string& name, const std::string& ip) {
    return "member = \"" + name + "\"\nframes = " + address(ip, kFramesPort) +
           "metrics = " + address(ip, kMetricsPort) +
           "store = " + address(Ip(1), kStorePort);
  };
  store_ = std::make_unique<Store>(Ip(1), record_);
  if (!store_->good()) return false;
  WriteConfiguration(7);
  for (int i = 0; i < agent_count_; ++i) {
    executors_.push_back(
        std::make_unique<Executor>(ExecutorSettings(i), spans_, record_));
    if (!executors_.back()->good()) return false;
    const std::string name = "side-" + std::to_string(i);
    const std::string path = folder_ + "/" + name + ".toml";
    std::ofstream(path) << common(name, AgentIp(i)) << "[worker]\n"
                        << "announcements = "
                        << address(AgentIp(i), kControlPort)
                        << "orders = " << address(AgentIp(i), kAppPort)
                        << "stop_grace = \"" << kStopGraceMs << "ms\"\n";
    agents_.push_back(std::make_unique<Process>("platform-agent", path,
                                                folder_ + "/" + name + ".log"));
    agents_.back()->Start();
  }
  for (int i = 0; i < entry_count_; ++i) {
    const std::string name = "front-" + std::to_string(i);
    const std::string path = folder_ + "/" + name + ".toml";
    std::ofstream(path) << common(name, EntryIp(i)) << "[callers]\n"
                        << "listen = " << address(EntryIp(i), kFrontPort)
                        << "readiness = " << address(EntryIp(i), kReadyPort);
    entries_.push_back(std::make_unique<Process>(
        "platform-entry", path, folder_ + "/" + name + ".log"));
    entries_.back()->Start();
  }
  // Traffic starts ten seconds after the machines.
  Pause(10000);
  for (int i = 0; i < entry_count_; ++i) {
    const auto answer =
        Send({EntryIp(i), kReadyPort}, {"GET", "/-/ready", {}, ""}, 1000);
    if (!answer || answer->status_ != 200) return false;
  }
  return Holder() >= 0;
}

int Fleet::Call(int entry, const std::string& method, const std::string& job,
                const std::string& body, int timeout_ms, std::string* answer) {
  const auto response = Send(
      {EntryIp(entry), kFrontPort},
      {method,
       "/lots/" + job,
       {{"Host", "lots.example"}, {"Deadline-Ms", std::to_string(timeout_ms)}},
       body},
      timeout_ms);
  const int status = response ? response->status_ : 0;
  std::string line = "client: " + method + " " + job + " at front-" +
                     std::to_string(entry) + " -> " + std::to_string(status);
  if (response) line += " " + response->body_;
  record_.Write(line);
  if (answer != nullptr && response) *answer = response->body_;
  return status;
}

int Fleet::Submit(int entry, const std::string& job, const std::string& body,
                  int timeout_ms) {
  return Call(entry, "POST", job, body, timeout_ms, nullptr);
}

int Fleet::Cancel(int entry, const std::string& job, int timeout_ms) {
  return Call(entry, "DELETE", job, "", timeout_ms, nullptr);
}

std::string Fleet::State(int entry, const std::string& job, int timeout_ms) {
  std::string body;
  const int status = Call(entry, "GET", job, "", timeout_ms, &body);
  const auto object = Parse(body);
  if (status != 200 || !object) return std::to_string(status);
  return Text(*object, "state");
}

int Fleet::Holder() {
  int holder = -1;
  std::int64_t best = 0;
  for (int i = 0; i < agent_count_; ++i) {
    std::ifstream log(folder_ + "/side-" + std::to_string(i) + ".log");
    std::string line;
    while (std::getline(log, line)) {
      const auto object = Parse(line);
      if (!object || Text(*object, "event") != "cell-loaded") continue;
      const std::int64_t epoch = Number(*object, "epoch");
      if (epoch < best) continue;
      best = epoch;
      holder = i;
    }
  }
  return holder;
}

std::string OneStep(int count, int work_ms, std::int64_t cpu,
                    const json::object& more) {
  json::object step{{"count", count},
                    {"cpu", cpu},
                    {"mem_mb", 1000},
                    {"estimate_ms", work_ms}};
  for (const auto& [key, value] : more) step[key] = value;
  return json::serialize(json::object{{"spec", "ms=" + std::to_string(work_ms)},
                                      {"steps", json::array{step}}});
}

}  // namespace review
