// Stand-ins for the platform as separate processes:
//   quetzalline-standin store ADDRESS
//   quetzalline-standin worker ADDRESS
//   quetzalline-standin endpoint ADDRESS [SERVICE_TIME_MS]
// Prints its port. POST /faults on the same address injects faults into the
// store and the worker. Exits with 1 if it cannot listen, with 2 on wrong
// usage.
#include <cstdlib>
#include <iostream>
#include <string>

#include "adapters/socket_address.h"
#include "programs/example_endpoint.h"
#include "programs/run_until_stopped.h"
#include "standin/standin_store.h"
#include "standin/standin_worker.h"

namespace quetzalline {
namespace {

template <typename Standin>
int Serve(boost::asio::io_context& io, Standin& standin,
          const std::string& address) {
  const auto endpoint = ParseSocketAddress(address);
  if (!endpoint || !standin.Start(*endpoint)) return 1;
  std::cout << standin.port() << std::endl;
  RunUntilStopped(io, [&] { io.stop(); });
  return 0;
}

int Run(const std::string& kind, const std::string& address,
        const std::string& milliseconds) {
  boost::asio::io_context io(1);
  if (kind == "store") {
    StandinStore store(io);
    return Serve(io, store, address);
  }
  if (kind == "worker") {
    StandinWorker worker(io);
    return Serve(io, worker, address);
  }
  if (kind != "endpoint") return 2;
  const Duration service_time =
      std::chrono::milliseconds(std::atoi(milliseconds.c_str()));
  ExampleEndpoint endpoint(io, {service_time, "standin"});
  return Serve(io, endpoint, address);
}

}  // namespace
}  // namespace quetzalline

int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "usage: quetzalline-standin store|worker|endpoint ADDRESS "
                 "[SERVICE_TIME_MS]\n";
    return 2;
  }
  return quetzalline::Run(argv[1], argv[2], argc > 3 ? argv[3] : "5");
}
