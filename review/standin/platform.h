// Small stand-ins of the users' platform for the scripts of this review: the
// store, executors and clients, all in one process, and the start of the
// project's own programs as separate processes. They follow PROTOCOL.md.
#ifndef REVIEW_STANDIN_PLATFORM_H_
#define REVIEW_STANDIN_PLATFORM_H_

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace net = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = net::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Task = net::awaitable<void>;

std::int64_t NowMs();   // steady clock, from the start of the process
std::int64_t UnixMs();  // time of day

// What was sent, answered and run, one line each.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::ofstream file_;
};

Task Sleep(std::int64_t ms);
Response Reply(const Request& request, int status, const json::object& body);

// Answers a request. An answer of HTTP/1.0 is not sent; the connection is
// reset instead.
using Handler = std::function<net::awaitable<Response>(Request)>;
void Serve(net::io_context& io, const std::string& ip, int port,
           Handler handler);

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
  int retry_after_s = 0;
};
net::awaitable<Answer> Call(std::string ip, int port, std::string method,
                            std::string target, std::string host,
                            std::string body, std::int64_t timeout_ms,
                            std::string extra = "");

// The platform's store.
class Store {
 public:
  Store(net::io_context& io, const std::string& ip, int port);
  void Put(const std::string& key, const std::string& value);
  // The member that the key of the cell's holder names; empty if there is none.
  std::string Holder();
  // Called with the size of each value that is over value_bytes.
  std::function<void(const std::string&, std::size_t)> on_too_large;

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::int64_t revision = 0;
    bool deleted = false;
    Item item;
  };
  net::awaitable<Response> Handle(Request request);
  net::awaitable<Response> Watch(Request request);
  Response Commit(const Request& request);
  void ExpireLeases();
  void Write(const std::string& key, const Item& item);
  void Remove(const std::string& key);
  json::object ToJson(const std::string& key, const Item& item) const;

  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> leases_;
  std::int64_t revision_ = 1;
  std::int64_t last_lease_ = 0;
};

class Fleet;

// One machine's executor, through all of its lives.
class Executor {
 public:
  struct Run {
    std::int64_t run = 0;
    std::int64_t started = 0;
    std::int64_t work_ms = 0;
    // Work after which there is a new checkpoint; 0 for never.
    std::int64_t checkpoint_ms = 0;
    std::int64_t stops_at = 0;
  };

  Executor(net::io_context& io, Fleet& fleet, const std::string& name,
           const std::string& ip, int app_port, int control_port);

  void StartLife(const std::string& id, std::int64_t first_beat_ms = 0);
  // Calls are carried out, and their answers are lost.
  void SetMute(bool mute);
  // Ends the life at once; everything that runs on it is gone.
  void End(const std::string& why);
  void StartDraining();
  // All work that runs is done now.
  void FinishWork();
  // The body of all that this life says of itself.
  std::string SelfBody() const;
  std::string LeavePath() const { return "/-/Instances.Deregister/" + id_; }

  bool up() const { return up_; }
  // Ends that it has listed and that no last_seen has reached.
  std::size_t unnoted() const { return ended_.size(); }
  std::size_t listed() const { return running_.empty() ? listed_ : SIZE_MAX; }
  // No more heartbeats, as after the call with which an executor leaves.
  void StopBeating() { beats_ = false; }
  bool acknowledged_draining() const { return drain_noted_; }
  const std::map<std::string, Run>& running() const { return running_; }
  const std::string& name() const { return name_; }
  const std::string& id() const { return id_; }
  const std::string& ip() const { return ip_; }
  int control_port() const { return control_port_; }

 private:
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  std::int64_t Clock() const { return 100'000 + NowMs() - born_at_; }
  Task Beat(int life, std::int64_t first_beat_ms);
  Task Work(int life);
  net::awaitable<Response> Handle(Request request);
  net::awaitable<Response> CarryOut(Request request);
  net::awaitable<Response> Hold(const Request& request, json::object body);
  void Finish(const std::string& task, const std::string& how);
  json::object Base() const;

  Fleet& fleet_;
  net::io_context& io_;
  std::string name_, ip_;
  int app_port_, control_port_;
  std::string id_;
  int life_ = 0;
  bool up_ = false, draining_ = false, drain_noted_ = false, beats_ = false,
       mute_ = false;
  std::int64_t born_ms_ = 0, born_at_ = 0, seq_ = 0, until_ = 0, fence_ = 0;
  std::int64_t last_end_ = 0;
  std::size_t listed_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, std::int64_t> highest_;
  std::deque<Ended> ended_;
};

// All executors, and what the rules on runs say about their starts.
class Fleet {
 public:
  explicit Fleet(Record& record) : record_(record) {}
  void Add(Executor* executor) { executors_.push_back(executor); }
  void OnStart(const Executor& on, const std::string& task, std::int64_t run);
  // A last_seen has reached the end.
  void OnDoneNoted(const std::string& task) { done_.emplace(task, 0); }
  // With no disruption near, an end counts as taken note of 100 ms after an
  // executor has listed it.
  void OnDoneListed(const std::string& task) {
    done_.emplace(task, NowMs() + 100);
  }
  Record& record() { return record_; }
  // Starts of this job are not written to the record one by one.
  std::string quiet_job;
  const std::vector<std::string>& broken() const { return broken_; }
  const std::set<std::string>& started() const { return started_; }
  void Broken(const std::string& what);

 private:
  Record& record_;
  std::vector<Executor*> executors_;
  std::map<std::string, std::int64_t> done_;
  std::set<std::string> started_;
  std::vector<std::string> broken_;
};

// The project's programs, started with the commands and templates of the
// deploy file.
class Programs {
 public:
  Programs(std::string root, std::string work)
      : root_(std::move(root)), work_(std::move(work)) {}
  ~Programs();
  // `role` is a role of the deploy file; `values` fills in its template.
  int Start(const std::string& role, const std::string& name,
            const std::map<std::string, std::string>& values);
  bool AllRun();
  // Sends a signal to a program.
  void Signal(const std::string& name, int signal);

 private:
  std::string root_, work_;
  std::map<int, std::string> pids_;
  std::set<int> stopped_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_PLATFORM_H_
