#pragma once
// The cloud's client, for one thread; within the node's part of the cloud's rate.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "net/budget.h"

namespace rookdyke::cloud {

class Client {
 public:
  Client(const Endpoint& at, net::Budget& budget);

  std::optional<std::vector<TypeInfo>> types();
  struct Hired {
    CloudOutcome outcome = CloudOutcome::unknown;
    std::vector<std::string> machines;
  };
  Hired hire(const Hire& h);
  CloudOutcome give_back(const std::vector<std::string>& names);
  // All pages; empty on any failure.
  std::optional<std::vector<ListedMachine>> list();

 private:
  struct Answer {
    int status = 0;
    bool sent = false;
    nlohmann::json body;
  };
  Answer call(bool post, const std::string& path, const nlohmann::json* body);

  httplib::Client http_;
  net::Budget& budget_;
};

}  // namespace rookdyke::cloud
