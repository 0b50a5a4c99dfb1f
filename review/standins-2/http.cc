#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <mutex>
#include <thread>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in ToSocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Appends what arrives before the deadline. Returns false at the end.
bool Receive(int socket, Clock::time_point deadline, std::string& buffer) {
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - Clock::now());
    if (left.count() <= 0) return false;
    pollfd event{socket, POLLIN, 0};
    const int ready = poll(&event, 1, static_cast<int>(left.count()));
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    char bytes[16384];
    const ssize_t count = recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
}

struct Head {
  std::string first_line_;
  std::map<std::string, std::string> headers_;
  std::size_t length_ = 0;
  std::size_t body_ = 0;
};

std::optional<Head> ParseHead(const std::string& buffer) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  Head head;
  head.length_ = end + 4;
  std::size_t at = buffer.find("\r\n");
  head.first_line_ = buffer.substr(0, at);
  while (at < end) {
    const std::size_t next = buffer.find("\r\n", at + 2);
    const std::string line = buffer.substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      head.headers_[Lower(line.substr(0, colon))] = value;
    }
    at = next;
  }
  const auto length = head.headers_.find("content-length");
  if (length != head.headers_.end()) head.body_ = std::stoul(length->second);
  return head;
}

// Reads one message. Returns nothing at the deadline or the end.
std::optional<std::pair<Head, std::string>> ReadMessage(
    int socket, Clock::time_point deadline, std::string& buffer) {
  while (true) {
    if (const auto head = ParseHead(buffer)) {
      if (buffer.size() >= head->length_ + head->body_) {
        std::string body = buffer.substr(head->length_, head->body_);
        buffer.erase(0, head->length_ + head->body_);
        return std::pair(*head, std::move(body));
      }
    }
    if (!Receive(socket, deadline, buffer)) return std::nullopt;
  }
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

void NoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

struct Server::Sockets {
  std::mutex mutex_;
  std::set<int> open_;
};

std::string Request::Query(const std::string& name) const {
  const std::size_t start = target_.find('?');
  if (start == std::string::npos) return {};
  std::string rest = target_.substr(start + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string part = rest.substr(0, end);
    if (part.rfind(name + "=", 0) == 0) {
      return Decode(part.substr(name.size() + 1));
    }
    if (end == std::string::npos) break;
    rest.erase(0, end + 1);
  }
  return {};
}

Server::Server(const std::string& ip, int port, Handler handler)
    : handler_(std::move(handler)), sockets_(new Sockets) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, 128) != 0) {
    close(listener);
    return;
  }
  listener_ = listener;
  std::thread([this] { Accept(); }).detach();
}

void Server::Close() {
  closed_ = true;
  const int listener = listener_.exchange(-1);
  if (listener >= 0) {
    shutdown(listener, SHUT_RDWR);
    close(listener);
  }
  const std::lock_guard lock(sockets_->mutex_);
  for (const int socket : sockets_->open_) shutdown(socket, SHUT_RDWR);
}

void Server::Accept() {
  while (!closed_) {
    const int listener = listener_;
    if (listener < 0) return;
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (closed_) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      continue;
    }
    NoDelay(socket);
    {
      const std::lock_guard lock(sockets_->mutex_);
      sockets_->open_.insert(socket);
    }
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  while (!closed_) {
    const auto message =
        ReadMessage(socket, Clock::now() + std::chrono::seconds(200), buffer);
    if (!message || closed_) break;
    const std::string& line = message->first.first_line_;
    const std::size_t space = line.find(' ');
    const std::size_t second = line.find(' ', space + 1);
    const Request request{line.substr(0, space),
                          line.substr(space + 1, second - space - 1),
                          message->first.headers_, message->second};
    const Response response = handler_(request);
    if (response.drop_ || closed_) break;
    const std::string text =
        "HTTP/1.1 " + std::to_string(response.status_) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response.body_.size()) + "\r\n\r\n" + response.body_;
    if (!SendAll(socket, text)) break;
  }
  {
    const std::lock_guard lock(sockets_->mutex_);
    sockets_->open_.erase(socket);
  }
  close(socket);
}

std::optional<Response> Send(const Address& address, const Call& call,
                             int timeout_ms) {
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToSocketAddress(address.ip_, address.port_);
  // On loopback, a connection is open or refused at once, unless the queue of
  // new connections is full.
  if (connect(peer, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(peer);
    return std::nullopt;
  }
  NoDelay(peer);
  std::string text = call.method_ + " " + call.target_ + " HTTP/1.1\r\n";
  if (call.headers_.count("Host") == 0) text += "Host: " + address.ip_ + "\r\n";
  for (const auto& [name, value] : call.headers_) {
    text += name + ": " + value + "\r\n";
  }
  if (!call.body_.empty()) text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(call.body_.size()) +
          "\r\nConnection: close\r\n\r\n" + call.body_;
  std::optional<Response> response;
  std::string buffer;
  if (SendAll(peer, text)) {
    if (auto message = ReadMessage(peer, deadline, buffer)) {
      response.emplace();
      response->status_ = std::stoi(message->first.first_line_.substr(9, 3));
      response->body_ = std::move(message->second);
    }
  }
  close(peer);
  return response;
}

bool IsFree(const Address& address) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in to = ToSocketAddress(address.ip_, address.port_);
  const bool free =
      bind(probe, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      listen(probe, 1) == 0;
  close(probe);
  return free;
}

}  // namespace review
