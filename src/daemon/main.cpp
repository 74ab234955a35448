// rookdyked: runs one controller.

#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "config/config.h"
#include "daemon/controller.h"

namespace {

void set_up_logging(const std::string& label) {
  auto log = spdlog::stderr_logger_mt("rookdyked");
  log->set_pattern("%H:%M:%S.%e %l " + label + " %v");
  const char* level = std::getenv("LOG_LEVEL");
  log->set_level(level ? spdlog::level::from_str(level) : spdlog::level::info);
  spdlog::set_default_logger(log);
}

// Raises the limit on file descriptors to one for each socket plus a reserve for epoll and the log.
void raise_descriptor_limit(size_t sockets) {
  const rlim_t required = sockets + 64;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= required) return;
  limit.rlim_cur = std::min(required, limit.rlim_max);
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < required)
    spdlog::warn("the settings allow {} sockets, but the system allows only {} file descriptors",
                 sockets, limit.rlim_cur);
}

}  // namespace

int main(int argc, char** argv) {
  // Limits malloc arenas: otherwise each connection's thread would allocate an arena of its own.
  mallopt(M_ARENA_MAX, 2);
  mallopt(M_TRIM_THRESHOLD, 1 << 20);

  CLI::App app{"rookdyked: a controller of the rookdyke cluster scheduler"};
  std::string config_path;
  std::optional<std::string> ini_path;
  app.add_option("--config", config_path, "the platform's settings file (JSON)")->required();
  app.add_option("--ini", ini_path, "the operators' own settings (INI)");
  app.set_version_flag("--version", std::string("rookdyked ") + ROOKDYKE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }

  rookdyke::Config config;
  try {
    config = rookdyke::read_config(config_path, ini_path);
  } catch (const rookdyke::ConfigError& e) {
    std::cerr << "rookdyked: " << e.what() << std::endl;
    return 2;
  }
  set_up_logging(config.scheduler.label);
  raise_descriptor_limit(config.max_sockets);
  const auto bind = config.bind, mesh = config.mesh;
  rookdyke::Controller controller(std::move(config));
  if (!controller.start()) {
    spdlog::error("cannot listen on {}:{} or {}:{}", bind.host, bind.port, mesh.host, mesh.port);
    return 1;
  }
  // The process runs until it is killed; there is no state to save on exit.
  while (true) std::this_thread::sleep_for(std::chrono::hours(24));
}
