#pragma once
// What tests of the checker share: a job of two tasks, and a checker that knows of it.

#include <gtest/gtest.h>

#include <string>

#include "checker/checker.h"

namespace rookdyke::test {

inline JobSpec job(const std::string& id) {
  JobSpec s;
  s.id = id;
  s.team = "t";
  s.tasks = 2;
  s.per_task = {1, 1, 1};
  return s;
}

class CheckerTest : public testing::Test {
 protected:
  CheckerTest() : checker({{"t", 0, 0, 0, 2}}, 30) { checker.submitted(0, job("wk-000001")); }
  Place at(const std::string& m, const std::string& zone = "a", bool spot = false) {
    return {m, "box", zone, spot};
  }
  Checker checker;
};

}  // namespace rookdyke::test
