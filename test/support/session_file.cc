#include "support/session_file.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "systems/agent/agent_node.h"
#include "systems/entry/entry_node.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

template <typename T>
T DecodeOrFail(const boost::json::value& value) {
  JsonDecoder decoder;
  const std::optional<T> decoded = decoder.Decode<T>(value);
  if (decoded) return *decoded;
  std::cerr << "malformed session input: " << decoder.last_reason() << "\n";
  std::abort();
}

std::vector<boost::json::object> ReadLines(const std::string& path) {
  std::vector<boost::json::object> lines;
  std::istringstream in(ReadText(path));
  for (std::string line; std::getline(in, line);) {
    const bool comment = line.empty() || line.front() == '#';
    if (!comment) lines.push_back(boost::json::parse(line).as_object());
  }
  return lines;
}

template <typename Node>
class Session {
 public:
  explicit Session(Node node) : node_(std::move(node)) {}

  std::string Run(const std::vector<boost::json::object>& lines) {
    for (std::size_t i = 1; i < lines.size(); ++i) ProcessLine(lines[i]);
    return out_.str();
  }

 private:
  using Input = typename Node::Input;

  static Instant TimeOf(const boost::json::value& value) {
    return Instant(Duration(value.as_int64()));
  }

  void ProcessLine(const boost::json::object& line) {
    if (const boost::json::value* until = line.if_contains("until_us")) {
      return RunWakeupsUntil(TimeOf(*until));
    }
    const Instant at = TimeOf(line.at("at_us"));
    RunWakeupsUntil(at);
    std::vector<Input> inputs;
    for (const boost::json::value& input : line.at("inputs").as_array()) {
      inputs.push_back(DecodeOrFail<Input>(input));
    }
    Tick(at, inputs);
  }

  // Runs the ticks that the node scheduled for itself before this time, at
  // least 500 microseconds apart.
  void RunWakeupsUntil(Instant time) {
    while (node_.wake_at() && *node_.wake_at() < time) {
      const Instant at = std::max(*node_.wake_at(), now_ + Duration(500));
      if (at >= time) return;
      Tick(at, {});
    }
  }

  void Tick(Instant at, const std::vector<Input>& inputs) {
    now_ = at;
    const auto effects = node_.RunTick(at, inputs);
    if (effects.empty()) return;
    out_ << "at " << at.time_since_epoch().count() << " us\n";
    for (const auto& effect : effects) {
      out_ << "  " << boost::json::serialize(JsonEncoder::Encode(effect))
           << "\n";
    }
  }

  Node node_;
  Instant now_{};
  std::ostringstream out_;
};

}  // namespace

std::string ReadText(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void WriteText(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

std::string RunSessionFile(const std::string& folder) {
  const std::vector<boost::json::object> lines =
      ReadLines(folder + "/input.jsonl");
  const boost::json::object& header = lines.at(0);
  const auto seed = header.at("seed").to_number<std::uint64_t>();
  if (header.at("node").as_string() == "agent") {
    const auto policy = DecodeOrFail<AgentPolicy>(header.at("policy"));
    return Session(AgentNode(policy, seed)).Run(lines);
  }
  const auto policy = DecodeOrFail<EntryPolicy>(header.at("policy"));
  return Session(EntryNode(policy, seed)).Run(lines);
}

}  // namespace quetzalline
